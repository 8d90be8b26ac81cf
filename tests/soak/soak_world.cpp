/// Runs load and faults of one seed and checks the guarantees.
#include "soak_world.hpp"

#include "log_record_bytes.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace eelgrassrail::soak
{

namespace asio = boost::asio;

namespace
{

constexpr const char* attempt_id_field = "Eelgrassrail-Attempt-Id";
constexpr std::uint32_t shard_key_count = 65'536;

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string rule(const std::string& name, bool is_idempotent, const std::string& service)
{
    return R"({"name":")" + name + R"(","kind":")" + (is_idempotent ? "safe" : "unsafe") +
           R"(","target_latency":"300ms","priority":)" + (is_idempotent ? "1" : "0") +
           R"(,"match":{"path_prefix":"/)" + name + R"(/"},"action":{"service":")" + service +
           R"(","timeout":"1500ms","max_attempts":3}})";
}

std::string config_text(unsigned version)
{
    return R"({"version":"r)" + std::to_string(version) +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
           R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"soak","rules":[)" +
           rule("read", true, "keys") + "," + rule("file", false, "keys") + "," +
           rule("look", true, "plain") + "," + rule("book", false, "plain") +
           R"(]}],"clusters":[{"name":"keys","max_connections":100,"sharded":true,"warm":"1s"},)"
           R"({"name":"plain","max_connections":100}]})";
}

/// One run of a request, from the log of a worker process.
struct run_record
{
    std::string attempt;
    std::uint32_t key{};
    std::uint64_t fence{};
    std::int64_t began_us{};
    std::int64_t ended_us{}; ///< 0: the worker process ended during the run
    std::string incarnation; ///< id and start number of the worker process
};

std::vector<run_record> read_runs(const std::string& folder)
{
    std::vector<run_record> runs;
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        const auto incarnation = file.path().stem().string();
        if (!incarnation.starts_with("worker"))
            continue;
        std::map<std::string, std::size_t> open;
        std::ifstream in(file.path());
        for (std::string text; std::getline(in, text);)
        {
            std::istringstream line(text);
            std::string word;
            run_record run;
            line >> word >> run.attempt;
            if (word == "begin" && line >> run.key >> run.fence >> run.began_us)
            {
                run.incarnation = incarnation;
                open[run.attempt] = runs.size();
                runs.push_back(run);
            }
            else if (word == "end" && open.contains(run.attempt))
                line >> runs[open[run.attempt]].ended_us;
        }
    }
    return runs;
}

} // namespace

soak_world::soak_world(asio::io_context& context, soak_programs programs, std::string folder,
                       std::uint16_t first_port, unsigned seed, soak_sizes sizes)
    : m_context(context)
    , m_bin(std::move(programs.bin))
    , m_first_router_bin(std::move(programs.first_router_bin))
    , m_folder(std::move(folder))
    , m_next_port(first_port)
    , m_random(seed)
    , m_sizes(sizes)
    , m_store_port(next_port())
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    m_store.emplace(m_bin + "/standin_store",
                    std::vector<std::string>{"--address=" + address(m_store_port)},
                    m_folder + "/store.log");
    m_store_client =
        std::make_unique<http_client>(context.get_executor(), address(m_store_port), 2);
    for (std::size_t n = 0; n < m_sizes.keyed_workers + m_sizes.plain_workers; ++n)
    {
        worker item;
        item.is_sharded = n < m_sizes.keyed_workers;
        item.id = "w" + std::to_string(n);
        item.port = next_port();
        const auto proxied = next_port();
        item.proxy = std::make_unique<fault_proxy>(m_context, proxied, item.port);
        start(item);
        m_workers.push_back(std::move(item));
    }
    for (std::size_t n = 0; n < m_sizes.routers; ++n)
    {
        router item;
        item.name = "r" + std::to_string(n);
        item.front_port = next_port();
        m_next_port += 2; // readiness and peer ports
        item.store_port = next_port();
        item.store_proxy = std::make_unique<fault_proxy>(m_context, item.store_port, m_store_port);
        start(item);
        m_routers.push_back(std::move(item));
    }
}

void soak_world::start(router& item)
{
    const auto front_port = item.front_port;
    item.process.emplace(
        (item.name == "r0" ? m_first_router_bin : m_bin) + "/eelgrassrail_platform",
        std::vector<std::string>{"--vm=" + item.name,
                                 std::string("--zone=") + (item.front_port % 2 == 0 ? "z1" : "z2"),
                                 "--ip=127.0.0.1", "--front=" + address(front_port),
                                 "--ready=" + address(static_cast<std::uint16_t>(front_port + 1)),
                                 "--internal_ports=" + std::to_string(front_port + 2),
                                 "--store=" + address(item.store_port), "--grace=4s",
                                 "--max_hold=3000ms", "--log_level=debug"},
        m_folder + "/" + item.name + "-" + std::to_string(random_below(1'000'000)) + ".log");
}

void soak_world::start(worker& item)
{
    ++item.starts;
    item.process.emplace(m_bin + "/standin_worker",
                         std::vector<std::string>{
                             "--id=" + item.id, "--address=" + address(item.port),
                             "--advertise=" + address(static_cast<std::uint16_t>(item.port + 1)),
                             "--store=" + address(m_store_port),
                             std::string("--service=") + (item.is_sharded ? "keys" : "plain"),
                             std::string("--divided=") + (item.is_sharded ? "true" : "false"),
                             "--born_ms=" + std::to_string(1'700'000'000'000 + item.starts)},
                         m_folder + "/worker-" + item.id + "-" + std::to_string(item.starts) +
                             ".log");
}

std::size_t soak_world::random_below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
}

void soak_world::log_fault(const std::string& text)
{
    std::ofstream(m_folder + "/faults.txt", std::ios::app)
        << boot_clock::now().time_since_epoch().count() << ' ' << text << '\n';
}

asio::awaitable<void> soak_world::delay(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> soak_world::set_store_faults(std::string query)
{
    http_call call;
    call.method = "POST";
    call.target = "/faults?" + query;
    co_await m_store_client->exchange(std::move(call), boot_clock::now() + millis(1'000));
}

asio::awaitable<void> soak_world::publish_config()
{
    http_call call;
    call.method = "POST";
    call.target = "/api/log-append?topic=keyed.op&part=0";
    call.body = test::log_record_bytes("config", config_text(m_config_version++));
    co_await m_store_client->exchange(std::move(call), boot_clock::now() + millis(1'000));
}

asio::awaitable<client_result> soak_world::send_request(const router& at, bool is_keyed,
                                                        bool is_idempotent)
{
    client_result result;
    result.attempt = "a" + std::to_string(m_next_attempt++);
    result.is_idempotent = is_idempotent;
    http_call call;
    call.method = is_idempotent ? "GET" : "POST";
    call.target = is_keyed ? (is_idempotent ? "/read/x" : "/file/x")
                           : (is_idempotent ? "/look/x" : "/book/x");
    call.fields = {
        {"Host", "soak"}, {attempt_id_field, result.attempt}, {"Eelgrassrail-Deadline-Ms", "2000"}};
    // A third of the requests use the same key, so that it is contended.
    const auto key = random_below(3) == 0 ? 4'711 : random_below(shard_key_count);
    if (is_keyed)
        call.fields.push_back({"Eelgrassrail-Shard-Key", std::to_string(key)});
    m_evidence.routers[result.attempt] = static_cast<std::size_t>(&at - m_routers.data());
    m_drain_evidence.requests[result.attempt] = {static_cast<std::size_t>(&at - m_routers.data()),
                                                 boot_clock::now().time_since_epoch().count(), 0};
    http_client client(m_context.get_executor(), address(at.front_port), 1);
    const auto exchange =
        co_await client.exchange(std::move(call), boot_clock::now() + millis(3'000));
    if (find_field(exchange.reply.fields, "Server-Leaving") == std::string_view("1"))
        m_drain_evidence.requests[result.attempt].leaving_us =
            boot_clock::now().time_since_epoch().count();
    if (exchange.result == exchange_result::complete)
    {
        result.status = exchange.reply.status;
        result.is_matching = exchange.reply.body.starts_with("answer to " + result.attempt + " ") &&
                             find_field(exchange.reply.fields, attempt_id_field) == result.attempt;
    }
    co_return result;
}

asio::awaitable<void> soak_world::client(std::size_t)
{
    ++m_clients_running;
    while (m_is_loading)
    {
        const auto at = random_below(m_routers.size());
        const auto kind = random_below(4);
        m_results.push_back(co_await send_request(m_routers[at], kind < 2, kind % 2 == 0));
        co_await delay(millis(10 + random_below(20)));
    }
    --m_clients_running;
}

asio::awaitable<void> soak_world::set_limit(std::uint16_t port, std::string text)
{
    http_client client(m_context.get_executor(), address(port), 1);
    http_call call;
    call.method = "POST";
    call.target = "/limit?per_s=" + percent_encode(text);
    co_await client.exchange(std::move(call), boot_clock::now() + millis(1'000));
}

/// One worker names limits for some seconds each, with malformed texts and pauses in between.
asio::awaitable<void> soak_world::name_limits(std::size_t worker_index)
{
    constexpr std::array texts{"0.2", "1", "2.9", "10", "40"};
    constexpr std::array malformed{"-1", "many", "1e2"};
    ++m_limits_running;
    while (m_names_limits)
    {
        const std::string text = texts.at(random_below(texts.size()));
        log_fault("limit worker=" + m_workers[worker_index].id + " per_s=" + text);
        co_await set_limit(m_workers[worker_index].port, text);
        co_await delay(millis(8'000 + random_below(2'000)));
        if (random_below(3) == 0)
        {
            const std::string other = malformed.at(random_below(malformed.size()));
            co_await set_limit(m_workers[worker_index].port, other);
            co_await delay(millis(300));
        }
        if (random_below(2) == 0)
        {
            co_await set_limit(m_workers[worker_index].port, "");
            co_await delay(millis(random_below(1'000)));
        }
    }
    co_await set_limit(m_workers[worker_index].port, "");
    --m_limits_running;
}

/// One fault of random kind and duration. Several run concurrently.
asio::awaitable<void> soak_world::fault()
{
    ++m_faults_running;
    auto& entry = m_routers[random_below(m_routers.size())];
    auto& server = m_workers[random_below(m_workers.size())];
    const millis length(300 + random_below(1'700));
    constexpr std::array modes{proxy_mode::delay, proxy_mode::silent, proxy_mode::one_way,
                               proxy_mode::refuse};
    const auto mode = modes.at(random_below(modes.size()));
    const auto kind = random_below(9);
    log_fault("fault kind=" + std::to_string(kind) + " router=" + entry.name +
              " worker=" + server.id + " ms=" + std::to_string(length.count()) +
              " mode=" + std::to_string(static_cast<int>(mode)));
    const auto router_index = static_cast<std::size_t>(&entry - m_routers.data());
    const auto began_us = boot_clock::now().time_since_epoch().count();
    switch (kind)
    {
    case 0: // a router is killed and restarted
        entry.process->kill();
        co_await delay(length / 4);
        start(entry);
        break;
    case 1: // a router is paused
        entry.process->send(SIGSTOP);
        co_await delay(length);
        if (entry.process)
            entry.process->send(SIGCONT);
        break;
    case 2: // planned stop of a router, which keeps serving until its grace period ends
        entry.process->send(SIGTERM);
        co_await delay(millis(4'200));
        entry.process->kill();
        start(entry);
        break;
    case 3: // a router reloads its settings
        entry.process->send(SIGHUP);
        break;
    case 4: // a worker crashes and restarts under the same id
        server.process->kill();
        co_await delay(length);
        start(server);
        break;
    case 5: // network fault between routers and a worker
        server.proxy->set_mode(mode);
        co_await delay(length);
        server.proxy->set_mode(proxy_mode::pass);
        break;
    case 6: // network fault between a router and the store
        entry.store_proxy->set_mode(mode);
        co_await delay(length);
        entry.store_proxy->set_mode(proxy_mode::pass);
        break;
    case 7: // fault of the store
        co_await set_store_faults(random_below(2) == 0   ? "turn_away=503"
                                  : random_below(2) == 0 ? "lose_answers=40"
                                                         : "slow_ms=200");
        co_await delay(length);
        co_await set_store_faults("turn_away=0");
        break;
    default: // a new version of the configuration
        co_await publish_config();
        break;
    }
    constexpr std::size_t worker_network_fault = 5;
    if (kind == worker_network_fault)
        m_drain_evidence.cuts.push_back(
            {server.id, began_us, boot_clock::now().time_since_epoch().count()});
    constexpr std::size_t router_faults = 3; // the first kinds
    if (kind < router_faults)
        m_evidence.faults.push_back(
            {router_index, began_us, boot_clock::now().time_since_epoch().count()});
    --m_faults_running;
}

asio::awaitable<std::vector<std::string>> soak_world::run(millis fault_time)
{
    std::vector<std::string> violations;
    co_await delay(millis(300));
    co_await publish_config();
    co_await delay(millis(2'000));
    for (std::size_t n = 0; n < m_sizes.clients; ++n)
        asio::co_spawn(m_context, client(n), asio::detached);
    for (const auto n : {std::size_t{0}, m_sizes.keyed_workers})
        asio::co_spawn(m_context, name_limits(n), asio::detached);
    asio::co_spawn(m_context, let_workers_leave(), asio::detached);
    asio::co_spawn(m_context, let_workers_turn_away(), asio::detached);
    const auto deadline = boot_clock::now() + fault_time;
    while (boot_clock::now() < deadline)
    {
        co_await delay(millis(200 + random_below(600)));
        asio::co_spawn(m_context, fault(), asio::detached);
    }
    m_names_limits = false;
    m_drains = false;
    while (m_faults_running + m_limits_running > 0)
        co_await delay(millis(50));
    // The keys of a worker that was lost without notice stay unavailable until its leases expire.
    co_await delay(millis(8'000));
    m_is_loading = false;
    while (m_clients_running > 0)
        co_await delay(millis(50));
    co_await check_recovery(violations);
    for (auto& item : m_routers)
        item.process.reset();
    for (auto& item : m_workers)
        item.process.reset();
    check_journals(violations);
    for (const auto& file : std::filesystem::directory_iterator(m_folder))
        if (file.path().stem().string().starts_with("worker"))
        {
            std::ranges::copy(check_limits(file.path().string(), m_evidence),
                              std::back_inserter(violations));
            std::ranges::copy(
                check_drain(file.path().string(), m_drain_evidence, m_evidence.faults),
                std::back_inserter(violations));
        }
    co_return violations;
}

asio::awaitable<void> soak_world::check_recovery(std::vector<std::string>& violations)
{
    constexpr std::size_t requests = 60;
    constexpr std::size_t min_served = requests * 9 / 10;
    std::size_t good = 0;
    for (std::size_t n = 0; n < requests; ++n)
    {
        auto result = co_await send_request(m_routers[n % m_routers.size()], n % 4 < 2, n % 2 == 0);
        good += result.status == 200 ? 1 : 0;
        m_results.push_back(std::move(result));
    }
    if (good < min_served)
        violations.push_back("recovery: " + std::to_string(good) + " of " +
                             std::to_string(requests) + " served after all faults have ended");
}

void soak_world::check_journals(std::vector<std::string>& violations) const
{
    auto runs = read_runs(m_folder);
    std::map<std::string, std::size_t> runs_of;
    for (const auto& run : runs)
        ++runs_of[run.attempt];
    for (const auto& item : m_results)
    {
        const auto n = runs_of.contains(item.attempt) ? runs_of.at(item.attempt) : 0;
        const bool says_not_run =
            item.status == 429 || item.status == 503 || item.status == 408 || item.status == 421;
        if (item.status == 200 && (!item.is_matching || n == 0))
            violations.push_back(
                "answer: " + item.attempt +
                " got status 200 with the answer of another request, or without a run");
        if (item.is_idempotent)
            continue;
        if (n > 1)
            violations.push_back("twice: " + item.attempt + " ran " + std::to_string(n) + " times");
        if (says_not_run && n > 0)
            violations.push_back("refused: " + item.attempt + " ran although it was refused");
    }
    std::erase_if(runs, [](const run_record& run) { return run.fence == 0; });
    std::ranges::sort(runs, {}, [](const run_record& r) { return std::pair(r.key, r.began_us); });
    for (std::size_t n = 1; n < runs.size(); ++n)
    {
        const auto& before = runs[n - 1];
        const auto& after = runs[n];
        if (before.key != after.key || before.incarnation == after.incarnation)
            continue;
        if (after.fence <= before.fence || after.began_us < before.ended_us)
            violations.push_back(
                "owner: key " + std::to_string(after.key) + " ran at " + before.incarnation +
                " with fence " + std::to_string(before.fence) + " until " +
                std::to_string(before.ended_us) + " and at " + after.incarnation + " with fence " +
                std::to_string(after.fence) + " from " + std::to_string(after.began_us));
    }
}

} // namespace eelgrassrail::soak
