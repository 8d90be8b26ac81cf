/// Hot keys that change, a rolling release of the workers, and the final fault (all processes of
/// the system are killed): is a quarter of the requests served again after the recovery time?
#include "../../tests/standins/log_record_bytes.hpp"
#include "loopback_site.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

DEFINE_string(router, "target/eelgrassrail_platform", "program of the deploy file");
DEFINE_string(stand_ins, "target/review-3", "folder of the stand-ins");
DEFINE_string(scratch, "", "folder for logs and settings");
DEFINE_string(record, "record.txt", "file for the record");
DEFINE_bool(trouble, true, "the busy keys change; otherwise the same ones stay busy");
DEFINE_int32(growth_s, 55, "time of load before the release");
DEFINE_double(change_s, 1.0, "the busy keys change at this interval");
DEFINE_int32(rate, 1'800, "requests a second");
DEFINE_int32(groups, 20, "groups of ten workers");
DEFINE_int32(run_ms, 150, "duration of a run");

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;
namespace asio = boost::asio;

constexpr std::size_t routers = 6;
constexpr int workers_of_group = 10;
constexpr double hot_share = 0.35;
constexpr std::uint32_t hot_keys = 200;
constexpr std::uint32_t all_keys = 65'536;

/// Requests sent in one phase and those that were served.
struct phase_count
{
    std::string name;
    std::uint64_t sent{};
    std::uint64_t served{};
};

class growing_record_case
{
  public:
    growing_record_case()
        : m_record(FLAGS_record)
        , m_store("127.11.1.1:" + std::to_string(find_free_ports("127.11.1.1", 1)))
        , m_site({FLAGS_router, FLAGS_stand_ins, FLAGS_scratch}, make_settings())
        , m_worker_port(find_free_ports("127.11.2.1", 2'000))
    {
    }

    int run()
    {
        asio::co_spawn(m_context, play(), asio::detached);
        m_context.run();
        return m_result;
    }

  private:
    site_settings make_settings() const
    {
        site_settings settings;
        settings.store = m_store;
        settings.routers = routers;
        settings.zones = 3;
        return settings;
    }

    asio::awaitable<void> delay(millis time)
    {
        asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    harness::child_process start_group(int n)
    {
        return m_site.start_stand_in(
            "worker_group",
            {"--id=i-" + std::to_string(100'000 + n), "--ip=127.11.2.1",
             "--first_port=" + std::to_string(m_worker_port + n * workers_of_group),
             "--store=" + m_store, "--service=keys", "--zone=z" + std::to_string(n % 3 + 1),
             "--count=" + std::to_string(workers_of_group),
             "--run_ms=" + std::to_string(FLAGS_run_ms),
             "--born_ms=" + std::to_string(1'790'000'000'000 + n)},
            "workers-" + std::to_string(n));
    }

    asio::awaitable<void> publish_config()
    {
        http_client client(m_context.get_executor(), m_store, 1);
        http_call call;
        call.method = "POST";
        call.target = "/api/log-append?topic=keyed.op&part=0";
        call.body = test::log_record_bytes(
            "config",
            R"({"version":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
            R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"site","rules":[)"
            R"({"name":"read","kind":"safe","target_latency":"600ms","priority":0,)"
            R"("match":{"path_prefix":"/read/"},"action":{"service":"keys","timeout":"2000ms","max_attempts":3}}]}],)"
            R"("clusters":[{"name":"keys","max_connections":130,"sharded":true,"warm":"3s"}]})");
        co_await client.exchange(std::move(call), boot_clock::now() + millis(1'000));
    }

    asio::awaitable<void> send_one(std::size_t at, std::uint32_t key, std::size_t phase)
    {
        http_call call;
        call.method = "GET";
        call.target = "/read/x";
        const auto attempt = "a" + std::to_string(m_next_attempt++);
        call.fields = {{"Host", "site"},
                       {"Eelgrassrail-Attempt-Id", attempt},
                       {"Eelgrassrail-Deadline-Ms", "4000"},
                       {"Eelgrassrail-Shard-Key", std::to_string(key)}};
        ++m_phases[phase].sent;
        const auto exchange =
            co_await m_clients[at]->exchange(std::move(call), boot_clock::now() + millis(4'000));
        constexpr unsigned status_ok = 200;
        if (exchange.result == exchange_result::complete && exchange.reply.status == status_ok &&
            exchange.reply.body.starts_with("answer to " + attempt + " "))
            ++m_phases[phase].served;
        ++m_statuses[exchange.result == exchange_result::complete ? exchange.reply.status : 0];
    }

    /// An open loop: so many requests a second, whatever becomes of them.
    asio::awaitable<void> load()
    {
        constexpr std::size_t connections = 1'500;
        for (std::size_t n = 0; n < routers; ++n)
        {
            m_clients.push_back(std::make_unique<http_client>(m_context.get_executor(),
                                                              m_site.front_of(n), connections));
            m_clients.back()->set_keep_time(millis(5'000));
        }
        std::uint32_t hot = 20'000;
        auto next_change = boot_clock::now();
        constexpr millis step{10};
        auto next = boot_clock::now();
        double owed = 0;
        while (m_is_loading)
        {
            const auto now = boot_clock::now();
            if (FLAGS_trouble && now >= next_change)
            {
                hot =
                    std::uniform_int_distribution<std::uint32_t>(0, all_keys - hot_keys)(m_random);
                next_change = now + millis(static_cast<int>(FLAGS_change_s * 1'000));
            }
            for (owed += FLAGS_rate * 0.01; owed >= 1; owed -= 1)
            {
                const bool is_hot = std::uniform_real_distribution<>(0, 1)(m_random) < hot_share;
                const auto key =
                    is_hot
                        ? hot + std::uniform_int_distribution<std::uint32_t>(0,
                                                                             hot_keys - 1)(m_random)
                        : std::uniform_int_distribution<std::uint32_t>(0, all_keys - 1)(m_random);
                const auto at =
                    std::uniform_int_distribution<std::size_t>(0, routers - 1)(m_random);
                asio::co_spawn(m_context, send_one(at, key, m_phase), asio::detached);
            }
            next += step;
            const auto wait = std::chrono::duration_cast<millis>(next - boot_clock::now());
            co_await delay(std::max(wait, millis(1)));
        }
    }

    void begin_phase(const std::string& name)
    {
        m_phases.push_back({name, 0, 0});
        m_phase = m_phases.size() - 1;
        m_record.add("phase " + name);
    }

    /// The newest size of the ownership record, from the log of the store.
    std::string store_state() const
    {
        std::ifstream in(FLAGS_scratch + "/store.log");
        std::string last;
        std::size_t taken = 0;
        std::size_t rejected = 0;
        for (std::string line; std::getline(in, line);)
        {
            if (line.ends_with(" taken"))
                ++taken;
            else if (line.ends_with(" rejected"))
                ++rejected;
            last = line.substr(line.find(' ') + 1);
        }
        return "newest append: " + last + "; taken=" + std::to_string(taken) +
               " rejected=" + std::to_string(rejected);
    }

    void log_phase(std::size_t n)
    {
        const auto& item = m_phases[n];
        std::string statuses;
        for (const auto& [status, count] : m_statuses)
            statuses += " " + std::to_string(status) + ":" + std::to_string(count);
        m_statuses.clear();
        m_record.add("  " + item.name + ": sent=" + std::to_string(item.sent) +
                     " served=" + std::to_string(item.served) + " statuses (0: none)" + statuses +
                     "; " + store_state());
    }

    asio::awaitable<void> watch()
    {
        while (m_is_loading)
        {
            co_await delay(millis(5'000));
            log_phase(m_phase);
        }
    }

    asio::awaitable<void> play()
    {
        auto store = m_site.start_stand_in(
            "limited_store",
            {"--address=" + m_store,
             "--inner_address=127.11.1.2:" + std::to_string(find_free_ports("127.11.1.2", 1))},
            "store");
        co_await delay(millis(500));
        co_await publish_config();
        std::vector<harness::child_process> workers;
        workers.reserve(2 * static_cast<std::size_t>(FLAGS_groups));
        for (int n = 0; n < FLAGS_groups; ++n)
            workers.push_back(start_group(n));
        m_site.start_routers(true);
        co_await delay(millis(5'000));
        begin_phase("load");
        asio::co_spawn(m_context, load(), asio::detached);
        asio::co_spawn(m_context, watch(), asio::detached);
        co_await delay(std::chrono::seconds(FLAGS_growth_s));
        begin_phase("release");
        for (int n = 0; n < FLAGS_groups; ++n)
        {
            workers.push_back(start_group(FLAGS_groups + n));
            workers[static_cast<std::size_t>(n)].send(SIGTERM);
            co_await delay(millis(1'000));
        }
        m_record.add("kills all processes of the system");
        for (auto& router : m_site.routers())
            router.process->send(SIGKILL);
        co_await delay(millis(1'400));
        m_site.start_routers(false);
        begin_phase("recovery");
        co_await delay(millis(15'000));
        begin_phase("after");
        co_await delay(millis(10'000));
        m_is_loading = false;
        co_await delay(millis(4'200));
        judge();
        m_context.stop();
    }

    void judge()
    {
        const auto share = [](std::uint64_t served, std::uint64_t sent)
        { return sent == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(sent); };
        const auto before_sent = m_phases[0].sent + m_phases[1].sent;
        const auto before = share(m_phases[0].served + m_phases[1].served, before_sent);
        const auto after = share(m_phases[3].served, m_phases[3].sent);
        constexpr double quarter = 0.25;
        for (const auto& item : m_phases)
            m_record.add("phase " + item.name + ": sent=" + std::to_string(item.sent) +
                         " served=" + std::to_string(item.served));
        m_record.add("served before the final fault " + std::to_string(before) +
                     ", later than 15 s after the restart " + std::to_string(after));
        if (before < quarter || m_phases[3].sent == 0)
            m_result = 2;
        else
            m_result = after < quarter ? 1 : 0;
        m_record.add("result " + std::to_string(m_result));
    }

    asio::io_context m_context{1};
    case_record m_record;
    std::string m_store;
    loopback_site m_site;
    std::uint16_t m_worker_port;
    std::mt19937 m_random{1};
    std::vector<std::unique_ptr<http_client>> m_clients;
    std::vector<phase_count> m_phases;
    std::map<unsigned, std::uint64_t> m_statuses;
    std::size_t m_phase{};
    std::uint64_t m_next_attempt{};
    bool m_is_loading{true};
    int m_result{2};
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return growing_record_case().run();
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
