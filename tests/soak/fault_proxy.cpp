/// Forwards each connection with two coroutines, one per direction.
#include "fault_proxy.hpp"

#include "soak_config.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace eelgrassrail::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

namespace
{

constexpr std::chrono::milliseconds added_delay{150};
constexpr std::chrono::milliseconds blocked_poll_interval{20};

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::make_address(soak_ip), port};
}

} // namespace

fault_proxy::fault_proxy(asio::io_context& context, std::uint16_t from, std::uint16_t to)
    : m_context(context)
    , m_acceptor(context, loopback(from))
    , m_to(to)
{
    asio::co_spawn(context, accept(), asio::detached);
}

void fault_proxy::set_mode(proxy_mode mode)
{
    m_mode = mode;
    if (mode != proxy_mode::refuse)
        return;
    boost::system::error_code ec;
    for (auto* open : m_open)
    {
        open->set_option(asio::socket_base::linger(true, 0), ec);
        open->close(ec);
    }
}

asio::awaitable<void> fault_proxy::accept()
{
    for (;;)
    {
        auto client = co_await m_acceptor.async_accept(asio::use_awaitable);
        if (m_mode == proxy_mode::refuse)
            client.set_option(asio::socket_base::linger(true, 0));
        else
            asio::co_spawn(m_context, serve(std::move(client)), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::serve(socket client)
{
    socket server(m_context);
    boost::system::error_code ec;
    co_await server.async_connect(loopback(m_to), asio::redirect_error(asio::use_awaitable, ec));
    if (ec.failed())
        co_return;
    m_open.insert(&client);
    m_open.insert(&server);
    co_await (forward(client, server, false) && forward(server, client, true));
    m_open.erase(&client);
    m_open.erase(&server);
}

asio::awaitable<void> fault_proxy::forward(socket& from, socket& to, bool is_answer)
{
    std::array<char, 16'384> buf{};
    boost::system::error_code ec;
    asio::steady_timer timer(m_context);
    while (!ec.failed())
    {
        const auto n = co_await from.async_read_some(asio::buffer(buf),
                                                     asio::redirect_error(asio::use_awaitable, ec));
        while (!ec.failed() &&
               (m_mode == proxy_mode::silent || (m_mode == proxy_mode::one_way && is_answer)))
        {
            timer.expires_after(blocked_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (m_mode == proxy_mode::delay)
        {
            timer.expires_after(added_delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (!ec.failed())
            co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                       asio::redirect_error(asio::use_awaitable, ec));
    }
    // Passes the close on, so that the other side notices that its peer has disconnected.
    boost::system::error_code ignored;
    to.close(ignored);
}

} // namespace eelgrassrail::soak
