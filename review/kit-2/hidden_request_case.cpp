/// A caller sends a request whose body has a transfer coding that the router does not know. The
/// body holds the text of another request.
#include "small_deployment.hpp"
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;

namespace asio = boost::asio;

constexpr millis warm_up_limit{20'000};
constexpr int uploads = 6;

class hidden_request_case
{
  public:
    hidden_request_case(asio::io_context& context, const std::string& folder)
        : m_context(context)
        , m_it(context, folder)
    {
    }

    asio::awaitable<int> run()
    {
        m_it.configure(config_text(1,
                                   rule_text("upload", false, "orders", "2500ms") + "," +
                                       rule_text("order", false, "orders", "2500ms"),
                                   R"({"name":"orders","max_connections":130})"));
        for (int n = 0; n < 3; ++n)
        {
            worker_options options;
            options.id = "w" + std::to_string(n + 1);
            options.service = "orders";
            options.zone = "z" + std::to_string(n + 1);
            m_it.start_worker(m_it.add_worker(options));
        }
        m_it.start_routers(3);
        if (!co_await is_served())
            co_return could_not_run;
        for (int n = 0; n < uploads; ++n)
            co_await upload(n);
        co_return judge();
    }

  private:
    asio::awaitable<bool> is_served()
    {
        const auto until = boot_clock::now() + warm_up_limit;
        for (std::size_t served = 0; boot_clock::now() < until;)
        {
            const auto result = co_await m_it.call(m_it.routers[served], "POST", "/order/first",
                                                   sent("w" + std::to_string(++m_sent)),
                                                   std::nullopt, millis(4'000));
            served += result.status == 200 ? 1 : 0;
            if (served == m_it.routers.size())
                co_return true;
            co_await m_it.delay(millis(100));
        }
        co_return false;
    }

    std::string sent(std::string attempt)
    {
        m_attempts.push_back(attempt);
        return attempt;
    }

    /// Sends one upload on a connection of its own and reads what comes back for a second.
    asio::awaitable<void> upload(int number)
    {
        const auto& at = m_it.routers[static_cast<std::size_t>(number) % m_it.routers.size()];
        const auto attempt = sent("upload" + std::to_string(number));
        // Part of the bytes of the file that is uploaded; no request of anybody.
        const std::string file = "POST /order/hidden HTTP/1.1\r\nHost: case.example\r\n"
                                 "Eelgrassrail-Attempt-Id: hidden" +
                                 std::to_string(number) +
                                 "\r\nEelgrassrail-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
        const std::string framing = small_deployment::has_trouble()
                                        ? std::string("Transfer-Encoding: gzip\r\n")
                                        : "Content-Length: " + std::to_string(file.size()) + "\r\n";
        const auto bytes = "POST /upload/file HTTP/1.1\r\nHost: case.example\r\n"
                           "Eelgrassrail-Attempt-Id: " +
                           attempt + "\r\nEelgrassrail-Deadline-Ms: 4000\r\n" + framing + "\r\n" +
                           file;
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_context);
        co_await socket.async_connect(parse_tcp_address(at.front),
                                      asio::redirect_error(asio::use_awaitable, ec));
        if (!ec.failed())
            co_await asio::async_write(socket, asio::buffer(bytes),
                                       asio::redirect_error(asio::use_awaitable, ec));
        co_await m_it.delay(millis(1'500));
        std::string reply(16'384, '\0');
        socket.non_blocking(true, ec);
        const auto n = socket.read_some(asio::buffer(reply), ec);
        reply.resize(n);
        std::size_t answers = 0;
        for (auto found = reply.find("HTTP/1.1 "); found != std::string::npos;
             found = reply.find("HTTP/1.1 ", found + 1))
        {
            ++answers;
            m_it.record("answer to the connection of " + attempt + ": " +
                        reply.substr(found, reply.find("\r\n", found) - found));
        }
        m_it.record("sent " + attempt + " to=" + at.name + " answers=" + std::to_string(answers));
    }

    /// Rule UNASKED: a worker runs a request whose id no requester sent, or one that was smuggled
    /// inside another request.
    int judge()
    {
        std::size_t broken = 0;
        std::size_t good = 0;
        for (const auto& worker : m_it.workers)
            for (const auto& item : worker->runs())
            {
                const bool is_sent =
                    std::ranges::find(m_attempts, item.attempt) != m_attempts.end();
                broken += is_sent ? 0 : 1;
                good += is_sent ? 1 : 0;
                m_it.record(std::string(is_sent ? "" : "BROKEN ") + "run worker=" +
                            worker->options().id + " attempt=" + item.attempt + " " + item.target);
            }
        m_it.record("runs of requests that were sent=" + std::to_string(good) +
                    " of others=" + std::to_string(broken));
        return broken > 0 ? rule_broken : good > 0 ? rule_held : could_not_run;
    }

    asio::io_context& m_context;
    small_deployment m_it;
    std::uint64_t m_sent{};
    std::vector<std::string> m_attempts; ///< ids of all requests that were sent
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    return run_case(
        [&](asio::io_context& context) -> asio::awaitable<int>
        {
            hidden_request_case it(context, folder);
            co_return co_await it.run();
        },
        millis(110'000));
}
