/// Parsing of network addresses: an IP address and a port, never a host name.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <charconv>
#include <stdexcept>
#include <string>

namespace eelgrassrail
{

/// @brief Parses IP:PORT; an IPv6 address may stand in brackets.
/// @throws std::invalid_argument if the text is not of this form
[[nodiscard]] inline boost::asio::ip::tcp::endpoint parse_tcp_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("'" + text + "' is not IP:PORT");
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto number = boost::asio::ip::make_address(host, ec);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (ec.failed() || parsed.ec != std::errc() || parsed.ptr != end)
        throw std::invalid_argument("'" + text + "' is not IP:PORT");
    return {number, port};
}

/// @brief As `parse_tcp_address`, for UDP.
[[nodiscard]] inline boost::asio::ip::udp::endpoint parse_udp_address(const std::string& text)
{
    const auto tcp = parse_tcp_address(text);
    return {tcp.address(), tcp.port()};
}

} // namespace eelgrassrail
