/// HTTP server on Boost.Beast, with one coroutine for each connection.
#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <set>

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

} // namespace

struct http_listener::shared : std::enable_shared_from_this<shared>
{
    shared(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& at,
           http_limits bounds, http_handler handle, http_error_handler malformed)
        : acceptor(executor, at)
        , limits(bounds)
        , handler(std::move(handle))
        , on_malformed(std::move(malformed))
    {
    }

    asio::ip::tcp::acceptor acceptor;
    http_limits limits;
    http_handler handler;
    http_error_handler on_malformed;
    bool stopping{};
    std::size_t open{};
    std::set<beast::tcp_stream*> idle; ///< connections waiting for a request

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(beast::tcp_stream stream);
    asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buf);
    asio::awaitable<bool> refuse(beast::tcp_stream& stream, const beast::error_code& ec);
    asio::awaitable<http_reply> handle(beast::tcp_stream& stream, http_call call);
    static asio::awaitable<void> discard_remaining_input(beast::tcp_stream& stream);
};

namespace
{

http_call to_call(http::request<http::string_body>&& message)
{
    http_call call;
    call.method = std::string(message.method_string());
    call.target = std::string(message.target());
    for (const auto& field : message.base())
        call.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    call.body = std::move(message.body());
    return call;
}

http::response<http::string_body> to_response(http_reply&& reply, bool keep_alive)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(reply.status);
    for (const auto& field : reply.fields)
        response.insert(field.name, field.value);
    response.keep_alive(keep_alive);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    return response;
}

/// Whether the peer has closed or reset the connection and no received data is left to read.
bool is_closed(asio::ip::tcp::socket& socket)
{
    beast::error_code ec;
    char byte{};
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec.failed() && ec != asio::error::would_block;
}

bool is_end_of_stream(const beast::error_code& ec)
{
    return ec == http::error::end_of_stream || ec == beast::error::timeout ||
           ec == asio::error::connection_reset || ec == asio::error::operation_aborted ||
           ec == asio::error::eof || ec == http::error::partial_message;
}

} // namespace

asio::awaitable<void> http_listener::shared::accept_loop()
{
    const auto self = shared_from_this();
    for (;;)
    {
        beast::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        if (ec.failed() || open >= limits.connections)
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        asio::co_spawn(acceptor.get_executor(), serve(beast::tcp_stream(std::move(socket))),
                       asio::detached);
    }
}

asio::awaitable<void> http_listener::shared::serve(beast::tcp_stream stream)
{
    const auto self = shared_from_this();
    ++open;
    beast::flat_buffer buf;
    try
    {
        while (co_await serve_one(stream, buf))
        {
        }
    }
    catch (const std::exception&)
    {
        // The connection is closed below; the handler reports its own errors.
    }
    --open;
    try
    {
        co_await discard_remaining_input(stream);
    }
    catch (const std::exception&)
    {
        // The last response was sent; a failure of the shutdown has no effect on the caller.
    }
}

/// Closing a socket with unread bytes sends a reset, which may discard the response before the
/// caller has read it. So the remaining input is read first.
asio::awaitable<void> http_listener::shared::discard_remaining_input(beast::tcp_stream& stream)
{
    constexpr millis drain_timeout{500}; // several round trips to a caller
    constexpr std::size_t chunk = 4096;
    beast::error_code ec;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec.failed())
        co_return;
    std::array<char, chunk> sink{};
    stream.expires_after(drain_timeout);
    // The stream's timer does not fire while every read completes immediately.
    const auto until = boot_clock::now() + drain_timeout;
    while (!ec.failed() && boot_clock::now() < until)
        co_await stream.async_read_some(asio::buffer(sink),
                                        asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<http_reply> http_listener::shared::handle(beast::tcp_stream& stream, http_call call)
{
    const auto watch = std::make_shared<caller_watch>();
    const auto running = std::make_shared<bool>(true);
    auto& socket = stream.socket();
    watch->set_close_check([&socket] { return is_closed(socket); });
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [watch, running, &socket](const beast::error_code& ec)
                      {
                          if (!*running || ec == asio::error::operation_aborted)
                              return;
                          if (ec.failed() || is_closed(socket))
                              watch->set_disconnected();
                      });
    http_reply reply;
    std::exception_ptr failure;
    try
    {
        reply = co_await handler(std::move(call), watch);
    }
    catch (const std::exception&)
    {
        failure = std::current_exception();
    }
    *running = false;
    watch->on_gone({});
    watch->set_close_check({});
    beast::error_code ec;
    socket.cancel(ec);
    if (failure)
        std::rethrow_exception(failure);
    co_return reply;
}

asio::awaitable<bool> http_listener::shared::serve_one(beast::tcp_stream& stream,
                                                       beast::flat_buffer& buf)
{
    beast::error_code ec;
    if (buf.size() == 0)
    {
        idle.insert(&stream);
        stream.expires_after(limits.idle_timeout);
        constexpr std::size_t chunk = 4096;
        auto n = co_await stream.async_read_some(buf.prepare(chunk),
                                                 asio::redirect_error(asio::use_awaitable, ec));
        idle.erase(&stream);
        beast::error_code ignored;
        // A request that arrived before the listener was stopped is answered.
        if (ec == asio::error::operation_aborted && stream.socket().available(ignored) > 0)
            n = co_await stream.async_read_some(buf.prepare(chunk),
                                                asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
        {
            // Nothing was read: a request that crosses the close is reset, not read and dropped.
            stream.close();
            co_return false;
        }
        buf.commit(n);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    buf.max_size(std::max(max_unparsed_bytes, 2 * limits.header_bytes));
    stream.expires_after(limits.header_timeout);
    // The stream's timer does not fire while every read completes immediately.
    const auto until = boot_clock::now() + limits.header_timeout;
    while (!ec.failed() && !parser.is_done())
    {
        co_await http::async_read_some(stream, buf, parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (!ec.failed() && !parser.is_done() && boot_clock::now() >= until)
            ec = beast::error::timeout;
    }
    if (ec.failed())
        co_return co_await refuse(stream, ec);
    stream.expires_never();
    auto message = parser.release();
    const bool keep_alive = message.keep_alive();
    const bool is_head = message.method() == http::verb::head;
    auto reply = co_await handle(stream, to_call(std::move(message)));
    auto response = to_response(std::move(reply), keep_alive && !stopping);
    const bool stays_open = response.keep_alive();
    if (is_head)
        response.body().clear();
    stream.expires_after(limits.header_timeout);
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
    co_return stays_open && !ec.failed();
}

asio::awaitable<bool> http_listener::shared::refuse(beast::tcp_stream& stream,
                                                    const beast::error_code& ec)
{
    if (is_end_of_stream(ec))
        co_return false;
    auto response = to_response(
        on_malformed(ec == http::error::header_limit, ec == http::error::body_limit), false);
    beast::error_code ignored;
    stream.expires_after(limits.header_timeout);
    co_await http::async_write(stream, response,
                               asio::redirect_error(asio::use_awaitable, ignored));
    co_return false;
}

http_listener::http_listener(const asio::any_io_executor& executor,
                             const asio::ip::tcp::endpoint& at, http_limits limits,
                             http_handler handler, http_error_handler on_malformed)
    : m_shared(std::make_shared<shared>(executor, at, limits, std::move(handler),
                                        std::move(on_malformed)))
{
}

http_listener::~http_listener()
{
    stop();
}

void http_listener::start()
{
    asio::co_spawn(m_shared->acceptor.get_executor(), m_shared->accept_loop(), asio::detached);
}

void http_listener::drain()
{
    m_shared->stopping = true;
}

void http_listener::set_limits(const http_limits& limits)
{
    m_shared->limits = limits;
}

void http_listener::stop()
{
    m_shared->stopping = true;
    beast::error_code ec;
    m_shared->acceptor.close(ec);
    for (auto* stream : m_shared->idle)
        stream->cancel();
}

std::size_t http_listener::connections() const noexcept
{
    return m_shared->open;
}

} // namespace eelgrassrail
