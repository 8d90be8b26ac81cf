/// HTTP server on Boost.Beast, with one coroutine for each connection.
#include "caller_connection.hpp"
#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// Time that a connection may wait before a new one takes its place. Ordinary callers send a
/// request within a fraction of it.
constexpr millis min_wait{1'000};

/// Connections beyond the limit that are accepted while others are being closed for them.
constexpr std::size_t accept_margin = 16;

} // namespace

listener_state::listener_state(const asio::any_io_executor& executor,
                               const asio::ip::tcp::endpoint& at, http_limits bounds,
                               http_handler handle, http_error_handler malformed)
    : acceptor(executor, at)
    , limits(bounds)
    , handler(std::move(handle))
    , on_malformed(std::move(malformed))
    , requests(std::make_unique<request_ledger>(nullptr))
{
}

asio::awaitable<void> listener_state::accept_loop()
{
    const auto self = shared_from_this();
    for (;;)
    {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        if (ec.failed() || (open >= limits.connections && !make_room(boot_clock::now())))
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        const auto connection = std::make_shared<caller_connection>(self, std::move(socket));
        asio::co_spawn(acceptor.get_executor(), connection->run(), asio::detached);
    }
}

bool listener_state::make_room(instant now)
{
    if (open >= limits.connections + accept_margin)
        return false;
    if (requests->abort_oldest(now - min_wait))
        return true;
    if (idle.empty() || idle.begin()->second->idle_since() > now - min_wait)
        return false;
    idle.begin()->second->close();
    return true;
}

http_listener::http_listener(const asio::any_io_executor& executor,
                             const asio::ip::tcp::endpoint& at, http_limits limits,
                             http_handler handler, http_error_handler on_malformed)
    : m_state(std::make_shared<listener_state>(executor, at, limits, std::move(handler),
                                               std::move(on_malformed)))
{
}

http_listener::~http_listener()
{
    stop();
}

void http_listener::set_budget(std::shared_ptr<receive_budget> budget)
{
    m_state->budget = budget;
    m_state->requests = std::make_unique<request_ledger>(std::move(budget));
}

void http_listener::start()
{
    asio::co_spawn(m_state->acceptor.get_executor(), m_state->accept_loop(), asio::detached);
}

void http_listener::drain()
{
    m_state->stopping = true;
}

void http_listener::set_limits(const http_limits& limits)
{
    m_state->limits = limits;
}

void http_listener::stop()
{
    m_state->stopping = true;
    boost::system::error_code ec;
    m_state->acceptor.close(ec);
    for (const auto& [number, connection] : m_state->idle)
        connection->cancel_wait();
}

std::size_t http_listener::connections() const noexcept
{
    return m_state->open;
}

std::uint64_t http_listener::aborted() const noexcept
{
    return m_state->requests->aborted();
}

} // namespace eelgrassrail
