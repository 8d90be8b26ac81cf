/// Forwards each connection with two coroutines, one per direction.
#include "store_link.hpp"

#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace review
{

using namespace eelgrassrail;
namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

store_link::store_link(asio::io_context& context, const std::string& from, const std::string& to)
    : m_context(context)
    , m_acceptor(context, eelgrassrail::parse_tcp_address(from))
    , m_to(eelgrassrail::parse_tcp_address(to))
{
    asio::co_spawn(context, accept(), asio::detached);
}

asio::awaitable<void> store_link::accept()
{
    for (;;)
    {
        boost::system::error_code ec;
        auto client =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
            co_return;
        asio::co_spawn(m_context, serve(std::move(client)), asio::detached);
    }
}

void store_link::cut_at_read(millis after_routes)
{
    m_after_routes = after_routes;
    m_is_armed = true;
}

void store_link::observe(std::string_view request)
{
    const auto now = boot_clock::now();
    if (request.find("topic=keyed.op") != std::string_view::npos)
        m_routes_read = now;
    const bool is_workers_read = request.find("topic=keyed.servers") != std::string_view::npos;
    if (m_is_armed && is_workers_read && now - m_routes_read < m_after_routes)
    {
        m_is_armed = false;
        m_is_cut = true;
    }
}

asio::awaitable<void> store_link::wait_for_path()
{
    constexpr std::chrono::milliseconds interval{5};
    asio::steady_timer timer(m_context);
    while (m_is_cut)
    {
        timer.expires_after(interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> store_link::serve(socket client)
{
    socket server(m_context);
    boost::system::error_code ec;
    co_await server.async_connect(m_to, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec.failed())
        co_await (forward(client, server, true) && forward(server, client, false));
}

asio::awaitable<void> store_link::forward(socket& from, socket& to, bool is_request)
{
    constexpr std::size_t chunk = 16'384;
    std::array<char, chunk> buf{};
    boost::system::error_code ec;
    while (!ec.failed())
    {
        const auto n = co_await from.async_read_some(asio::buffer(buf),
                                                     asio::redirect_error(asio::use_awaitable, ec));
        if (is_request)
            observe({buf.data(), n});
        co_await wait_for_path();
        if (!ec.failed())
            co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                       asio::redirect_error(asio::use_awaitable, ec));
    }
    boost::system::error_code ignored;
    to.close(ignored);
}

} // namespace review
