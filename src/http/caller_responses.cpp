/// Concurrent serving of the requests of one connection, and their responses in order.
#include "caller_connection.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>
#include <utility>

namespace eelgrassrail
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

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

} // namespace

bool is_closed(asio::ip::tcp::socket& socket)
{
    beast::error_code ec;
    char byte{};
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec.failed() && ec != asio::error::would_block;
}

asio::awaitable<void> caller_connection::serve_in_background(std::shared_ptr<exchange> item,
                                                             http_call call)
{
    const auto self = shared_from_this();
    item->watch->set_close_check([this] { return m_is_gone || is_closed(m_stream.socket()); });
    try
    {
        item->reply = co_await m_state->handler(std::move(call), item->watch);
    }
    catch (const std::exception&)
    {
        item->has_failed = true;
    }
    item->watch->on_gone({});
    item->watch->set_close_check({});
    hold_ready(*item);
    item->is_ready = true;
    co_await write_ready();
}

/// Moves the memory of a reply to that of the connection. If the connection holds too much, it is
/// dropped.
void caller_connection::hold_ready(exchange& item)
{
    item.reply.memory.reset();
    item.ready_bytes = item.reply.body.capacity();
    m_ready_bytes += item.ready_bytes;
    static_cast<void>(m_ready_memory.hold(m_ready_bytes));
}

void caller_connection::release_ready(exchange& item)
{
    m_ready_bytes -= std::exchange(item.ready_bytes, 0);
    static_cast<void>(m_ready_memory.hold(m_ready_bytes));
}

/// Serves a request while nothing is read from the connection.
asio::awaitable<http_reply> caller_connection::handle_alone(http_call call)
{
    const auto watch = m_exchanges.back()->watch;
    const auto running = std::make_shared<bool>(true);
    auto& socket = m_stream.socket();
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
        reply = co_await m_state->handler(std::move(call), watch);
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
    {
        m_state->requests->end(m_exchanges.back()->id);
        m_exchanges.pop_back();
        std::rethrow_exception(failure);
    }
    co_return reply;
}

/// Writes the responses that are ready and have none before them.
asio::awaitable<void> caller_connection::write_ready()
{
    if (std::exchange(m_writes, true))
        co_return;
    while (!m_exchanges.empty() && m_exchanges.front()->is_ready)
    {
        const auto item = m_exchanges.front();
        if (item->has_failed && !m_is_gone)
        {
            m_is_gone = true;
            m_stream.close();
        }
        if (!m_is_gone)
            co_await write(*item);
        release_ready(*item);
        m_state->requests->end(item->id);
        m_exchanges.pop_front();
        m_changed.cancel();
    }
    m_writes = false;
    if (m_waits && m_exchanges.empty() && !m_is_last)
        begin_idle();
}

asio::awaitable<void> caller_connection::write(exchange& item)
{
    // A response that closes the connection is sent only after all requests that were passed on.
    const bool stays_open =
        item.keep_alive && !((m_state->stopping || m_is_last) && m_exchanges.size() == 1);
    m_is_last = m_is_last || !stays_open;
    auto response = to_response(std::move(item.reply), stays_open);
    m_is_last = m_is_last || !response.keep_alive();
    if (item.is_head)
        response.body().clear();
    // The request is not needed any more. A received body is held by its reply or the connection.
    const bool is_held = item.reply.memory || item.ready_bytes > 0;
    m_state->requests->hold_answer(item.id, is_held ? 0 : response.body().size());
    beast::error_code ec;
    m_stream.expires_after(m_state->limits.header_timeout);
    co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, ec));
    if (ec.failed())
    {
        m_is_gone = true;
        m_stream.close();
    }
    else if (m_is_last && m_waits && m_exchanges.size() == 1)
        m_stream.cancel(); // ends the wait for a request that will not be read
}

asio::awaitable<void> caller_connection::refuse(beast::error_code ec)
{
    const auto defect = m_aborted                         ? request_defect::no_memory
                        : ec == http::error::header_limit ? request_defect::header_too_large
                        : ec == http::error::body_limit   ? request_defect::body_too_large
                                                          : request_defect::malformed;
    auto response = to_response(m_state->on_malformed(defect), false);
    beast::error_code ignored;
    m_stream.expires_after(m_state->limits.header_timeout);
    co_await http::async_write(m_stream, response,
                               asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace eelgrassrail
