/// Checks the head of a reply before it is parsed: its status, and the fields that delimit its
/// body.
///
/// The parser accepts any three digits as a status, folded lines, repeated equal lengths, and
/// transfer codings that it can not decode.
#pragma once

#include <cstdint>
#include <string_view>

namespace eelgrassrail
{

/// What the received part of a head is.
enum class head_state : std::uint8_t
{
    incomplete, ///< valid so far
    complete,   ///< received up to its end
    invalid     ///< no continuation makes it valid
};

/// @brief Checks the head at the begin of the received bytes.
/// @param received may contain bytes after the head
/// @return `invalid` as soon as a complete line shows it
[[nodiscard]] head_state check_reply_head(std::string_view received) noexcept;

} // namespace eelgrassrail
