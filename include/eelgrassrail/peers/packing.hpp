/// Compression of messages between processes. Worker ids and addresses make up most of a message
/// and come again and again, so that it shrinks to a quarter or less.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Longest message after it was unpacked; a damaged one can not exhaust the memory.
constexpr std::size_t longest_unpacked = 8UL * 1024UL * 1024;

/// @brief The compressed form of some bytes.
/// @complexity linear in their number
[[nodiscard]] std::string pack(std::string_view bytes);

/// @brief The bytes that were packed.
/// @return nothing if they were damaged, or are longer than `longest_unpacked`
[[nodiscard]] std::optional<std::string> unpack(std::span<const char> packed);

} // namespace eelgrassrail
