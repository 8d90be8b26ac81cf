/// Compression of messages between processes. Worker ids and addresses make up most of a message
/// and repeat often, so it shrinks to a quarter or less.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Maximum size of an uncompressed message; a corrupted one can not exhaust the memory.
constexpr std::size_t max_unpacked_bytes = 8UL * 1024UL * 1024;

/// @brief Compresses bytes.
/// @complexity linear in the number of bytes
[[nodiscard]] std::string pack(std::string_view bytes);

/// @brief Decompresses bytes.
/// @return std::nullopt if the input is corrupted, or if the output is empty or longer than
/// `max_unpacked_bytes`
[[nodiscard]] std::optional<std::string> unpack(std::span<const char> packed);

} // namespace eelgrassrail
