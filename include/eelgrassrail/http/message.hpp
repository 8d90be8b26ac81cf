/// HTTP messages as plain data, so that only the transport includes Beast.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// One header field.
struct header_field
{
    std::string name;
    std::string value;
};

/// A request, received or to be sent.
struct http_call
{
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    std::string body;
};

/// A response, received or to be sent.
struct http_reply
{
    unsigned status{200};
    std::vector<header_field> fields;
    std::string body;
};

/// @brief The value of a header field, by case-insensitive name.
[[nodiscard]] std::optional<std::string_view> find_field(const std::vector<header_field>& fields,
                                                         std::string_view name) noexcept;

/// @brief The part of a target before `?`.
[[nodiscard]] std::string_view path_of(std::string_view target) noexcept;

/// @brief The decoded value of a query parameter, or nothing.
[[nodiscard]] std::optional<std::string> query_value(std::string_view target,
                                                     std::string_view name);

/// @brief Decodes %XX sequences.
/// @return nothing if a sequence is malformed
[[nodiscard]] std::optional<std::string> percent_decode(std::string_view text);

/// @brief Encodes everything but unreserved characters.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// @brief Whether the text is valid UTF-8 without control characters.
[[nodiscard]] bool is_clean_utf8(std::string_view text) noexcept;

} // namespace eelgrassrail
