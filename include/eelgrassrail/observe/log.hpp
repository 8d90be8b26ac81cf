/// Logs: one short sentence a line, with a fixed prefix for each part.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Parts of the program, in the order of their prefixes.
enum class log_part : std::uint8_t
{
    entry,
    ownership,
    dispatch,
    front,
    platform,
    peers,
    operators
};

/// @brief Sets up the sink.
/// @param level `debug`, `info`, `warning` or `error`
void start_logging(std::string_view level);

void log_debug(log_part part, const std::string& text);
void log_info(log_part part, const std::string& text);
void log_warning(log_part part, const std::string& text);
void log_error(log_part part, const std::string& text);

} // namespace eelgrassrail
