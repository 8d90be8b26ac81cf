/// Lookup of header fields and query parameters, percent-encoding and UTF-8 validation.
#include <eelgrassrail/http/message.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/locale/encoding_utf.hpp>
#include <boost/locale/utf.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

int hex_value(char c) noexcept
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

bool is_unreserved(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.' || c == '_' || c == '~';
}

} // namespace

std::optional<std::string_view> find_field(const std::vector<header_field>& fields,
                                           std::string_view name) noexcept
{
    const auto it = std::ranges::find_if(fields, [name](const header_field& field)
                                         { return boost::algorithm::iequals(field.name, name); });
    if (it == fields.end())
        return std::nullopt;
    return it->value;
}

std::string_view path_of(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_value(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::nullopt;
    for (auto rest = target.substr(mark + 1); !rest.empty();)
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        return equals == std::string_view::npos ? std::string()
                                                : percent_decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    constexpr int radix = 16;
    std::string result;
    result.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%')
        {
            result.push_back(text[n]);
            continue;
        }
        const int high = n + 1 < text.size() ? hex_value(text[n + 1]) : -1;
        const int low = n + 2 < text.size() ? hex_value(text[n + 2]) : -1;
        if (high < 0 || low < 0)
            return std::nullopt;
        result.push_back(static_cast<char>(high * radix + low));
        n += 2;
    }
    return result;
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned low_bits = 15;
    std::string result;
    for (const char c : text)
    {
        if (is_unreserved(c))
        {
            result.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        result.push_back('%');
        result.push_back(digits[byte >> 4U]);
        result.push_back(digits[byte & low_bits]);
    }
    return result;
}

bool is_clean_utf8(std::string_view text) noexcept
{
    using traits = boost::locale::utf::utf_traits<char>;
    constexpr boost::locale::utf::code_point first_printable = 0x20;
    constexpr boost::locale::utf::code_point delete_character = 0x7F;
    for (auto it = text.begin(); it != text.end();)
    {
        const auto point = traits::decode(it, text.end());
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete ||
            point < first_printable || point == delete_character)
            return false;
    }
    return true;
}

} // namespace eelgrassrail
