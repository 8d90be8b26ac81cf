/// Reading of the requests of one connection, on Boost.Beast.
#include "caller_connection.hpp"

#include "receive_some.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <iterator>
#include <utility>

namespace eelgrassrail
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Maximum received bytes of a connection that are not parsed yet, unless the limit of heads is
/// higher. Chunk headers and trailers have no limit of their own.
constexpr std::size_t max_unparsed_bytes = 64UL * 1024;

/// Requests of one connection that are served at the same time.
constexpr std::size_t max_concurrent = 8;

/// Bodies up to this size are handed over as one string.
constexpr std::size_t max_string_body_bytes = 64UL * 1024;

/// Memory of the replies that a connection waits to send which needs no budget.
constexpr std::size_t free_ready_bytes = 4UL * 1024;

/// Bytes read at a time while no request has begun, and from callers that are being closed.
constexpr std::size_t read_bytes = 4096;

bool is_end_of_stream(const beast::error_code& ec)
{
    return ec == http::error::end_of_stream || ec == beast::error::timeout ||
           ec == asio::error::connection_reset || ec == asio::error::operation_aborted ||
           ec == asio::error::eof || ec == http::error::partial_message;
}

/// Whether the end of the body is known. The parser takes a request with a transfer coding that it
/// does not know for one without a body, and what follows for the next request.
template <class Message>
bool has_known_framing(const Message& request)
{
    constexpr unsigned first_with_codings = 11; // HTTP/1.1
    const auto [first, last] = request.equal_range(http::field::transfer_encoding);
    return first == last || (request.version() >= first_with_codings && std::next(first) == last &&
                             beast::iequals(first->value(), "chunked"));
}

/// Whether a request may be served together with others of its connection.
template <class Message>
bool is_concurrent(const Message& request)
{
    const auto method = request.method();
    return (method == http::verb::get || method == http::verb::head) && request.body().size() == 0;
}

} // namespace

caller_connection::caller_connection(std::shared_ptr<listener_state> state,
                                     asio::ip::tcp::socket socket)
    : m_state(std::move(state))
    , m_stream(std::move(socket))
    , m_ready_memory(m_state->budget, free_ready_bytes, [this] { drop(); })
    , m_changed(m_stream.get_executor(), asio::steady_timer::time_point::max())
    , m_idle_timer(m_stream.get_executor())
{
}

asio::awaitable<void> caller_connection::run()
{
    const auto self = shared_from_this();
    ++m_state->open;
    try
    {
        while (co_await serve_next())
        {
        }
    }
    catch (const std::exception&)
    {
        // The connection is closed below; the handler reports its own errors.
        m_is_gone = true;
    }
    end_idle();
    m_state->requests->end(m_receiving);
    if (m_is_gone)
        on_gone();
    else
        watch_for_close();
    co_await wait_until_answered();
    beast::error_code ignored;
    m_stream.socket().cancel(ignored);
    try
    {
        co_await discard_remaining_input();
    }
    catch (const std::exception&)
    {
        // The last response was sent; a failure of the shutdown has no effect on the caller.
    }
    --m_state->open;
}

/// Closes the connection of a caller that reads too slowly for the memory that its responses take.
void caller_connection::drop()
{
    m_stream.close();
    on_gone();
}

/// The caller can receive no response any more.
void caller_connection::on_gone()
{
    m_is_gone = true;
    // A callback may end an exchange.
    const auto exchanges = m_exchanges;
    for (const auto& item : exchanges)
        item->watch->set_disconnected();
}

/// Detects that the caller leaves while nothing is read from the connection.
void caller_connection::watch_for_close()
{
    // Not canceled before the end of the connection: that would cancel a response too.
    if (std::exchange(m_watches, true))
        return;
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                 [self = weak_from_this()](const beast::error_code& ec)
                                 {
                                     const auto it = self.lock();
                                     if (it)
                                         it->m_watches = false;
                                     if (it && ec != asio::error::operation_aborted &&
                                         (ec.failed() || is_closed(it->m_stream.socket())))
                                         it->on_gone();
                                 });
}

/// Receives one request and has it served.
/// @return false if no further request is to be read
asio::awaitable<bool> caller_connection::serve_next()
{
    if (m_exchanges.size() >= max_concurrent)
    {
        watch_for_close();
        beast::error_code ec;
        while (m_exchanges.size() >= max_concurrent && !m_is_gone)
            co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (m_is_last || m_is_gone || (m_buf.size() == 0 && !co_await wait_for_request()))
        co_return false;
    const auto id = m_state->requests->begin(boot_clock::now(),
                                             [this]
                                             {
                                                 m_aborted = true;
                                                 m_stream.cancel();
                                             });
    m_receiving = id;
    std::optional<parser> received(std::in_place);
    const auto ec = co_await receive(received, id);
    if (!ec.failed() && !m_aborted)
    {
        m_receiving = 0;
        m_state->requests->complete(id);
        co_return co_await serve(received->release(), id);
    }
    received.reset();
    m_buf.clear();
    m_buf.shrink_to_fit();
    m_state->requests->end(id);
    if (!m_aborted && is_end_of_stream(ec))
    {
        m_is_gone = true;
        co_return false;
    }
    co_await wait_until_answered();
    if (!m_is_gone)
        co_await refuse(ec);
    co_return false;
}

/// Waits for the first bytes of a request.
asio::awaitable<bool> caller_connection::wait_for_request()
{
    beast::error_code ec;
    m_waits = true;
    if (m_exchanges.empty())
        begin_idle();
    if (m_buf.capacity() > read_bytes)
        m_buf.shrink_to_fit(); // it is empty, and counts for no request while there is none
    m_stream.expires_never();
    auto n = co_await m_stream.async_read_some(m_buf.prepare(read_bytes),
                                               asio::redirect_error(asio::use_awaitable, ec));
    m_waits = false;
    end_idle();
    beast::error_code ignored;
    // A request that arrived before the listener was stopped is answered.
    if (ec == asio::error::operation_aborted && !m_is_last && m_exchanges.empty() &&
        m_stream.socket().available(ignored) > 0)
        n = co_await m_stream.async_read_some(m_buf.prepare(read_bytes),
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (!ec.failed())
    {
        m_buf.commit(n);
        co_return true;
    }
    if (m_is_last)
        co_return false;
    m_is_gone = true;
    // Nothing was read: a request that crosses the close is reset, not read and dropped.
    if (m_exchanges.empty())
        m_stream.close();
    co_return false;
}

asio::awaitable<beast::error_code> caller_connection::receive(std::optional<parser>& into,
                                                              request_ledger::number id)
{
    const auto& limits = m_state->limits;
    into->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    into->body_limit(limits.body_bytes);
    m_buf.max_size(std::max(max_unparsed_bytes, 2 * limits.header_bytes));
    m_stream.expires_after(limits.header_timeout);
    // The stream's timer does not fire while every read completes immediately.
    const auto until = boot_clock::now() + limits.header_timeout;
    beast::error_code ec;
    while (!ec.failed() && !m_aborted && !into->is_done())
    {
        ec = co_await receive_some(m_stream, m_buf, *into);
        if (ec.failed() || m_aborted)
            break;
        if (into->is_header_done() && !has_known_framing(into->get()))
            ec = http::error::bad_transfer_encoding;
        else if (!m_state->requests->hold(id, into->get().body().capacity() + m_buf.capacity()))
            m_aborted = true;
        else if (!into->is_done() && boot_clock::now() >= until)
            ec = beast::error::timeout;
    }
    co_return ec;
}

http_call caller_connection::to_call(message&& request) const
{
    http_call call;
    call.method = std::string(request.method_string());
    call.target = std::string(request.target());
    for (const auto& field : request.base())
        call.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    if (m_state->budget && request.body().size() > max_string_body_bytes)
        call.large_body = std::make_shared<const body_blocks>(std::move(request.body()));
    else
        call.body = request.body().joined();
    return call;
}

/// @return false if no further request is to be read
asio::awaitable<bool> caller_connection::serve(message&& request, request_ledger::number id)
{
    auto item = std::make_shared<exchange>();
    item->id = id;
    item->watch = std::make_shared<caller_watch>();
    item->is_head = request.method() == http::verb::head;
    item->keep_alive = request.keep_alive();
    const bool is_alone = !is_concurrent(request);
    auto call = to_call(std::move(request));
    if (is_alone)
        co_await wait_until_answered();
    // While the process stops, the response before this request closes the connection, and the
    // caller knows that the request was not read.
    if (m_is_last || m_is_gone || (m_state->stopping && !m_exchanges.empty()))
    {
        m_state->requests->end(id);
        co_return false;
    }
    const bool is_last = !item->keep_alive;
    m_exchanges.push_back(item);
    if (!is_alone)
    {
        m_is_last = is_last;
        asio::co_spawn(m_stream.get_executor(), serve_in_background(item, std::move(call)),
                       asio::detached);
        co_return !is_last;
    }
    item->reply = co_await handle_alone(std::move(call));
    item->is_ready = true;
    co_await write_ready();
    co_return !m_is_last && !m_is_gone;
}

asio::awaitable<void> caller_connection::wait_until_answered()
{
    while (!m_exchanges.empty())
    {
        beast::error_code ec;
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

/// Closing a socket with unread bytes sends a reset, which may discard the response before the
/// caller has read it. So the remaining input is read first.
asio::awaitable<void> caller_connection::discard_remaining_input()
{
    constexpr millis drain_timeout{500}; // several round trips to a caller
    beast::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec.failed())
        co_return;
    std::array<char, read_bytes> sink{};
    m_stream.expires_after(drain_timeout);
    // The stream's timer does not fire while every read completes immediately.
    const auto until = boot_clock::now() + drain_timeout;
    while (!ec.failed() && boot_clock::now() < until)
        co_await m_stream.async_read_some(asio::buffer(sink),
                                          asio::redirect_error(asio::use_awaitable, ec));
}

void caller_connection::begin_idle()
{
    if (m_idle_number != 0)
        return;
    m_idle_since = boot_clock::now();
    m_idle_number = m_state->next_idle++;
    m_state->idle.emplace(m_idle_number, this);
    m_idle_timer.expires_after(m_state->limits.idle_timeout);
    m_idle_timer.async_wait(
        [self = weak_from_this()](const beast::error_code& ec)
        {
            if (const auto it = self.lock(); it && !ec.failed() && it->m_idle_number != 0)
                it->close();
        });
}

void caller_connection::end_idle()
{
    m_state->idle.erase(m_idle_number);
    m_idle_number = 0;
    m_idle_timer.cancel();
}

} // namespace eelgrassrail
