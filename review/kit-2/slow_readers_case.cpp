/// Callers send eight safe requests at once on each connection and read the answers slowly. What a
/// router holds for them counts toward its memory.
#include "small_deployment.hpp"
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;

namespace asio = boost::asio;

constexpr std::size_t memory_mb = 120; ///< of a VM, the smallest that the pages name
constexpr std::size_t answer_bytes = 1'000'000;
constexpr std::size_t requests = 8;    ///< of a connection, sent at once
constexpr millis caller_interval{100}; ///< between two callers of a router
constexpr std::size_t crowded_routers = 2;
constexpr std::size_t max_ends = 2; ///< rule Fault: three ends of a VM's processes
constexpr millis play_time{45'000};
constexpr millis caller_time{5'000};
constexpr millis read_interval{50};
constexpr std::size_t read_bytes = 4'096; ///< in each interval, of a caller that reads slowly
constexpr millis restart_time{500};
constexpr millis warm_up_limit{20'000};
constexpr int worker_count = 8;

std::size_t resident_kb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(line.find(':') + 1));
    return 0;
}

class slow_readers_case
{
  public:
    slow_readers_case(asio::io_context& context, const std::string& folder)
        : m_context(context)
        , m_it(context, folder, {{"limits.memory_mb", std::to_string(memory_mb)}})
    {
    }

    asio::awaitable<int> run()
    {
        m_it.configure(config_text(1, rule_text("page", true, "pages", "2500ms"),
                                   R"({"name":"pages","max_connections":130})"));
        for (int n = 0; n < worker_count; ++n)
        {
            worker_options options;
            options.id = "p" + std::to_string(n + 1);
            options.service = "pages";
            options.zone = "z" + std::to_string(n % 3 + 1);
            options.slots = 6;
            options.run_time = millis(60);
            options.answer_bytes = answer_bytes;
            m_it.start_worker(m_it.add_worker(options));
        }
        m_it.start_routers(3);
        m_ends.resize(m_it.routers.size());
        m_peaks_kb.resize(m_it.routers.size());
        asio::co_spawn(m_context, watch_memory(), asio::detached);
        if (!co_await is_served())
            co_return could_not_run;
        const auto until = boot_clock::now() + play_time;
        while (boot_clock::now() < until)
        {
            for (std::size_t at = 0; at < crowded_routers; ++at)
                asio::co_spawn(m_context, call_at_once(at), asio::detached);
            co_await m_it.delay(caller_interval);
        }
        co_await m_it.delay(caller_time);
        const bool is_alive = co_await is_served();
        m_is_over = true;
        co_return judge(is_alive);
    }

  private:
    /// The platform: ends a process whose memory exceeds that of its VM, and starts it again.
    asio::awaitable<void> watch_memory()
    {
        while (!m_is_over)
        {
            for (std::size_t n = 0; n < m_it.routers.size(); ++n)
            {
                auto& item = m_it.routers[n];
                const auto used_kb = resident_kb(item.process->pid());
                m_peaks_kb[n] = std::max(m_peaks_kb[n], used_kb);
                if (used_kb <= memory_mb * 1'024)
                    continue;
                ++m_ends[n];
                m_it.record("router " + item.name + " uses " + std::to_string(used_kb) +
                            " kB, more than its VM has: the platform kills it");
                item.process->kill();
                co_await m_it.delay(restart_time);
                m_it.start(item);
            }
            co_await m_it.delay(millis(10));
        }
    }

    asio::awaitable<bool> is_served()
    {
        const auto until = boot_clock::now() + warm_up_limit;
        for (std::size_t served = 0; boot_clock::now() < until;)
        {
            const auto result =
                co_await m_it.call(m_it.routers[served], "GET", "/page/first",
                                   "w" + std::to_string(++m_sent), std::nullopt, millis(4'000));
            served += result.status == 200 && result.is_own ? 1 : 0;
            if (served == m_it.routers.size())
                co_return true;
            co_await m_it.delay(millis(100));
        }
        co_return false;
    }

    /// One caller: sends its requests at once and reads their answers in order.
    asio::awaitable<void> call_at_once(std::size_t router_number)
    {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_context, asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(read_bytes), ec);
        co_await socket.async_connect(parse_tcp_address(m_it.routers[router_number].front),
                                      asio::redirect_error(asio::use_awaitable, ec));
        std::string bytes;
        for (std::size_t n = 0; n < requests; ++n)
            bytes += "GET /page/" + std::to_string(n) +
                     " HTTP/1.1\r\nHost: case.example\r\nEelgrassrail-Attempt-Id: c" +
                     std::to_string(++m_sent) + "\r\nEelgrassrail-Deadline-Ms: 4000\r\n\r\n";
        if (!ec.failed())
            co_await asio::async_write(socket, asio::buffer(bytes),
                                       asio::redirect_error(asio::use_awaitable, ec));
        asio::steady_timer limit(m_context, caller_time);
        limit.async_wait(
            [&socket](const boost::system::error_code& error)
            {
                boost::system::error_code ignored;
                if (!error.failed())
                    socket.close(ignored);
            });
        std::vector<char> buf(small_deployment::has_trouble() ? read_bytes : 262'144);
        std::size_t received = 0;
        while (!ec.failed() && received < requests * answer_bytes)
        {
            received += co_await socket.async_read_some(
                asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            if (small_deployment::has_trouble())
                co_await m_it.delay(read_interval);
        }
        limit.cancel();
        m_received += received;
        m_whole += received >= requests * answer_bytes ? 1 : 0;
    }

    int judge(bool is_alive)
    {
        std::size_t broken = 0;
        for (std::size_t n = 0; n < m_it.routers.size(); ++n)
        {
            m_it.record("router " + m_it.routers[n].name +
                        " peak=" + std::to_string(m_peaks_kb[n]) + " kB of " +
                        std::to_string(memory_mb * 1'024) + " ends=" + std::to_string(m_ends[n]));
            broken += m_ends[n] > max_ends ? 1 : 0;
        }
        std::size_t runs = 0;
        for (const auto& worker : m_it.workers)
            runs += worker->runs().size();
        m_it.record("runs=" + std::to_string(runs) + " callers with all answers=" +
                    std::to_string(m_whole) + " bytes received=" + std::to_string(m_received) +
                    " served at the end=" + (is_alive ? "1" : "0"));
        m_it.record("routers with three ends or more=" + std::to_string(broken) +
                    " rule broken from 2 on");
        return broken >= crowded_routers ? rule_broken : is_alive ? rule_held : could_not_run;
    }

    asio::io_context& m_context;
    small_deployment m_it;
    std::uint64_t m_sent{};
    std::uint64_t m_received{};
    std::size_t m_whole{};
    std::vector<std::size_t> m_ends;     ///< by router
    std::vector<std::size_t> m_peaks_kb; ///< by router
    bool m_is_over{};
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    return run_case(
        [&](asio::io_context& context) -> asio::awaitable<int>
        {
            slow_readers_case it(context, folder);
            co_return co_await it.run();
        },
        millis(110'000));
}
