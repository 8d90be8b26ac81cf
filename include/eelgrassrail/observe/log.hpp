/// Logging: one short sentence a line, prefixed with the component that writes it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Components of the program, in the order of their prefixes.
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

/// @brief Logs to standard error, without limits.
/// @param level `debug`, `info`, `warning` or `error`
void start_logging(std::string_view level);

/// @brief Logs to standard output, rate-limited and without blocking.
///
/// Each component has a token bucket of `max_lines_per_second` lines, refilled at that rate, for
/// info and warning lines. Lines beyond it are suppressed, and their number is appended to the
/// component's next info or warning line. Lines that do not fit into a full pipe are dropped.
/// @param level `debug`, `info`, `warning` or `error`
void start_bounded_logging(std::string_view level);

/// Rate limit of each component: about 1% of the processor of a VM with 0.1 cores.
constexpr double max_lines_per_second = 60;

void log_debug(log_part part, const std::string& text);
void log_info(log_part part, const std::string& text);
void log_warning(log_part part, const std::string& text);
void log_error(log_part part, const std::string& text);

} // namespace eelgrassrail
