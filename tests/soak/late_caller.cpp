/// Sends a request in two parts; judges what became of it.
#include "late_caller.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace eelgrassrail::soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

} // namespace

asio::awaitable<late_request> send_late(asio::io_context& context, std::uint16_t port,
                                        std::string bytes, instant rest_at)
{
    constexpr std::chrono::seconds timeout{6};
    late_request result;
    boost::system::error_code ec;
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    co_await stream.async_connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                  asio::redirect_error(asio::use_awaitable, ec));
    if (ec.failed())
        co_return result;
    const auto half = bytes.size() / 2;
    co_await asio::async_write(stream, asio::buffer(bytes.data(), half),
                               asio::redirect_error(asio::use_awaitable, ec));
    asio::steady_timer timer(context, rest_at - boot_clock::now());
    co_await timer.async_wait(asio::use_awaitable);
    if (!ec.failed())
        co_await asio::async_write(stream, asio::buffer(bytes.data() + half, bytes.size() - half),
                                   asio::redirect_error(asio::use_awaitable, ec));
    if (ec.failed())
        co_return result;
    result.sent_us = now_us();
    beast::flat_buffer buf;
    http::response<http::string_body> answer;
    co_await http::async_read(stream, buf, answer, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec.failed())
        result.status = answer.result_int();
    co_return result;
}

std::vector<std::string> check_late_requests(const std::vector<late_request>& requests,
                                             const std::vector<late_run>& runs, millis grace)
{
    constexpr std::int64_t us_per_ms = 1'000;
    constexpr std::int64_t early_us = 3'000 * us_per_ms;
    const auto last_sixth_us = grace.count() * us_per_ms * 5 / 6;
    std::vector<std::string> violations;
    for (const auto& request : requests)
        for (const auto& run : runs)
        {
            const bool was_at_work =
                run.ended_us == 0 || run.ended_us > request.stopped_us + last_sixth_us;
            const bool is_allowed = request.sent_us < request.stopped_us + early_us && was_at_work;
            if (run.attempt == request.attempt && request.status == 0 && !is_allowed)
                violations.push_back(
                    "cut: " + request.attempt + " ran and got no answer; it was sent " +
                    std::to_string((request.sent_us - request.stopped_us) / us_per_ms) +
                    " ms after the SIGTERM of router " + std::to_string(request.router));
        }
    return violations;
}

} // namespace eelgrassrail::soak
