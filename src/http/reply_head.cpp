/// Checks of status line, lengths and transfer codings.
#include <eelgrassrail/http/reply_head.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <ranges>

namespace eelgrassrail
{
namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view blanks = " \t";

constexpr unsigned interim_statuses_end = 200;
constexpr unsigned status_switching_protocols = 101; ///< no request asks for it
constexpr unsigned status_no_content = 204;

/// Parses digits only: no sign, no list.
template <class Number>
std::optional<Number> parse_digits(std::string_view text)
{
    Number value{};
    const auto* end = text.data() + text.size();
    const bool has_digits_only =
        !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
    if (!has_digits_only || std::from_chars(text.data(), end, value).ec != std::errc())
        return std::nullopt;
    return value;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// @param line status line without its end
/// @return std::nullopt if the line or its status is invalid
std::optional<unsigned> parse_status_line(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_digits = 3;
    constexpr std::size_t status_at = version.size() + 2;
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    if (!line.starts_with(version) || line.size() <= status_at + status_digits ||
        line[status_at - 1] != ' ' || line[status_at + status_digits] != ' ')
        return std::nullopt;
    const auto status = parse_digits<unsigned>(line.substr(status_at, status_digits));
    const bool is_allowed = status && *status >= min_status && *status <= max_status &&
                            *status != status_switching_protocols;
    return is_allowed ? status : std::nullopt;
}

/// The fields of a head that delimit its body.
class body_framing
{
  public:
    explicit body_framing(unsigned status) noexcept
        : m_has_no_body(status < interim_statuses_end || status == status_no_content)
    {
    }

    /// @return false if the fields up to this one are invalid
    [[nodiscard]] bool add(std::string_view line)
    {
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        if (colon == std::string_view::npos || name.empty() ||
            name.find_first_of(blanks) != std::string_view::npos)
            return false;
        const auto value = trim(line.substr(colon + 1));
        if (boost::beast::iequals(name, "Content-Length"))
            return add_length(value);
        if (boost::beast::iequals(name, "Transfer-Encoding"))
            return add_coding(value);
        return true;
    }

  private:
    bool add_length(std::string_view value)
    {
        const auto length = parse_digits<std::uint64_t>(value);
        const bool is_first = !m_is_delimited;
        m_is_delimited = true;
        return is_first && length && (*length == 0 || !m_has_no_body);
    }

    bool add_coding(std::string_view value)
    {
        const bool is_first = !m_is_delimited;
        m_is_delimited = true;
        return is_first && !m_has_no_body && boost::beast::iequals(value, "chunked");
    }

    bool m_has_no_body;
    bool m_is_delimited{}; ///< by a length or a transfer coding
};

} // namespace

head_state check_reply_head(std::string_view received) noexcept
{
    constexpr std::string_view start = "HTTP/1.";
    if (!received.starts_with(start.substr(0, received.size())))
        return head_state::invalid;
    auto end = received.find(line_end);
    if (end == std::string_view::npos)
        return head_state::incomplete;
    const auto status = parse_status_line(received.substr(0, end));
    if (!status)
        return head_state::invalid;
    body_framing framing(*status);
    for (auto rest = received.substr(end + line_end.size());;
         rest.remove_prefix(end + line_end.size()))
    {
        // A line that begins with a blank continues the one before (obsolete line folding).
        if (!rest.empty() && blanks.find(rest.front()) != std::string_view::npos)
            return head_state::invalid;
        end = rest.find(line_end);
        if (end == std::string_view::npos)
            return head_state::incomplete;
        if (end == 0)
            return head_state::complete;
        if (!framing.add(rest.substr(0, end)))
            return head_state::invalid;
    }
}

} // namespace eelgrassrail
