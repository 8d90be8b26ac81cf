/// Loopback TCP proxy that simulates network faults: delay, loss in one or both directions, resets.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <set>

namespace eelgrassrail::soak
{

/// Fault that applies to all connections.
enum class proxy_mode : std::uint8_t
{
    pass,    ///< no fault
    delay,   ///< each piece of data is delivered later
    silent,  ///< no data passes; connections stay open
    one_way, ///< requests pass, answers do not
    refuse   ///< open and new connections are reset
};

/// Forwards connections from one loopback port to another.
class fault_proxy
{
  public:
    fault_proxy(boost::asio::io_context& context, std::uint16_t from, std::uint16_t to);

    void set_mode(proxy_mode mode);

  private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(socket client);
    boost::asio::awaitable<void> forward(socket& from, socket& to, bool is_answer);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_to;
    proxy_mode m_mode{proxy_mode::pass};
    std::set<socket*> m_open; ///< both sockets of each connection
};

} // namespace eelgrassrail::soak
