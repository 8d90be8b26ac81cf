/// Environment variables and validation of flags.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/settings/flags.hpp>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace eelgrassrail
{

void read_environment()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags)
    {
        std::string variable = "EELGRASSRAIL_" + flag.name;
        std::ranges::transform(
            variable, variable.begin(),
            [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; });
        const char* value = std::getenv(variable.c_str());
        if (value == nullptr || !flag.is_default)
            continue;
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty())
            throw settings_error(101,
                                 variable + "='" + value + "' is not a value of type " + flag.type);
    }
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> result;
    boost::algorithm::split(result, text, [](char c) { return c == ','; });
    std::erase(result, "");
    return result;
}

void check_address(const std::string& flag, const std::string& value)
{
    try
    {
        static_cast<void>(parse_tcp_address(value));
    }
    catch (const std::invalid_argument&)
    {
        throw settings_error(102, "--" + flag + "='" + value +
                                      "' is not allowed: give an IP address and a port, such as "
                                      "127.0.0.1:8080");
    }
}

void check_range(const std::string& flag, std::int64_t value, std::int64_t min, std::int64_t max)
{
    if (value < min || value > max)
        throw settings_error(103, "--" + flag + "=" + std::to_string(value) +
                                      " is not allowed: give " + std::to_string(min) + " to " +
                                      std::to_string(max));
}

void check_name(const std::string& flag, const std::string& value)
{
    constexpr std::size_t max_length = 64;
    const auto allowed = [](char c)
    { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    if (value.empty() || value.size() > max_length || !std::ranges::all_of(value, allowed))
        throw settings_error(104,
                             "--" + flag + "='" + value +
                                 "' is not allowed: give 1 to 64 characters of a-z, 0-9 and '-'");
}

} // namespace eelgrassrail
