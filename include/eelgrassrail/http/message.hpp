/// HTTP messages as plain structs, so that only the transport includes Boost.Beast.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

class body_blocks;
class memory_holder;

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
    std::shared_ptr<const body_blocks> large_body{}; ///< if set, it is sent in place of `body`
};

/// A response, received or to be sent.
struct http_reply
{
    unsigned status{200};
    std::vector<header_field> fields;
    std::string body;
    std::shared_ptr<memory_holder> memory{}; ///< keeps the memory of a received body reserved
};

/// @brief The value of the first header field of this name, compared without case; std::nullopt
/// if there is none.
[[nodiscard]] std::optional<std::string_view> find_field(const std::vector<header_field>& fields,
                                                         std::string_view name) noexcept;

/// @brief The path of a request target: the part before `?`.
[[nodiscard]] std::string_view path_of(std::string_view target) noexcept;

/// @brief The percent-decoded value of a query parameter; std::nullopt if it is missing or
/// malformed.
[[nodiscard]] std::optional<std::string> query_value(std::string_view target,
                                                     std::string_view name);

/// @brief Decodes %XX sequences.
/// @return std::nullopt if a sequence is malformed
[[nodiscard]] std::optional<std::string> percent_decode(std::string_view text);

/// @brief Percent-encodes all but the unreserved characters of RFC 3986.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// @brief Whether the text is valid UTF-8 without control characters.
[[nodiscard]] bool is_clean_utf8(std::string_view text) noexcept;

} // namespace eelgrassrail
