/// Key hashing: slices are equal ranges of the 64-bit hash.
#include <eelgrassrail/core/identity.hpp>

#include <xxhash.h>

namespace eelgrassrail
{

std::uint64_t hash_key(std::string_view key) noexcept
{
    return XXH64(key.data(), key.size(), 0);
}

slice_index slice_of(std::string_view key, std::uint32_t count) noexcept
{
    constexpr int half_bits = 32;
    const std::uint64_t high = hash_key(key) >> half_bits;
    return static_cast<slice_index>((high * count) >> half_bits);
}

} // namespace eelgrassrail
