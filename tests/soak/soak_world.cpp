/// Runs load and faults of one seed and checks the guarantees.
#include "soak_world.hpp"

#include "soak_config.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <numeric>
#include <sstream>

namespace eelgrassrail::soak
{

namespace asio = boost::asio;

namespace
{

constexpr const char* attempt_id_field = "Eelgrassrail-Attempt-Id";
constexpr std::uint32_t shard_key_count = 65'536;
constexpr std::uint64_t first_born_ms = 1'700'000'000'000;

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

std::string address(std::uint16_t port)
{
    return std::string(soak_ip) + ":" + std::to_string(port);
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

/// The process of a worker by the name of its log, "worker-ID-START".
std::string life_of(const std::string& log_name)
{
    const auto id = log_name.find('-') + 1;
    const auto start = log_name.rfind('-');
    return log_name.substr(id, start - id) + "#" +
           std::to_string(first_born_ms + std::stoull(log_name.substr(start + 1)));
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
    , m_store_control(context.get_executor(), address(m_store_port))
    , m_foreign_writer(m_store_control, seed)
    , m_holds(m_folder)
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    m_store.emplace(m_bin + "/standin_store",
                    std::vector<std::string>{"--address=" + address(m_store_port),
                                             "--seed=" + std::to_string(seed)},
                    m_folder + "/store.log");
    for (std::size_t n = 0; n < m_sizes.keyed_workers + m_sizes.plain_workers; ++n)
    {
        worker item;
        item.is_sharded = n < m_sizes.keyed_workers;
        item.is_in_second_zone = n % 2 != 0;
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
    const auto& bin = item.name == "r0" ? m_first_router_bin : m_bin;
    std::vector<std::string> flags{"--vm=" + item.name,
                                   std::string("--zone=") +
                                       (item.front_port % 2 == 0 ? "z1" : "z2"),
                                   std::string("--ip=") + soak_ip,
                                   "--front=" + address(front_port),
                                   "--ready=" + address(static_cast<std::uint16_t>(front_port + 1)),
                                   "--internal_ports=" + std::to_string(front_port + 2),
                                   "--store=" + address(item.store_port),
                                   "--grace=4s",
                                   "--max_hold=3000ms",
                                   "--log_level=debug"};
    // An earlier version does not start with flags that it does not know.
    if (bin == m_bin)
        flags.insert(flags.end(), {"--evacuate=3000ms", "--cold_overage=1.5", "--cold_slack=8"});
    item.process.emplace(bin + "/eelgrassrail_platform", flags,
                         m_folder + "/" + item.name + "-" +
                             std::to_string(random_below(1'000'000)) + ".log");
}

void soak_world::start(worker& item)
{
    // Two faults may restart one worker. The first start ends with the second, which the check of
    // holds has to know.
    if (item.process && item.process->is_running())
    {
        log_fault("restart of a running worker=" + item.id);
        kill(item);
    }
    ++item.starts;
    item.process.emplace(
        m_bin + "/standin_worker",
        std::vector<std::string>{
            "--id=" + item.id, "--address=" + address(item.port),
            "--advertise=" + address(static_cast<std::uint16_t>(item.port + 1)),
            "--store=" + address(m_store_port),
            std::string("--service=") + (item.is_sharded ? "keys" : "plain"),
            std::string("--zone=") + (item.is_in_second_zone ? "z2" : "z1"),
            std::string("--divided=") + (item.is_sharded ? "true" : "false"), "--clock_lag=0.02",
            "--late_percent=1", "--seed=" + std::to_string(item.port + item.starts),
            "--born_ms=" + std::to_string(first_born_ms + item.starts)},
        m_folder + "/worker-" + item.id + "-" + std::to_string(item.starts) + ".log");
}

void soak_world::kill(worker& item)
{
    item.process->kill();
    m_holds.add_end(item.id + "#" + std::to_string(first_born_ms + item.starts), now_us());
}

std::size_t soak_world::random_below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
}

void soak_world::log_fault(const std::string& text)
{
    std::ofstream(m_folder + "/faults.txt", std::ios::app) << now_us() << ' ' << text << '\n';
}

asio::awaitable<void> soak_world::delay(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
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

/// Workers that write a refusal once more, or break off their answers, one at a time.
asio::awaitable<void> soak_world::play_faulty_answers()
{
    ++m_limits_running;
    while (m_names_limits)
    {
        auto& server = m_workers[random_below(m_workers.size())];
        const bool repeats = random_below(2) == 0;
        const millis length(300 + random_below(1'200));
        log_fault("answers worker=" + server.id + (repeats ? " repeat" : " cut") +
                  " ms=" + std::to_string(length.count()));
        server.proxy->set_answer_fault(repeats ? answer_fault::repeat : answer_fault::cut);
        co_await delay(length);
        server.proxy->set_answer_fault(answer_fault::none);
        co_await delay(millis(random_below(1'500)));
    }
    --m_limits_running;
}

/// A request that is not idempotent and runs long; its second half is sent late in a planned stop.
asio::awaitable<void> soak_world::call_late(std::size_t router_index, std::int64_t stopped_us,
                                            millis rest_after)
{
    ++m_clients_running;
    const auto attempt = "late" + std::to_string(m_next_attempt++);
    m_evidence.routers[attempt] = router_index;
    auto sent = co_await send_late(
        m_context, m_routers[router_index].front_port,
        "POST /book/x?run_ms=1200 HTTP/1.1\r\nHost: soak\r\n" + std::string(attempt_id_field) +
            ": " + attempt + "\r\nEelgrassrail-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
        boot_clock::now() + rest_after);
    sent.attempt = attempt;
    sent.router = router_index;
    sent.stopped_us = stopped_us;
    client_result result;
    result.attempt = attempt;
    result.status = sent.status;
    result.is_matching = true; // its body is not kept
    m_results.push_back(result);
    m_late_requests.push_back(std::move(sent));
    --m_clients_running;
}

/// Whether the router was also killed, paused or stopped again during the stop.
bool soak_world::had_other_fault(const late_request& request) const
{
    constexpr std::int64_t stop_us = 4'200'000;
    const auto n = std::ranges::count_if(m_evidence.faults,
                                         [&](const router_fault& fault)
                                         {
                                             return fault.router == request.router &&
                                                    fault.from_us < request.stopped_us + stop_us &&
                                                    fault.to_us > request.stopped_us;
                                         });
    return n > 1; // the stop itself is one
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
    constexpr std::size_t kinds = 13;
    const auto kind = random_below(kinds);
    log_fault("fault kind=" + std::to_string(kind) + " router=" + entry.name +
              " worker=" + server.id + " ms=" + std::to_string(length.count()) +
              " mode=" + std::to_string(static_cast<int>(mode)));
    const auto router_index = static_cast<std::size_t>(&entry - m_routers.data());
    const auto began_us = now_us();
    co_await apply_fault(kind, entry, server, mode, length);
    constexpr std::size_t router_faults = 3; // the first kinds
    if (kind < router_faults)
        m_evidence.faults.push_back({router_index, began_us, now_us()});
    constexpr std::size_t worker_network_fault = 5;
    if (kind == worker_network_fault)
        m_drain_evidence.cuts.push_back({server.id, began_us, now_us()});
    // Grants that were held up on their way, or came from a router that was just thawed.
    if (kind == 1)
        m_holds.add_span({"", entry.name, now_us() - 1'000, now_us() + thaw_us, "sender thawed"});
    if (kind == 5 && mode == proxy_mode::silent)
        m_holds.add_span({server.id, "", began_us, now_us() + thaw_us, "link healed"});
    --m_faults_running;
}

asio::awaitable<void> soak_world::apply_fault(std::size_t kind, router& entry, worker& server,
                                              proxy_mode mode, millis length)
{
    const auto router_index = static_cast<std::size_t>(&entry - m_routers.data());
    const auto began_us = now_us();
    switch (kind)
    {
    case 0: // a router is killed and restarted
        entry.process->kill();
        co_await delay(length / 4);
        start(entry);
        break;
    case 1: // a router is paused
        entry.process->send(SIGSTOP);
        co_await delay(length * (1 + static_cast<int>(random_below(4))));
        if (entry.process)
            entry.process->send(SIGCONT);
        break;
    case 2: // planned stop of a router, which keeps serving until its grace period ends
        entry.process->send(SIGTERM);
        for (const auto rest_after : {500, 2'000, 2'700, 3'100, 3'250, 3'400})
            asio::co_spawn(m_context, call_late(router_index, began_us, millis(rest_after)),
                           asio::detached);
        co_await delay(millis(4'200));
        entry.process->kill();
        start(entry);
        break;
    case 3: // a router reloads its settings
        entry.process->send(SIGHUP);
        break;
    case 4: // a worker crashes and restarts under the same id
        kill(server);
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
        co_await harm_store(length, any_harm());
        break;
    case 8: // a new version of the configuration
        co_await m_store_control.publish_config(m_config_version++);
        break;
    case 9: // all or many routers are killed at one moment, at times while the store is in trouble
        if (random_below(2) == 0)
            asio::co_spawn(m_context, harm_store(length * 2, any_harm()), asio::detached);
        co_await kill_routers(choose_routers(random_below(2) == 0
                                                 ? m_routers.size()
                                                 : 1 + random_below(m_routers.size())),
                              millis(100));
        break;
    case 10: // the routers that last appended a record are killed, one after another, and away for
             // a time; their successors get few answers to their claims
        asio::co_spawn(m_context, harm_store(length * 4, "lost_after=60"), asio::detached);
        for (std::size_t n = 1 + random_below(3); n > 0; --n)
        {
            const auto record = co_await m_store_control.ownership();
            co_await kill_routers(coordinator_of(record),
                                  length * static_cast<int>(1 + random_below(2)));
        }
        break;
    case 11: // the next claimer is killed in its claim
        co_await kill_claimer(length * 2);
        break;
    default: // the entry of a living worker lapses, or history is deleted
        if (random_below(3) == 0)
            co_await m_store_control.post("/compact?topic=keyed.ownership");
        else
            co_await m_store_control.post("/lapse?key=" + server.id +
                                          "&ms=" + std::to_string(2 * length.count()));
        break;
    }
}

/// One of the kinds of trouble that the store may be in: limits, queues, lost and late appends.
const char* soak_world::any_harm()
{
    constexpr std::array kinds{"turn_away=503",
                               "lose_answers=40",
                               "slow_ms=200",
                               "random_ms=1500",
                               "lost_before=20&lost_after=30",
                               "late_percent=30&late_ms=4000&lost_after=20",
                               "writes_per_s=4&reads_per_s=20&append_ms=200"};
    return kinds.at(random_below(kinds.size()));
}

asio::awaitable<void> soak_world::harm_store(millis time, const char* kind)
{
    log_fault(std::string("store ") + kind);
    ++m_faults_running;
    co_await m_store_control.set_faults(kind);
    co_await delay(time);
    co_await m_store_control.set_faults("turn_away=0");
    --m_faults_running;
}

std::vector<std::size_t> soak_world::choose_routers(std::size_t count)
{
    std::vector<std::size_t> chosen(m_routers.size());
    std::iota(chosen.begin(), chosen.end(), 0);
    std::ranges::shuffle(chosen, m_random);
    chosen.resize(count);
    return chosen;
}

std::vector<std::size_t> soak_world::coordinator_of(const ownership_record& record) const
{
    const auto peer_address = [](const router& item)
    { return address(static_cast<std::uint16_t>(item.front_port + 2)); };
    const auto it = std::ranges::find(m_routers, record.coordinator.address, peer_address);
    std::vector<std::size_t> found;
    if (it != m_routers.end() && it->process->is_running())
        found.push_back(static_cast<std::size_t>(it - m_routers.begin()));
    return found;
}

/// Kills routers at one moment; each starts again at its address, after the absence and up to 0.9
/// s.
asio::awaitable<void> soak_world::kill_routers(std::vector<std::size_t> chosen, millis absence)
{
    if (chosen.empty())
        co_return;
    const auto began_us = now_us();
    log_fault("kill of routers count=" + std::to_string(chosen.size()) +
              " first=" + m_routers[chosen.front()].name);
    for (const auto n : chosen)
        m_routers[n].process->send(SIGKILL);
    for (const auto n : chosen)
        m_routers[n].process->kill();
    co_await delay(absence);
    constexpr std::size_t max_restart_ms = 900;
    for (const auto n : chosen)
    {
        co_await delay(millis(random_below(max_restart_ms) / chosen.size()));
        if (!m_routers[n].process->is_running())
            start(m_routers[n]);
        m_evidence.faults.push_back({n, began_us, now_us()});
    }
}

/// Kills the next router that the record names newly, right after its claim was appended.
asio::awaitable<void> soak_world::kill_claimer(millis time)
{
    const auto until = boot_clock::now() + time;
    const auto known = co_await m_store_control.ownership();
    while (boot_clock::now() < until)
    {
        co_await delay(millis(5));
        const auto record = co_await m_store_control.ownership();
        const auto claimer = coordinator_of(record);
        if (record.coordinator == known.coordinator || claimer.empty())
            continue;
        log_fault("kill of the claimer");
        co_await kill_routers(claimer, millis(100));
        co_return;
    }
}

/// The coordinator is killed right after it renewed the leases, the answer to its successor's first
/// claim is lost, and the entry of a worker that holds keys lapses.
asio::awaitable<void> soak_world::lose_claim_answer()
{
    constexpr std::int64_t max_age_us = 150'000;
    constexpr millis max_wait{4'000};
    constexpr millis poll_interval{10};
    const auto until = boot_clock::now() + max_wait;
    while (boot_clock::now() < until && now_us() - m_holds.last_renewal_us() > max_age_us)
    {
        m_holds.poll();
        co_await delay(poll_interval);
    }
    const auto before = co_await m_store_control.ownership();
    co_await m_store_control.set_faults("lost_after=100");
    ++m_faults_running;
    asio::co_spawn(m_context, end_answers_lost(before.coordinator), asio::detached);
    const auto& source = m_workers[random_below(m_sizes.keyed_workers)];
    log_fault("answer of a claim is lost, entry lapses worker=" + source.id);
    co_await m_store_control.post("/lapse?key=" + source.id + "&ms=4000");
    co_await kill_routers(coordinator_of(before), millis(3'000));
}

/// Answers are lost until another process has claimed the role.
asio::awaitable<void> soak_world::end_answers_lost(coordinator_identity before)
{
    constexpr millis max_wait{4'000};
    const auto until = boot_clock::now() + max_wait;
    auto record = co_await m_store_control.ownership();
    while (boot_clock::now() < until && record.coordinator == before)
    {
        co_await delay(millis(5));
        record = co_await m_store_control.ownership();
    }
    co_await m_store_control.set_faults("turn_away=0");
    --m_faults_running;
}

/// Checks the holds while the run lasts.
asio::awaitable<void> soak_world::watch_holds()
{
    constexpr millis interval{1'000};
    while (m_is_loading)
    {
        for (const auto& text : m_holds.poll())
            log_fault(text);
        co_await delay(interval);
    }
}

asio::awaitable<std::vector<std::string>> soak_world::run(millis fault_time)
{
    std::vector<std::string> violations;
    co_await delay(millis(300));
    co_await m_store_control.publish_config(m_config_version++);
    co_await delay(millis(2'000));
    asio::co_spawn(m_context, watch_holds(), asio::detached);
    for (std::size_t n = 0; n < m_sizes.clients; ++n)
        asio::co_spawn(m_context, client(n), asio::detached);
    for (const auto n : {std::size_t{0}, m_sizes.keyed_workers})
        asio::co_spawn(m_context, name_limits(n), asio::detached);
    asio::co_spawn(m_context, play_faulty_answers(), asio::detached);
    asio::co_spawn(m_context, let_workers_leave(), asio::detached);
    asio::co_spawn(m_context, let_workers_turn_away(), asio::detached);
    asio::co_spawn(m_context, let_workers_turn_cold(), asio::detached);
    asio::co_spawn(m_context, evacuate_zones(), asio::detached);
    asio::co_spawn(m_context, write_foreign_entries(), asio::detached);
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
    co_await lose_claim_answer();
    while (m_faults_running > 0)
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
    std::vector<std::string> excluded;
    const auto holds = m_holds.finish(excluded);
    check_journals(violations);
    std::ranges::copy(holds, std::back_inserter(violations));
    std::ranges::for_each(excluded, [this](const std::string& text) { log_fault(text); });
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
    for (const auto& item : m_routers)
        if (!item.process->is_running())
            violations.push_back("router " + item.name + " has ended by itself");
    if (good < min_served)
        violations.push_back("recovery: " + std::to_string(good) + " of " +
                             std::to_string(requests) + " served after all faults have ended");
}

void soak_world::check_journals(std::vector<std::string>& violations)
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
    std::vector<late_run> late_runs;
    late_runs.reserve(runs.size());
    for (const auto& run : runs)
        late_runs.push_back({run.attempt, run.began_us, run.ended_us});
    auto late = m_late_requests;
    std::erase_if(late, [this](const late_request& request) { return had_other_fault(request); });
    std::ranges::copy(check_late_requests(late, late_runs, millis(4'000)),
                      std::back_inserter(violations));
    // Rule OWNER counts no grants that arrive right after their sender was thawed.
    std::erase_if(
        runs, [this](const run_record& run)
        { return run.fence == 0 || m_holds.is_excluded(life_of(run.incarnation), run.fence); });
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
