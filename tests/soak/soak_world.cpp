/// Load, faults and checks of one seed.
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

constexpr const char* id_field = "Eelgrassrail-Attempt-Id";
constexpr std::uint32_t keys = 65'536;

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

std::string state_text(unsigned version)
{
    return R"({"version":"r)" + std::to_string(version) +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
           R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"soak","rules":[)" +
           rule("read", true, "keys") + "," + rule("file", false, "keys") + "," +
           rule("look", true, "plain") + "," + rule("book", false, "plain") +
           R"(]}],"clusters":[{"name":"keys","max_connections":100,"sharded":true,"warm":"1s"},)"
           R"({"name":"plain","max_connections":100}]})";
}

/// A run as a worker printed it.
struct run_line
{
    std::string attempt;
    std::uint32_t key{};
    std::uint64_t fence{};
    std::int64_t began_us{};
    std::int64_t ended_us{}; ///< 0: the worker was lost during the run
    std::string life;        ///< of the worker
};

std::vector<run_line> read_runs(const std::string& folder)
{
    std::vector<run_line> runs;
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        const auto life = file.path().stem().string();
        if (!life.starts_with("worker"))
            continue;
        std::map<std::string, std::size_t> open;
        std::ifstream in(file.path());
        for (std::string text; std::getline(in, text);)
        {
            std::istringstream line(text);
            std::string word;
            run_line run;
            line >> word >> run.attempt;
            if (word == "begin" && line >> run.key >> run.fence >> run.began_us)
            {
                run.life = life;
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

soak_world::soak_world(asio::io_context& context, std::string bin, std::string folder,
                       std::uint16_t first_port, unsigned seed, soak_sizes sizes)
    : m_context(context)
    , m_bin(std::move(bin))
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
        item.is_divided = n < m_sizes.keyed_workers;
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
        item.front = next_port();
        m_next_port += 2; // ready and peers
        item.store_port = next_port();
        item.store_proxy = std::make_unique<fault_proxy>(m_context, item.store_port, m_store_port);
        start(item);
        m_routers.push_back(std::move(item));
    }
}

void soak_world::start(router& item)
{
    const auto front = item.front;
    item.process.emplace(
        m_bin + "/eelgrassrail_platform",
        std::vector<std::string>{
            "--vm=" + item.name, std::string("--zone=") + (item.front % 2 == 0 ? "z1" : "z2"),
            "--ip=127.0.0.1", "--front=" + address(front),
            "--ready=" + address(static_cast<std::uint16_t>(front + 1)),
            "--internal_ports=" + std::to_string(front + 2), "--store=" + address(item.store_port),
            "--grace=4s", "--max_hold=3000ms", "--log_level=debug"},
        m_folder + "/" + item.name + "-" + std::to_string(draw(1'000'000)) + ".log");
}

void soak_world::start(worker& item)
{
    ++item.starts;
    item.process.emplace(m_bin + "/standin_worker",
                         std::vector<std::string>{
                             "--id=" + item.id, "--address=" + address(item.port),
                             "--advertise=" + address(static_cast<std::uint16_t>(item.port + 1)),
                             "--store=" + address(m_store_port),
                             std::string("--service=") + (item.is_divided ? "keys" : "plain"),
                             std::string("--divided=") + (item.is_divided ? "true" : "false"),
                             "--born_ms=" + std::to_string(1'700'000'000'000 + item.starts)},
                         m_folder + "/worker-" + item.id + "-" + std::to_string(item.starts) +
                             ".log");
}

std::size_t soak_world::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
}

void soak_world::note(const std::string& text)
{
    std::ofstream(m_folder + "/faults.txt", std::ios::app)
        << boot_clock::now().time_since_epoch().count() << ' ' << text << '\n';
}

asio::awaitable<void> soak_world::pause(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> soak_world::set_store(std::string query)
{
    http_call call;
    call.method = "POST";
    call.target = "/faults?" + query;
    co_await m_store_client->exchange(std::move(call), boot_clock::now() + millis(1'000));
}

asio::awaitable<void> soak_world::put_state()
{
    http_call call;
    call.method = "POST";
    call.target = "/api/log-append?topic=keyed.op&part=0";
    call.body = test::log_record_bytes("config", state_text(m_state_version++));
    co_await m_store_client->exchange(std::move(call), boot_clock::now() + millis(1'000));
}

asio::awaitable<told> soak_world::ask(const router& at, bool is_keyed, bool is_idempotent)
{
    told result;
    result.attempt = "a" + std::to_string(m_next_attempt++);
    result.is_idempotent = is_idempotent;
    http_call call;
    call.method = is_idempotent ? "GET" : "POST";
    call.target = is_keyed ? (is_idempotent ? "/read/x" : "/file/x")
                           : (is_idempotent ? "/look/x" : "/book/x");
    call.fields = {
        {"Host", "soak"}, {id_field, result.attempt}, {"Eelgrassrail-Deadline-Ms", "2000"}};
    // A third of the requests are for one key.
    const auto key = draw(3) == 0 ? 4'711 : draw(keys);
    if (is_keyed)
        call.fields.push_back({"Eelgrassrail-Shard-Key", std::to_string(key)});
    http_client client(m_context.get_executor(), address(at.front), 1);
    const auto exchange =
        co_await client.exchange(std::move(call), boot_clock::now() + millis(3'000));
    if (exchange.result == exchange_result::complete)
    {
        result.status = exchange.reply.status;
        result.is_own = exchange.reply.body.starts_with("answer to " + result.attempt + " ") &&
                        find_field(exchange.reply.fields, id_field) == result.attempt;
    }
    co_return result;
}

asio::awaitable<void> soak_world::client(std::size_t)
{
    ++m_clients_running;
    while (m_is_loading)
    {
        const auto at = draw(m_routers.size());
        const auto kind = draw(4);
        m_told.push_back(co_await ask(m_routers[at], kind < 2, kind % 2 == 0));
        co_await pause(millis(10 + draw(20)));
    }
    --m_clients_running;
}

/// One fault of a drawn kind, for a drawn time; several run at once.
asio::awaitable<void> soak_world::fault()
{
    ++m_faults_running;
    auto& entry = m_routers[draw(m_routers.size())];
    auto& server = m_workers[draw(m_workers.size())];
    const millis length(300 + draw(1'700));
    constexpr std::array modes{proxy_mode::delay, proxy_mode::silent, proxy_mode::one_way,
                               proxy_mode::refuse};
    const auto mode = modes.at(draw(modes.size()));
    const auto kind = draw(9);
    note("fault kind=" + std::to_string(kind) + " router=" + entry.name + " worker=" + server.id +
         " ms=" + std::to_string(length.count()) +
         " mode=" + std::to_string(static_cast<int>(mode)));
    switch (kind)
    {
    case 0: // killed and started again
        entry.process->kill();
        co_await pause(length / 4);
        start(entry);
        break;
    case 1: // paused
        entry.process->send(SIGSTOP);
        co_await pause(length);
        if (entry.process)
            entry.process->send(SIGCONT);
        break;
    case 2: // planned stop, in which it goes on serving
        entry.process->send(SIGTERM);
        co_await pause(millis(4'200));
        entry.process->kill();
        start(entry);
        break;
    case 3:
        entry.process->send(SIGHUP);
        break;
    case 4: // a worker crashes and starts again under its id
        server.process->kill();
        co_await pause(length);
        start(server);
        break;
    case 5:
        server.proxy->set_mode(mode);
        co_await pause(length);
        server.proxy->set_mode(proxy_mode::pass);
        break;
    case 6:
        entry.store_proxy->set_mode(mode);
        co_await pause(length);
        entry.store_proxy->set_mode(proxy_mode::pass);
        break;
    case 7:
        co_await set_store(draw(2) == 0   ? "turn_away=503"
                           : draw(2) == 0 ? "lose_answers=40"
                                          : "slow_ms=200");
        co_await pause(length);
        co_await set_store("turn_away=0");
        break;
    default:
        co_await put_state();
        break;
    }
    --m_faults_running;
}

asio::awaitable<std::vector<std::string>> soak_world::run(millis fault_time)
{
    std::vector<std::string> broken;
    co_await pause(millis(300));
    co_await put_state();
    co_await pause(millis(2'000));
    for (std::size_t n = 0; n < m_sizes.clients; ++n)
        asio::co_spawn(m_context, client(n), asio::detached);
    const auto until = boot_clock::now() + fault_time;
    while (boot_clock::now() < until)
    {
        co_await pause(millis(200 + draw(600)));
        asio::co_spawn(m_context, fault(), asio::detached);
    }
    while (m_faults_running > 0)
        co_await pause(millis(50));
    // A worker that was lost without a sign holds its keys until its grants run out.
    co_await pause(millis(8'000));
    m_is_loading = false;
    while (m_clients_running > 0)
        co_await pause(millis(50));
    co_await check_recovery(broken);
    for (auto& item : m_routers)
        item.process.reset();
    for (auto& item : m_workers)
        item.process.reset();
    check_journals(broken);
    co_return broken;
}

asio::awaitable<void> soak_world::check_recovery(std::vector<std::string>& broken)
{
    constexpr std::size_t requests = 60;
    constexpr std::size_t least = requests * 9 / 10;
    std::size_t good = 0;
    for (std::size_t n = 0; n < requests; ++n)
    {
        auto result = co_await ask(m_routers[n % m_routers.size()], n % 4 < 2, n % 2 == 0);
        good += result.status == 200 ? 1 : 0;
        m_told.push_back(std::move(result));
    }
    if (good < least)
        broken.push_back("recovery: " + std::to_string(good) + " of " + std::to_string(requests) +
                         " served after all faults have ended");
}

void soak_world::check_journals(std::vector<std::string>& broken) const
{
    auto runs = read_runs(m_folder);
    std::map<std::string, std::size_t> runs_of;
    for (const auto& run : runs)
        ++runs_of[run.attempt];
    for (const auto& item : m_told)
    {
        const auto n = runs_of.contains(item.attempt) ? runs_of.at(item.attempt) : 0;
        const bool says_not_run =
            item.status == 429 || item.status == 503 || item.status == 408 || item.status == 421;
        if (item.status == 200 && (!item.is_own || n == 0))
            broken.push_back("answer: " + item.attempt + " got another answer than its own");
        if (item.is_idempotent)
            continue;
        if (n > 1)
            broken.push_back("twice: " + item.attempt + " ran " + std::to_string(n) + " times");
        if (says_not_run && n > 0)
            broken.push_back("refused: " + item.attempt + " ran though it was refused");
    }
    std::erase_if(runs, [](const run_line& run) { return run.fence == 0; });
    std::ranges::sort(runs, {}, [](const run_line& r) { return std::pair(r.key, r.began_us); });
    for (std::size_t n = 1; n < runs.size(); ++n)
    {
        const auto& before = runs[n - 1];
        const auto& after = runs[n];
        if (before.key != after.key || before.life == after.life)
            continue;
        if (after.fence <= before.fence || after.began_us < before.ended_us)
            broken.push_back("owner: key " + std::to_string(after.key) + " ran at " + before.life +
                             " with fence " + std::to_string(before.fence) + " until " +
                             std::to_string(before.ended_us) + " and at " + after.life +
                             " with fence " + std::to_string(after.fence) + " from " +
                             std::to_string(after.began_us));
    }
}

} // namespace eelgrassrail::soak
