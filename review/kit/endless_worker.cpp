/// Answers with a chunk whose extension never ends.
#include "endless_worker.hpp"

#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace review
{

using namespace eelgrassrail;
namespace asio = boost::asio;

namespace
{

std::string field_of(const std::string& head, const std::string& name)
{
    const auto at = head.find(name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

instant router_links::reserve(const std::string& router, std::size_t bytes)
{
    auto& free_at = m_free_at[router];
    const auto at = std::max(boot_clock::now(), free_at);
    free_at = at + std::chrono::duration_cast<boot_clock::duration>(
                       std::chrono::duration<double>(static_cast<double>(bytes) / m_bytes_per_s));
    return at;
}

endless_worker::endless_worker(deployment& world, std::string id, bool is_faulty,
                               router_links& links)
    : m_world(world)
    , m_id(std::move(id))
    , m_address(world.free_worker_address())
    , m_is_faulty(is_faulty)
    , m_links(links)
    , m_acceptor(world.context(), parse_tcp_address(m_address))
{
    asio::co_spawn(world.context(), accept(), asio::detached);
}

asio::awaitable<void> endless_worker::enlist(std::string service)
{
    co_await m_world.put_entry(
        m_id, R"({"service":")" + service + R"(","address":")" + m_address +
                  R"(","zone":"zone-1","version":"v1","slots":3,"state":"ready",)" +
                  R"("cold_remaining":"0ms","seq":1,"born":)" + std::to_string(unix_ms()) + "}");
}

asio::awaitable<void> endless_worker::accept()
{
    for (;;)
    {
        boost::system::error_code ec;
        auto caller =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
            co_return;
        asio::co_spawn(m_world.context(), serve(std::move(caller)), asio::detached);
    }
}

asio::awaitable<void> endless_worker::serve(socket caller)
{
    constexpr millis run_time{100};
    std::string head;
    boost::system::error_code ec;
    co_await asio::async_read_until(caller, asio::dynamic_buffer(head), "\r\n\r\n",
                                    asio::redirect_error(asio::use_awaitable, ec));
    if (ec.failed())
        co_return;
    const auto attempt = field_of(head, "Eelgrassrail-Attempt-Id");
    m_world.events().add("runs " + attempt + " worker=" + m_id);
    co_await m_world.pause(run_time);
    ++m_answers;
    auto answer = "HTTP/1.1 200 OK\r\nEelgrassrail-Attempt-Id: " + attempt +
                  "\r\nEelgrassrail-Server-Signature: " + m_id + "\r\n";
    answer += m_is_faulty ? "Transfer-Encoding: chunked\r\n\r\n5;x="
                          : "Connection: close\r\nContent-Length: 5\r\n\r\nhello";
    co_await asio::async_write(caller, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (m_is_faulty && !ec.failed())
        co_await send_without_end(caller, attempt.substr(0, attempt.find('-')));
}

asio::awaitable<void> endless_worker::send_without_end(socket& caller, std::string router)
{
    constexpr std::size_t piece_bytes = 65'536;
    const std::string piece(piece_bytes, 'x');
    boost::system::error_code ec;
    while (!ec.failed())
    {
        const auto now = boot_clock::now();
        const auto at = m_links.reserve(router, piece_bytes);
        if (at - now > millis(1))
            co_await m_world.pause(std::chrono::duration_cast<millis>(at - now));
        co_await asio::async_write(caller, asio::buffer(piece),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    m_world.events().add("router " + router + " closed an answer without end of worker " + m_id);
}

} // namespace review
