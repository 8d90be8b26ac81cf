/// Starts, loads, kills and restarts a large site.
#include "site_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <numeric>

namespace eelgrassrail::soak
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t shard_key_count = 65'536;
constexpr std::size_t busy_keys = 6'000;
const std::string store_ip = "127.3.0.1";

/// Limits of the store at all times.
const std::string store_limits = "writes_per_s=30&reads_per_s=150&append_ms=15&random_ms=60";

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

} // namespace

site_world::site_world(asio::io_context& context, std::string bin, std::string folder,
                       unsigned seed, site_sizes sizes)
    : m_context(context)
    , m_bin(std::move(bin))
    , m_folder(std::move(folder))
    , m_random(seed)
    , m_sizes(std::move(sizes))
    , m_store_control(context.get_executor(), address(store_ip))
    , m_holds(m_folder)
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    m_store.emplace(m_bin + "/standin_store",
                    std::vector<std::string>{"--address=" + address(store_ip),
                                             "--seed=" + std::to_string(seed)},
                    m_folder + "/store.log");
    for (std::size_t n = 0; n <= m_sizes.hosts; ++n)
    {
        host item;
        item.is_sharded = n < m_sizes.hosts;
        item.id = "h" + std::to_string(n) + "w";
        item.ip = "127.2.0." + std::to_string(n + 1);
        item.workers =
            item.is_sharded ? (m_sizes.keyed_workers + n) / m_sizes.hosts : m_sizes.plain_workers;
        m_hosts.push_back(std::move(item));
    }
    constexpr std::size_t per_subnet = 200;
    for (std::size_t n = 0; n < m_sizes.routers; ++n)
        m_routers.push_back(
            {"r" + std::to_string(n),
             "127.1." + std::to_string(n / per_subnet) + "." + std::to_string(n % per_subnet + 1),
             0,
             {}});
}

std::string site_world::address(const std::string& ip, std::size_t offset) const
{
    return ip + ":" + std::to_string(m_sizes.port + offset);
}

std::size_t site_world::random_below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
}

void site_world::log(const std::string& text)
{
    const auto wall =
        std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    std::ofstream(m_folder + "/faults.txt", std::ios::app)
        << now_us() << " unix_ms=" << wall << ' ' << text << '\n';
    std::cout << now_us() << ' ' << text << std::endl; // NOLINT(performance-avoid-endl)
}

asio::awaitable<void> site_world::delay(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void site_world::start(router& item, bool is_first)
{
    const auto n = static_cast<std::size_t>(&item - m_routers.data());
    constexpr std::array shares{"0.5", "0.1", "0.25", "0.1", "0.1"};
    ++item.starts;
    item.process.emplace(
        m_bin + "/eelgrassrail_platform",
        std::vector<std::string>{
            "--vm=" + item.name, "--zone=z" + std::to_string(n % m_sizes.zones), "--ip=" + item.ip,
            "--front=" + address(item.ip), "--ready=" + address(item.ip, 1),
            "--internal_ports=" + std::to_string(m_sizes.port + 2), "--store=" + address(store_ip),
            "--grace=4s", "--max_hold=" + m_sizes.max_hold,
            std::string("--cpu_share=") + shares.at(n / m_sizes.zones % shares.size()),
            std::string("--first_start=") + (is_first ? "true" : "false"),
            "--log_level=" + m_sizes.log_level},
        m_folder + "/" + item.name + "-" + std::to_string(item.starts) + ".log");
}

void site_world::start(host& item)
{
    ++item.starts;
    item.process.emplace(
        m_bin + "/standin_worker",
        std::vector<std::string>{"--id=" + item.id, "--address=" + address(item.ip),
                                 "--store=" + address(store_ip),
                                 "--count=" + std::to_string(item.workers), "--heartbeat_ms=1000",
                                 "--slots=3", "--run_ms=500", "--clock_lag=0.02", "--zone=z0",
                                 std::string("--service=") + (item.is_sharded ? "keys" : "plain"),
                                 std::string("--divided=") + (item.is_sharded ? "true" : "false"),
                                 "--born_ms=" + std::to_string(1'700'000'000'000 + item.starts)},
        m_folder + "/worker-" + item.id + "-" + std::to_string(item.starts) + ".log");
}

void site_world::kill(host& item)
{
    item.process->kill();
    for (std::size_t n = 0; n < item.workers; ++n)
        m_holds.add_end(item.id + std::to_string(n) + "#" +
                            std::to_string(1'700'000'000'000 + item.starts),
                        now_us());
}

std::optional<std::size_t> site_world::coordinator_of(const ownership_record& record) const
{
    const auto& named = record.coordinator.address;
    const auto it = std::ranges::find(m_routers, named.substr(0, named.find(':')), &router::ip);
    if (it == m_routers.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - m_routers.begin());
}

asio::awaitable<std::optional<std::size_t>> site_world::coordinator()
{
    const auto record = co_await m_store_control.ownership();
    co_return coordinator_of(record);
}

std::string site_world::describe(const ownership_record& record) const
{
    const auto named = coordinator_of(record);
    return "record: epoch " + std::to_string(record.version >> epoch_shift) + " change " +
           std::to_string(record.version & 0xFFFF'FFFFU) + " of " +
           (named ? m_routers[*named].name : "nobody") + ", moves in progress " +
           std::to_string(store_control::count_moves(record));
}

asio::awaitable<void> site_world::client()
{
    ++m_tasks;
    while (m_is_running)
    {
        const auto& at = m_routers[random_below(m_routers.size())];
        const auto attempt = "a" + std::to_string(m_next_attempt++);
        const auto key = random_below(3) == 0
                             ? random_below(shard_key_count)
                             : (m_hot_key + random_below(busy_keys)) % shard_key_count;
        http_call call;
        call.method = "GET";
        call.target = random_below(10) == 0 ? "/look/x" : "/read/x";
        call.fields = {{"Host", "soak"},
                       {"Eelgrassrail-Attempt-Id", attempt},
                       {"Eelgrassrail-Deadline-Ms", "2000"},
                       {"Eelgrassrail-Shard-Key", std::to_string(key)}};
        http_client caller(m_context.get_executor(), address(at.ip), 1);
        const auto exchange =
            co_await caller.exchange(std::move(call), boot_clock::now() + millis(2'500));
        const bool is_served =
            exchange.result == exchange_result::complete && exchange.reply.status == 200;
        m_served += is_served ? 1 : 0;
        co_await delay(millis(is_served ? 20 : 100));
    }
    --m_tasks;
}

/// Entries of workers lapse for some seconds while the workers live.
asio::awaitable<void> site_world::lapse_entries()
{
    ++m_tasks;
    while (m_is_running)
    {
        const auto& at = m_hosts[random_below(m_sizes.hosts)];
        const auto id = at.id + std::to_string(random_below(at.workers));
        co_await m_store_control.post("/lapse?key=" + id +
                                      "&ms=" + std::to_string(1'000 + random_below(14'000)));
        co_await delay(millis(150));
    }
    --m_tasks;
}

asio::awaitable<void> site_world::watch_holds()
{
    ++m_tasks;
    constexpr millis interval{1'000};
    constexpr int intervals_per_shift = 6;
    for (int n = 0; m_is_running; ++n)
    {
        if (n % intervals_per_shift == 0)
            m_hot_key = static_cast<std::uint32_t>(random_below(shard_key_count));
        for (const auto& text : m_holds.poll())
            log(text);
        co_await delay(interval);
    }
    --m_tasks;
}

asio::awaitable<void> site_world::restart(std::size_t number, millis after)
{
    ++m_tasks;
    co_await delay(after);
    start(m_routers[number], false);
    --m_tasks;
}

asio::awaitable<void> site_world::restart_host(std::size_t number, millis after)
{
    ++m_tasks;
    log("kill host " + m_hosts[number].id);
    kill(m_hosts[number]);
    co_await delay(after);
    start(m_hosts[number]);
    log("host started " + m_hosts[number].id);
    --m_tasks;
}

/// The workers of a process can't be reached for some time, and hold their keys until their leases
/// end.
asio::awaitable<void> site_world::pause_host(std::size_t number, millis after, millis time)
{
    ++m_tasks;
    co_await delay(after);
    auto& item = m_hosts[number];
    const auto from = now_us();
    log("pause of host " + item.id + " ms=" + std::to_string(time.count()));
    item.process->send(SIGSTOP);
    co_await delay(time);
    item.process->send(SIGCONT);
    log("thaw of host " + item.id);
    for (std::size_t n = 0; n < item.workers; ++n)
        m_holds.add_span(
            {item.id + std::to_string(n), "", from, now_us() + thaw_us, "worker thawed"});
    --m_tasks;
}

/// Kills the routers at one moment; most start again after 0.2 to 1 s.
asio::awaitable<void> site_world::kill_and_restart(std::vector<std::size_t> routers, millis absence)
{
    const auto record = co_await m_store_control.ownership();
    log("kill of " + std::to_string(routers.size()) + " routers, " + describe(record));
    std::erase_if(routers, [this](std::size_t n) { return !m_routers[n].process->is_running(); });
    for (const auto n : routers)
        m_routers[n].process->send(SIGKILL);
    for (const auto n : routers)
        m_routers[n].process->kill();
    // One in ten takes longer, among them the coordinator at times.
    for (const auto n : routers)
        asio::co_spawn(
            m_context,
            restart(n, absence + millis(200 + random_below(random_below(10) == 0 ? 5'000 : 800))),
            asio::detached);
}

/// Kills each router that the record names newly, right after its claim was appended.
asio::awaitable<void> site_world::kill_claimers(std::size_t count, millis time)
{
    const auto until = boot_clock::now() + time;
    auto known = co_await coordinator();
    while (count > 0 && boot_clock::now() < until)
    {
        co_await delay(millis(10));
        const auto now = co_await coordinator();
        if (!now || now == known || !m_routers[*now].process->is_running())
            continue;
        known = now;
        --count;
        log("kill of the claimer " + m_routers[*now].name);
        m_routers[*now].process->kill();
        asio::co_spawn(m_context, restart(*now, millis(100 + random_below(600))), asio::detached);
    }
}

asio::awaitable<void> site_world::pause_coordinator(millis time)
{
    const auto found = co_await coordinator();
    if (!found)
        co_return;
    auto& item = m_routers[*found];
    log("pause of " + item.name + " ms=" + std::to_string(time.count()));
    item.process->send(SIGSTOP);
    co_await delay(time);
    // What a successor has appended meanwhile is deleted before the router reads on.
    co_await m_store_control.post("/compact?topic=keyed.ownership");
    item.process->send(SIGCONT);
    log("thaw of " + item.name);
    m_holds.add_span({"", item.name, now_us() - 1'000, now_us() + thaw_us, "sender thawed"});
}

asio::awaitable<void> site_world::round(std::size_t number)
{
    constexpr std::size_t kinds = 9;
    constexpr std::size_t store_kinds = 7;
    auto store_kind = random_below(store_kinds);
    if (m_sizes.store_kind >= 0)
        store_kind = static_cast<std::size_t>(m_sizes.store_kind);
    const auto kind =
        m_sizes.round_kind < 0 ? number % kinds : static_cast<std::size_t>(m_sizes.round_kind);
    std::string store = store_limits;
    if (store_kind == 1)
        store = "writes_per_s=10&reads_per_s=60&append_ms=40&random_ms=1500";
    if (store_kind == 2)
        store += "&lost_before=15&lost_after=30";
    if (store_kind == 3)
        store += "&lost_after=15&late_percent=25&late_ms=4000";
    if (store_kind == 6) // claims that are seen by others and never executed
        store += "&lost_before=50&slow_ms=250";
    if (store_kind == 5) // hardly a claim is answered
        store += "&lost_after=60";
    if (store_kind == 4)
        store = "writes_per_s=10&reads_per_s=60&append_ms=60&random_ms=1800&lost_after=30&"
                "lost_before=10&late_percent=15&late_ms=4000";
    log("round " + std::to_string(number) + " kind=" + std::to_string(kind) + " store=" + store);
    // Workers that come anew get a share of all keys, so many moves are in progress.
    const auto renewed = random_below(m_sizes.hosts);
    asio::co_spawn(m_context, restart_host(renewed, millis(200)), asio::detached);
    asio::co_spawn(
        m_context,
        pause_host((renewed + 1) % m_sizes.hosts, millis(0), millis(4'000 + random_below(18'000))),
        asio::detached);
    asio::co_spawn(m_context,
                   pause_host((renewed + 2) % m_sizes.hosts, millis(3'000 + random_below(12'000)),
                              millis(4'000 + random_below(10'000))),
                   asio::detached);
    co_await delay(millis(1'000 + random_below(2'500)));
    if (store_kind != 0 && (m_sizes.store_kind >= 0 || random_below(2) == 0))
        co_await m_store_control.set_faults(store);
    std::vector<std::size_t> all(m_routers.size());
    std::iota(all.begin(), all.end(), 0);
    auto some = all;
    std::ranges::shuffle(some, m_random);
    some.resize(some.size() * (3 + random_below(7)) / 10);
    const auto last = co_await coordinator();
    switch (kind)
    {
    case 0: // all
        co_await kill_and_restart(all);
        break;
    case 1: // all, then the claimers
        co_await kill_and_restart(all);
        co_await m_store_control.set_faults(store);
        co_await kill_claimers(2, millis(8'000));
        break;
    case 2: // the one that last appended, then its successors in their claims
        some.clear();
        if (last)
            some.push_back(*last);
        co_await kill_and_restart(some);
        co_await m_store_control.set_faults(store);
        co_await kill_claimers(3, millis(8'000));
        break;
    case 3: // many, twice
        co_await kill_and_restart(some);
        co_await delay(millis(1'200 + random_below(3'000)));
        co_await kill_and_restart(some);
        break;
    case 4: // the coordinator is paused, many are killed meanwhile
        if (last)
            std::erase(some, *last);
        asio::co_spawn(m_context, kill_and_restart(some), asio::detached);
        co_await pause_coordinator(millis(2'000 + random_below(8'000)));
        break;
    case 5: // many with the coordinator, once
        if (last && std::ranges::find(some, *last) == some.end())
            some.push_back(*last);
        co_await kill_and_restart(some);
        break;
    case 6: // none, only the store
        co_await m_store_control.set_faults(store + "&slow_ms=300");
        co_await delay(millis(2'000 + random_below(4'000)));
        break;
    case 7: // the coordinator and a few others, which are away for some seconds
        some.resize(some.size() / 10);
        if (last && std::ranges::find(some, *last) == some.end())
            some.push_back(*last);
        co_await kill_and_restart(some, millis(3'000 + random_below(4'000)));
        break;
    default: // all, twice
        co_await kill_and_restart(all);
        co_await delay(millis(2'000 + random_below(6'000)));
        co_await kill_and_restart(all);
        break;
    }
    co_await m_store_control.set_faults(store);
    co_await delay(millis(6'000));
    co_await m_store_control.set_faults(store_limits);
    if (random_below(2) == 0)
        co_await m_store_control.post("/compact?topic=keyed.ownership");
    constexpr millis settle_time{18'000};
    co_await delay(settle_time);
    const auto record = co_await m_store_control.ownership();
    log("round ended served=" + std::to_string(m_served) +
        " events=" + std::to_string(m_holds.events_count()) + ", " + describe(record));
}

asio::awaitable<std::vector<std::string>> site_world::run(std::size_t rounds)
{
    co_await delay(millis(300));
    co_await m_store_control.publish_config(1);
    co_await m_store_control.set_faults(store_limits);
    for (auto& item : m_hosts)
        start(item);
    co_await delay(millis(1'500));
    for (auto& item : m_routers)
        start(item, true);
    log("started");
    constexpr millis start_time{15'000};
    co_await delay(start_time);
    for (std::size_t n = 0; n < m_sizes.clients; ++n)
        asio::co_spawn(m_context, client(), asio::detached);
    asio::co_spawn(m_context, lapse_entries(), asio::detached);
    asio::co_spawn(m_context, watch_holds(), asio::detached);
    constexpr millis load_time{8'000};
    co_await delay(load_time);
    for (std::size_t n = 0; n < rounds; ++n)
        co_await round(n);
    m_is_running = false;
    while (m_tasks > 0)
        co_await delay(millis(50));
    for (auto& item : m_routers)
        item.process->send(SIGKILL);
    m_routers.clear();
    for (auto& item : m_hosts)
        item.process.reset();
    std::vector<std::string> excluded;
    auto violations = m_holds.finish(excluded);
    for (const auto& text : excluded)
        log(text);
    co_return violations;
}

} // namespace eelgrassrail::soak
