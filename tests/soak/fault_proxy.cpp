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
#include <string_view>

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
    history seen;
    co_await (forward(client, server, false, seen) && forward(server, client, true, seen));
    m_open.erase(&client);
    m_open.erase(&server);
}

/// Writes the last refusal of the connection once more, at times without its id; or one without an
/// id if there was none.
void fault_proxy::repeat_refusal(socket& to, const history& seen)
{
    const std::string name = "Eelgrassrail-Attempt-Id: ";
    auto bytes = seen.refusal;
    if (bytes.empty())
        bytes = "HTTP/1.1 503 Full\r\nEelgrassrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const auto at = bytes.find(name);
    if (at != std::string::npos && m_random() % 2 == 0)
        bytes.erase(at, bytes.find("\r\n", at) + 2 - at);
    boost::system::error_code ec;
    to.write_some(asio::buffer(bytes), ec);
}

/// @return whether the answer was cut and its connection ended
bool fault_proxy::cut_answer(socket& to, const char* bytes, std::size_t n)
{
    constexpr unsigned one_in = 4;
    if (n == 0 || m_random() % one_in != 0)
        return false;
    boost::system::error_code ec;
    to.write_some(asio::buffer(bytes, m_random() % n), ec);
    if (m_random() % 2 == 0)
        to.set_option(asio::socket_base::linger(true, 0), ec);
    return true;
}

asio::awaitable<void> fault_proxy::forward(socket& from, socket& to, bool is_answer, history& seen)
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
        const std::string_view bytes(buf.data(), n);
        const bool is_reply = is_answer && bytes.starts_with("HTTP/1.1 ");
        if (is_reply && bytes.find("Eelgrassrail-Not-Executed") != std::string_view::npos)
            seen.refusal = bytes;
        seen.has_answers |= is_reply;
        if (is_reply && !ec.failed() && m_answer_fault == answer_fault::cut &&
            cut_answer(to, buf.data(), n))
            break;
        if (!ec.failed())
            co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                       asio::redirect_error(asio::use_awaitable, ec));
        constexpr unsigned repeat_one_in = 3;
        if (!is_answer && !ec.failed() && seen.has_answers &&
            bytes.find("Eelgrassrail-Attempt-Id") != std::string_view::npos &&
            m_answer_fault == answer_fault::repeat && m_random() % repeat_one_in == 0)
            repeat_refusal(from, seen);
    }
    // Passes the close on, so that the other side notices that its peer has disconnected.
    boost::system::error_code ignored;
    to.close(ignored);
}

} // namespace eelgrassrail::soak
