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

/// @brief Sets up the sink on standard output: bounded, and never waiting.
///
/// Each part of the program may write `lines_a_second` lines, after a burst of as many; what is
/// more, or does not fit into the pipe, is left out, and the next line of the part says how many
/// were.
/// @param level `debug`, `info`, `warning` or `error`
void start_bounded_logging(std::string_view level);

/// Lines that one part writes in a second at most: about 1% of the processor of a VM with 0.1
/// cores.
constexpr double lines_a_second = 60;

void log_debug(log_part part, const std::string& text);
void log_info(log_part part, const std::string& text);
void log_warning(log_part part, const std::string& text);
void log_error(log_part part, const std::string& text);

} // namespace eelgrassrail
