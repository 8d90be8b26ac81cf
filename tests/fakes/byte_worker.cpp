/// Accepts connections and plays the script for each request.
#include "byte_worker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace eelgrassrail::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Value of the attempt id field in a request's head; empty if there is none.
std::string attempt_of(const std::string& head)
{
    const std::string name = "Eelgrassrail-Attempt-Id: ";
    const auto at = head.find(name);
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

} // namespace

byte_worker::byte_worker(asio::io_context& context, script decide)
    : m_context(context)
    , m_decide(std::move(decide))
    , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(context, accept(), asio::detached);
}

std::string byte_worker::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

asio::awaitable<void> byte_worker::accept()
{
    for (;;)
    {
        boost::system::error_code ec;
        auto socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
            co_return;
        ++m_connections;
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

/// The requests have no body.
asio::awaitable<void> byte_worker::serve(tcp::socket socket)
{
    std::string buf;
    for (std::size_t position = 0;; ++position)
    {
        boost::system::error_code ec;
        const auto n =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n",
                                            asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
            co_return;
        byte_request request;
        request.attempt = attempt_of(buf.substr(0, n));
        request.nth = m_received++;
        request.position = position;
        buf.erase(0, n);
        const auto answer = m_decide(request);
        if (answer.is_run)
            m_runs.push_back(request.attempt);
        for (const auto& step : answer.steps)
        {
            asio::steady_timer timer(m_context, step.before);
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(step.bytes),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        if (answer.end == byte_end::keep)
            continue;
        if (answer.end == byte_end::reset)
            socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
        co_return;
    }
}

std::string answer_bytes(const std::string& attempt)
{
    const std::string body = "answer to " + attempt;
    return "HTTP/1.1 200 OK\r\nEelgrassrail-Attempt-Id: " + attempt +
           "\r\nEelgrassrail-Server-Signature: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal_bytes(unsigned status, const std::string& attempt)
{
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\n" +
           (attempt.empty() ? std::string() : "Eelgrassrail-Attempt-Id: " + attempt + "\r\n") +
           "Eelgrassrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace eelgrassrail::test
