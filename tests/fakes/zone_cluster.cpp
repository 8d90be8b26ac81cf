/// Routers on threads of their own, workers in three zones, and their requests.
#include "zone_cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/TestAssert.h>

#include <algorithm>
#include <eelgrassrail_platform/wire_names.hpp>

namespace eelgrassrail::test
{

namespace asio = boost::asio;

namespace
{

const std::string config_text =
    R"({"version":"r1","limits":{"idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
    R"({"name":"read","kind":"safe","target_latency":"300ms","match":{"path_prefix":"/read/"},"action":{"service":"keys",)"
    R"("timeout":"1500ms","max_attempts":3}},)"
    R"({"name":"book","kind":"unsafe","target_latency":"300ms","match":{"path_prefix":"/book/"},"action":)"
    R"({"service":"plain","timeout":"1500ms","max_attempts":3}}]}],"clusters":)"
    R"([{"name":"keys","max_connections":100,"sharded":true,"cold_start":"3s","cold_per_s":6.2},)"
    R"({"name":"plain","max_connections":100,"cold_start":"3s","cold_per_s":6.2}]})";

constexpr int first_port = 21'700;
constexpr int first_worker_offset = 1;
constexpr int first_router_offset = 20;
constexpr int router_ports = 3;

std::string address(int offset)
{
    return "127.0.0.1:" + std::to_string(first_port + offset);
}

} // namespace

router_on_thread::router_on_thread(router_settings settings, const std::string& store)
    : m_client(m_context.get_executor(), store)
    , m_router(std::make_unique<router_process>(
          m_context, std::move(settings), make_platform_calls(m_client), platform::wire_names()))
{
    m_router->start();
    m_thread = std::thread([this] { m_context.run(); });
}

void router_on_thread::pause()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

zone_cluster::zone_cluster()
    : store(context, address(0))
{
    store.put("keyed.op", "config", config_text);
}

void zone_cluster::start_worker(const std::string& id, millis cold)
{
    worker_settings settings;
    settings.id = id;
    settings.address = address(first_worker_offset + static_cast<int>(workers.size()));
    settings.service = id.starts_with('k') ? "keys" : "plain";
    settings.zone = "z" + id.substr(1);
    settings.is_sharded = id.starts_with('k');
    settings.start_time_ms = 1;
    settings.holds = &holds;
    settings.slots = 6;
    settings.run_ms = run_ms;
    workers.push_back(std::make_unique<worker_standin>(context, settings));
    workers.back()->set_cold(cold);
    write_entry(id);
}

std::size_t zone_cluster::start_router()
{
    const auto n = m_routers.size();
    const int offset = first_router_offset + static_cast<int>(n) * router_ports;
    router_settings settings;
    settings.vm = "r" + std::to_string(n);
    settings.zone = "z" + std::to_string(1 + n % 3);
    settings.caller_address = address(offset);
    settings.ready_address = address(offset + 1);
    settings.peer_address = address(offset + 2);
    settings.max_lease_duration = millis(3'000);
    settings.stop_timeout = millis(6'000);
    settings.retry_ratio = 0.2;
    settings.retry_slack = 50;
    settings.max_descriptors = 1'000;
    settings.processor = 1.0 / static_cast<double>(n + 1);
    settings.evacuate_timeout = evacuate_timeout;
    settings.cold_overage = cold_overage;
    settings.cold_slack = cold_slack;
    m_routers.push_back(std::make_unique<router_on_thread>(settings, address(0)));
    m_callers.push_back(
        std::make_unique<http_client>(context.get_executor(), address(offset), 200));
    m_running.push_back(n);
    return n;
}

asio::awaitable<bool> zone_cluster::coordinates(std::size_t router)
{
    http_client client(context.get_executor(),
                       address(first_router_offset + static_cast<int>(router) * router_ports + 2),
                       1);
    http_call call;
    call.method = "GET";
    call.target = "/metrics";
    const auto got = co_await client.exchange(std::move(call), boot_clock::now() + millis(1'000));
    co_return got.reply.body.find("coordinates 1\n") != std::string::npos;
}

asio::awaitable<void> zone_cluster::pause_coordinator()
{
    const auto running = m_running;
    for (const auto n : running)
    {
        const bool is_found = co_await coordinates(n);
        if (!is_found)
            continue;
        m_routers[n]->pause();
        std::erase(m_running, n);
        co_return;
    }
    CPPUNIT_FAIL("no router coordinates");
}

void zone_cluster::write_entry(std::string_view id)
{
    store.put("keyed.servers", std::string(id), worker(id).registration(false));
}

void zone_cluster::evacuate(const std::string& zone, bool is_evacuated)
{
    store.put("keyed.op", "evacuate/" + zone, is_evacuated ? "{}" : "");
}

worker_standin& zone_cluster::worker(std::string_view id)
{
    return **std::ranges::find_if(workers,
                                  [id](const auto& it) { return it->settings().id == id; });
}

asio::awaitable<void> zone_cluster::delay(millis time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> zone_cluster::renew_entries()
{
    constexpr millis interval{500};
    for (;;)
    {
        for (const auto& it : workers)
            if (writes_entries)
                write_entry(it->settings().id);
        co_await delay(interval);
    }
}

asio::awaitable<http_reply> zone_cluster::request(std::size_t router, bool is_keyed)
{
    constexpr unsigned key_step = 1'009;
    const auto n = m_next_attempt++;
    http_call call;
    call.method = is_keyed ? "GET" : "POST";
    call.target = is_keyed ? "/read/x" : "/book/x";
    call.fields = {{"Host", "h"},
                   {"Eelgrassrail-Attempt-Id", "a" + std::to_string(n)},
                   {"Eelgrassrail-Deadline-Ms", "1500"},
                   {"Eelgrassrail-Shard-Key", std::to_string(n * key_step % key_count)}};
    auto exchange =
        co_await m_callers[router]->exchange(std::move(call), boot_clock::now() + millis(3'000));
    if (exchange.result != exchange_result::complete)
        exchange.reply.status = 0;
    co_return std::move(exchange.reply);
}

asio::awaitable<void> zone_cluster::request_and_count(std::size_t router, bool is_keyed)
{
    auto& result = is_keyed ? keyed : plain;
    const auto sent_at = boot_clock::now();
    ++result.sent;
    const auto reply = co_await request(router, is_keyed);
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_unavailable = 503;
    result.served += reply.status == status_ok ? 1 : 0;
    if (reply.status != status_unavailable)
        co_return;
    ++result.refused;
    result.refused_without_time += find_field(reply.fields, "Retry-After") ? 0 : 1;
    result.max_refusal_ms =
        std::max(result.max_refusal_ms,
                 std::chrono::duration<double, std::milli>(boot_clock::now() - sent_at).count());
}

asio::awaitable<void> zone_cluster::flood(millis time)
{
    constexpr millis interval{10};
    const auto began = boot_clock::now();
    for (std::size_t n = 0; boot_clock::now() < began + time; ++n)
    {
        for (const bool is_keyed : {false, true})
            asio::co_spawn(context, request_and_count(m_running[n % m_running.size()], is_keyed),
                           asio::detached);
        // A delay of the test's own loop is made up for.
        if (const auto ahead = began + (n + 1) * interval - boot_clock::now();
            ahead > boot_clock::duration::zero())
            co_await delay(std::chrono::duration_cast<millis>(ahead) + millis(1));
    }
}

asio::awaitable<void> zone_cluster::warm_up()
{
    asio::co_spawn(context, renew_entries(), asio::detached);
    constexpr int max_polls = 100;
    const auto needed = 2 * m_running.size();
    std::size_t in_a_row = 0;
    for (int n = 0; n < max_polls && in_a_row < needed; ++n)
    {
        const auto reply =
            co_await request(m_running[in_a_row % m_running.size()], in_a_row < m_running.size());
        in_a_row = reply.status == 200 ? in_a_row + 1 : 0;
        if (in_a_row == 0)
            co_await delay(millis(100));
    }
    CPPUNIT_ASSERT_EQUAL(needed, in_a_row);
    co_await flood(millis(2'000));
}

void zone_cluster::run(asio::awaitable<void> session)
{
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(session),
                   [&](const std::exception_ptr& thrown)
                   {
                       failure = thrown;
                       context.stop();
                   });
    context.run();
    for (const auto& it : m_routers)
        it->pause();
    if (failure)
        std::rethrow_exception(failure);
    CPPUNIT_ASSERT_EQUAL(std::string(), check_holds(holds));
}

void zone_cluster::reset_results()
{
    keyed = {};
    plain = {};
}

std::int64_t boot_us()
{
    return boot_clock::now().time_since_epoch().count();
}

std::size_t most_in_a_second(const worker_standin& worker, std::int64_t from_us, std::int64_t to_us)
{
    constexpr std::int64_t second_us = 1'000'000;
    auto times = worker.accepted();
    std::erase_if(times, [=](std::int64_t it) { return it < from_us || it >= to_us; });
    std::ranges::sort(times);
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
        most = std::max(most, std::lower_bound(first, times.end(), *first + second_us) - first);
    return static_cast<std::size_t>(most);
}

std::size_t accepted_between(const worker_standin& worker, std::int64_t from_us, std::int64_t to_us)
{
    return static_cast<std::size_t>(std::ranges::count_if(worker.accepted(), [=](std::int64_t it)
                                                          { return it >= from_us && it < to_us; }));
}

} // namespace eelgrassrail::test
