/// Parsing of decimal numbers.
#include <eelgrassrail/core/decimal.hpp>

#include <charconv>
#include <system_error>

namespace eelgrassrail
{

std::optional<double> parse_decimal(std::string_view text) noexcept
{
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    // from_chars also accepts a sign, "inf" and "nan".
    if (text.empty() || !is_digit(text.front()))
        return std::nullopt;
    double number = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace eelgrassrail
