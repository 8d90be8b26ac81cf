/// Parsing of rate limits.
#include <eelgrassrail/limits/rate_limit.hpp>

#include <algorithm>
#include <charconv>
#include <system_error>

namespace eelgrassrail
{

std::optional<double> parse_rate_limit(std::string_view text) noexcept
{
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    // from_chars also accepts a sign, "inf" and "nan".
    if (text.empty() || !is_digit(text.front()))
        return std::nullopt;
    double per_s = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, per_s, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return per_s;
}

} // namespace eelgrassrail
