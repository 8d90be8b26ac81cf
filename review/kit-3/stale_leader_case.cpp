/// The coordinator freezes, its successor moves keys and is killed with others, and the store comes
/// back from a copy that is older than the successor's claim: do two workers hold the same keys?
#include "../../tests/standins/hold_check.hpp"
#include "../../tests/standins/hold_event.hpp"
#include "../../tests/standins/log_record_bytes.hpp"
#include "loopback_site.hpp"
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/peers/codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

DEFINE_string(router, "target/eelgrassrail_platform", "program of the deploy file");
DEFINE_string(stand_ins, "target/review-3", "folder of the stand-ins");
DEFINE_string(scratch, "", "folder for logs and settings");
DEFINE_string(record, "record.txt", "file for the record");
DEFINE_bool(trouble, true, "with the disruptions");
DEFINE_int32(rate, 200, "requests a second");
DEFINE_int32(freeze_ms, 3'500, "time for which the coordinator is frozen");
DEFINE_int32(drill_at_ms, 3'100, "time from the freeze to the drill");
DEFINE_int32(away_ms, 300, "time for which the store is away in the drill");

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;
namespace asio = boost::asio;

constexpr std::size_t routers = 5;
constexpr std::size_t killed_routers = 3; ///< the share of `herd_kill` in the sites, 0.55 to 0.6
constexpr int groups = 2;
constexpr int workers_of_group = 10;
constexpr double hot_share = 0.35;
constexpr std::uint32_t hot_keys = 200;
constexpr std::uint32_t all_keys = 65'536;

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

class stale_leader_case
{
  public:
    stale_leader_case()
        : m_record(FLAGS_record)
        , m_store("127.11.1.1:" + std::to_string(find_free_ports("127.11.1.1", 1)))
        , m_site({FLAGS_router, FLAGS_stand_ins, FLAGS_scratch}, make_settings())
        , m_worker_port(find_free_ports("127.11.2.1", groups * workers_of_group))
        , m_store_client(m_context.get_executor(), m_store, 4)
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

    asio::awaitable<http_exchange> call_store(std::string method, std::string target,
                                              std::string body)
    {
        http_call call;
        call.method = std::move(method);
        call.target = std::move(target);
        call.body = std::move(body);
        co_return co_await m_store_client.exchange(std::move(call),
                                                   boot_clock::now() + millis(1'000));
    }

    /// The router that coordinates by the newest record; none: `routers`.
    asio::awaitable<std::size_t> find_coordinator()
    {
        const auto exchange =
            co_await call_store("GET", "/record?topic=keyed.ownership&key=map", "");
        const auto record = read_message<ownership_record>(exchange.reply.body);
        std::size_t n = routers;
        if (record)
            for (std::size_t i = 0; i < routers; ++i)
                if (record->coordinator.address.starts_with(m_site.routers()[i].ip + ":"))
                    n = i;
        co_return n;
    }

    asio::awaitable<void> send_one(std::size_t at, std::uint32_t key)
    {
        http_call call;
        call.method = "GET";
        call.target = "/read/x";
        const auto attempt = "a" + std::to_string(m_next_attempt++);
        call.fields = {{"Host", "site"},
                       {"Eelgrassrail-Attempt-Id", attempt},
                       {"Eelgrassrail-Deadline-Ms", "4000"},
                       {"Eelgrassrail-Shard-Key", std::to_string(key)}};
        ++m_sent;
        const auto exchange =
            co_await m_clients[at]->exchange(std::move(call), boot_clock::now() + millis(4'000));
        if (exchange.result == exchange_result::complete && exchange.reply.status == 200)
            ++m_served;
    }

    asio::awaitable<void> load()
    {
        constexpr std::size_t connections = 500;
        for (std::size_t n = 0; n < routers; ++n)
            m_clients.push_back(std::make_unique<http_client>(m_context.get_executor(),
                                                              m_site.front_of(n), connections));
        constexpr std::chrono::seconds change_interval{4};
        constexpr millis step{10};
        std::uint32_t hot = 0;
        auto next_change = boot_clock::now();
        auto next = boot_clock::now();
        double owed = 0;
        while (m_is_loading)
        {
            const auto now = boot_clock::now();
            if (now >= next_change)
            {
                hot =
                    std::uniform_int_distribution<std::uint32_t>(0, all_keys - hot_keys)(m_random);
                next_change = now + change_interval;
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
                asio::co_spawn(m_context, send_one(at, key), asio::detached);
            }
            next += step;
            const auto wait = std::chrono::duration_cast<millis>(next - boot_clock::now());
            co_await delay(std::max(wait, millis(1)));
        }
    }

    asio::awaitable<void> disrupt()
    {
        const auto first = co_await find_coordinator();
        if (first == routers)
            co_return;
        auto& frozen = m_site.routers()[first];
        const auto begin = boot_clock::now();
        m_record.add("freezes the coordinator " + frozen.name);
        frozen.process->send(SIGSTOP);
        auto second = first;
        auto claimed_at = begin;
        while (second == first && boot_clock::now() < begin + millis(FLAGS_drill_at_ms))
        {
            co_await delay(millis(20));
            second = co_await find_coordinator();
            claimed_at = boot_clock::now();
        }
        if (second == first || second == routers)
        {
            frozen.process->send(SIGCONT);
            m_record.add("no successor in time");
            co_return;
        }
        m_record.add("successor " + m_site.routers()[second].name);
        co_await delay(
            std::chrono::ceil<millis>(begin + millis(FLAGS_drill_at_ms) - boot_clock::now()));
        constexpr millis margin{200};
        const auto age = std::chrono::ceil<millis>(boot_clock::now() - claimed_at) + margin;
        std::vector<std::size_t> killed{second};
        for (std::size_t n = 0; n < routers && killed.size() < killed_routers; ++n)
            if (n != first && n != second)
                killed.push_back(n);
        for (const auto n : killed)
            m_site.routers()[n].process->send(SIGKILL);
        co_await call_store("POST",
                            "/restore?age_ms=" + std::to_string(age.count()) +
                                "&away_ms=" + std::to_string(FLAGS_away_ms),
                            "");
        m_record.add("kills " + std::to_string(killed.size()) +
                     " processes with the successor; the store is away for " +
                     std::to_string(FLAGS_away_ms) + " ms and comes back from a copy " +
                     std::to_string(age.count()) + " ms old");
        co_await delay(
            std::chrono::ceil<millis>(begin + millis(FLAGS_freeze_ms) - boot_clock::now()));
        frozen.process->send(SIGCONT);
        m_thawed_us = now_us();
        m_record.add("thaws " + frozen.name);
        co_await delay(millis(2'000));
        for (const auto n : killed)
            m_site.start_router(n, false);
        m_record.add("restarts what was killed");
        m_has_disrupted = true;
    }

    asio::awaitable<void> play()
    {
        auto store = m_site.start_stand_in(
            "limited_store",
            {"--address=" + m_store,
             "--inner_address=127.11.1.2:" + std::to_string(find_free_ports("127.11.1.2", 1))},
            "store");
        co_await delay(millis(500));
        co_await call_store(
            "POST", "/api/log-append?topic=keyed.op&part=0",
            test::log_record_bytes(
                "config",
                R"({"version":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
                R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"site","rules":[)"
                R"({"name":"read","kind":"safe","target_latency":"600ms","priority":0,)"
                R"("match":{"path_prefix":"/read/"},"action":{"service":"keys","timeout":"2000ms","max_attempts":3}}]}],)"
                R"("clusters":[{"name":"keys","max_connections":130,"sharded":true,"warm":"3s"}]})"));
        std::vector<harness::child_process> workers;
        workers.reserve(groups);
        for (int n = 0; n < groups; ++n)
            workers.push_back(m_site.start_stand_in(
                "worker_group",
                {"--id=i-" + std::to_string(100'000 + n), "--ip=127.11.2.1",
                 "--first_port=" + std::to_string(m_worker_port + n * workers_of_group),
                 "--store=" + m_store, "--service=keys", "--zone=z" + std::to_string(n % 3 + 1),
                 "--count=" + std::to_string(workers_of_group), "--run_ms=150", "--prints_runs",
                 "--born_ms=" + std::to_string(1'790'000'000'000 + n)},
                "workers-" + std::to_string(n)));
        m_site.start_routers(true);
        co_await delay(millis(4'000));
        asio::co_spawn(m_context, load(), asio::detached);
        co_await delay(millis(10'000));
        if (FLAGS_trouble)
            co_await disrupt();
        co_await delay(millis(14'000));
        m_is_loading = false;
        co_await delay(millis(4'500));
        workers.clear();
        judge();
        m_context.stop();
    }

    void judge()
    {
        test::hold_journal journal;
        for (int n = 0; n < groups; ++n)
        {
            std::ifstream in(FLAGS_scratch + "/workers-" + std::to_string(n) + ".log");
            for (std::string line; std::getline(in, line);)
                if (auto event = test::parse_hold_line(line))
                    journal.push_back(std::move(*event));
        }
        std::ranges::stable_sort(journal, {}, &test::hold_event::at_us);
        constexpr std::int64_t thaw_us = 300'000;
        test::hold_check check(
            [this](const test::hold_event& event)
            {
                const bool is_after_thaw = m_thawed_us > 0 && event.arrived_us >= m_thawed_us &&
                                           event.arrived_us < m_thawed_us + thaw_us;
                return is_after_thaw ? std::string("sender thawed") : std::string();
            });
        for (const auto& event : journal)
            check.add(event);
        const auto violations = check.violations();
        m_record.add("requests sent=" + std::to_string(m_sent) + " served=" +
                     std::to_string(m_served) + ", lease events=" + std::to_string(journal.size()));
        constexpr std::size_t most_lines = 20;
        for (std::size_t n = 0; n < std::min(most_lines, violations.size()); ++n)
            m_record.add("OWNER: " + violations[n]);
        m_record.add("cases of OWNER that count: " + std::to_string(violations.size()) +
                     ", not counted: " + std::to_string(check.excluded().size()));
        if (journal.empty() || m_served == 0 || (FLAGS_trouble && !m_has_disrupted))
            m_result = 2;
        else
            m_result = violations.empty() ? 0 : 1;
        m_record.add("result " + std::to_string(m_result));
    }

    asio::io_context m_context{1};
    case_record m_record;
    std::string m_store;
    loopback_site m_site;
    std::uint16_t m_worker_port;
    http_client m_store_client;
    std::mt19937 m_random{1};
    std::vector<std::unique_ptr<http_client>> m_clients;
    std::uint64_t m_sent{};
    std::uint64_t m_served{};
    std::uint64_t m_next_attempt{};
    std::int64_t m_thawed_us{};
    bool m_is_loading{true};
    bool m_has_disrupted{};
    int m_result{2};
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return stale_leader_case().run();
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
