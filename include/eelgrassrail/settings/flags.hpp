/// Settings from command-line flags and environment variables.
///
/// A flag `--name` can also be set with the environment variable `EELGRASSRAIL_NAME`; the command
/// line takes precedence.
#pragma once

#include <eelgrassrail/settings/net_address.hpp>

#include <string>
#include <vector>

namespace eelgrassrail
{

/// @brief Sets the flags that are not given on the command line from the environment.
/// @throws settings_error 101 if a variable's value does not have the flag's type
void read_environment();

/// @brief Splits a comma-separated list; empty items are skipped.
[[nodiscard]] std::vector<std::string> split_list(const std::string& text);

/// @brief Checks that the value of a flag is IP:PORT.
/// @throws settings_error 102 naming the flag, the value and what is allowed
void check_address(const std::string& flag, const std::string& value);

/// @brief Checks that an integer is within bounds, both inclusive.
/// @throws settings_error 103 naming the flag, the value and what is allowed
void check_range(const std::string& flag, std::int64_t value, std::int64_t min, std::int64_t max);

/// @brief Checks a name: 1 to 64 characters of a-z, 0-9 and '-'.
/// @throws settings_error 104 naming the flag, the value and what is allowed
void check_name(const std::string& flag, const std::string& value);

} // namespace eelgrassrail
