/// Computes the fingerprint of a request.
#include <eelgrassrail/requests/request.hpp>

#include <xxhash.h>

#include <string_view>

namespace eelgrassrail
{

std::uint64_t fingerprint(const request& value) noexcept
{
    std::uint64_t hash = 0;
    for (const std::string_view part :
         {std::string_view(value.service), std::string_view(value.tenant),
          std::string_view(value.method), std::string_view(value.target),
          std::string_view(value.body)})
        hash = XXH64(part.data(), part.size(), hash + part.size());
    return hash;
}

} // namespace eelgrassrail
