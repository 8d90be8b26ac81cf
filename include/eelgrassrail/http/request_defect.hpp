/// Why a listener refuses a request before it reaches the handler.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>

#include <cstdint>

namespace eelgrassrail
{

/// Why a request is refused before it reaches the handler.
enum class request_defect : std::uint8_t
{
    malformed,
    header_too_large,
    body_too_large,
    no_memory ///< the process is short of memory; the request was not read whole
};

/// @brief The error kind of the refusal that the caller gets.
[[nodiscard]] constexpr error_kind kind_of(request_defect defect) noexcept
{
    switch (defect)
    {
    case request_defect::header_too_large:
        return error_kind::header_too_large;
    case request_defect::body_too_large:
        return error_kind::body_too_large;
    case request_defect::no_memory:
        return error_kind::overloaded;
    case request_defect::malformed:
        break;
    }
    return error_kind::malformed_request;
}

} // namespace eelgrassrail
