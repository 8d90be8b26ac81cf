/// Starts the processes of a small deployment and calls them.
#include "deployment.hpp"

#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <unistd.h>

namespace review
{

using namespace eelgrassrail;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t max_connections = 2;
constexpr unsigned status_ok = 200;
const std::string port = ":18541";
const std::string ready_port = ":18542";
const std::string program = "target/eelgrassrail_platform";
const std::string stand_ins = "target/review/project";

/// A record of a keyed topic: length of the rest, length of the key, key, value.
std::string keyed_record(const std::string& key, const std::string& value)
{
    constexpr int first_shift = 24;
    constexpr int byte_bits = 8;
    const auto length = 1 + key.size() + value.size();
    std::string bytes;
    for (int shift = first_shift; shift >= 0; shift -= byte_bits)
        bytes.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
    bytes.push_back(static_cast<char>(key.size()));
    return bytes + key + value;
}

/// Whether a child has ended and only waits to be reaped.
bool has_ended(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    return text.empty() || text.find(") Z ") != std::string::npos;
}

std::string zone_of(std::size_t router)
{
    return "zone-" + std::to_string(router % 3 + 1);
}

} // namespace

deployment::deployment(asio::io_context& context, const std::string& folder)
    : m_context(context)
    , m_record(folder)
    , m_guard(context)
{
    reserve_net();
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_scratch = name;
}

/// Selects addresses that no other run uses.
void deployment::reserve_net()
{
    constexpr int first_net = 100;
    constexpr int nets = 100;
    for (int n = 0; n < nets; ++n)
    {
        m_net = "127." + std::to_string(first_net + (::getpid() + n) % nets) + ".";
        const auto endpoint = parse_tcp_address(m_net + "0.1" + port);
        boost::system::error_code ec;
        m_guard.open(endpoint.protocol(), ec);
        m_guard.bind(endpoint, ec);
        if (!ec.failed())
            return;
        m_guard.close(ec);
    }
    throw std::runtime_error("no free addresses");
}

deployment::~deployment()
{
    m_routers.clear();
    m_workers.clear();
    m_store.clear();
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_scratch, ec);
}

std::string deployment::router_ip(std::size_t router) const
{
    return m_net + "1." + std::to_string(router + 1);
}

/// Fills deploy/router.flags as the platform does, with the bounds of the small sites.
std::string deployment::fill_settings(std::size_t router, bool is_first) const
{
    std::ifstream in("deploy/router.flags");
    std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto ip = router_ip(router);
    const std::map<std::string, std::string> values{
        {"node_name", "front-" + std::to_string(router)},
        {"zone", zone_of(router)},
        {"ip", ip},
        {"listen.front", ip + port},
        {"listen.ready", ip + ready_port},
        {"internal_ports", "18550,18565"},
        {"platform.address", m_net + "3." + std::to_string(router + 1) + port},
        {"bounds.drain", "2000ms"},
        {"bounds.grace", "6s"},
        {"bounds.max_hold", "10000ms"},
        {"heartbeat", "870ms"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_slack", "64"},
        {"bootstrap", is_first ? "true" : "false"},
        {"limits.cpu_share", "0.2"},
        {"limits.cores", "1"},
        {"limits.max_fds", "4100"},
        {"limits.memory_mb", "260"}};
    for (const auto& [name, value] : values)
        boost::replace_all(text, "{{" + name + "}}", value);
    if (text.empty() || text.find("{{") != std::string::npos)
        throw std::runtime_error("deploy/router.flags has unknown settings");
    return text;
}

asio::awaitable<void> deployment::pause(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> deployment::start(std::size_t routers, std::string desired_state)
{
    const auto store = m_net + "2.1" + port;
    m_store.emplace_back(stand_ins + "/standin_store",
                         std::vector<std::string>{"--address=" + store}, m_scratch + "/store.log");
    unsigned status = 0;
    for (int n = 0; n < 100 && status != status_ok; ++n)
    {
        co_await pause(millis(50));
        status = co_await call_store("/api/log-append?topic=keyed.op&part=0",
                                     keyed_record("config", desired_state));
    }
    if (status != status_ok)
        throw std::runtime_error("the store does not start");
    for (std::size_t n = 0; n < routers; ++n)
    {
        m_links.push_back(std::make_unique<store_link>(
            m_context, m_net + "3." + std::to_string(n + 1) + port, store));
        m_routers.push_back(launch_router(n, true));
    }
}

harness::child_process deployment::launch_router(std::size_t router, bool is_first)
{
    const auto name = m_scratch + "/router-" + std::to_string(router);
    std::ofstream(name + ".flags") << fill_settings(router, is_first);
    ::setenv("EELGRASSRAIL_BOOT", (name + ".flags").c_str(), 1);
    harness::child_process process(program, {}, name + ".log");
    ::unsetenv("EELGRASSRAIL_BOOT");
    return process;
}

void deployment::restart_router(std::size_t router)
{
    m_routers.at(router) = launch_router(router, false);
}

asio::awaitable<void> deployment::stop_and_restart_router(std::size_t router)
{
    constexpr millis interval{50};
    constexpr millis grace{6'000};
    constexpr millis restart_delay{300};
    const auto until = boot_clock::now() + grace;
    const auto pid = m_routers.at(router).pid();
    m_record.add("SIGTERM to router " + std::to_string(router));
    m_routers.at(router).send(SIGTERM);
    while (boot_clock::now() < until && !has_ended(pid))
        co_await pause(interval);
    m_routers.at(router).kill();
    m_record.add("router " + std::to_string(router) + " has ended");
    co_await pause(restart_delay);
    restart_router(router);
}

std::string deployment::free_worker_address()
{
    return m_net + "4." + std::to_string(++m_addresses) + port;
}

void deployment::start_worker(const worker_plan& plan)
{
    auto& item = m_workers[plan.id];
    if (item.address.empty())
        item.address = free_worker_address();
    item.plan = plan;
    item.born_ms = unix_ms();
    item.process.emplace(
        stand_ins + "/standin_worker",
        std::vector<std::string>{"--id=" + plan.id, "--address=" + item.address,
                                 "--store=" + m_net + "2.1" + port, "--service=" + plan.service,
                                 "--zone=" + plan.zone,
                                 std::string("--divided=") + (plan.is_sharded ? "true" : "false"),
                                 "--run_ms=" + std::to_string(plan.run_ms), "--heartbeat_ms=870",
                                 "--born_ms=" + std::to_string(item.born_ms)},
        worker_log(plan.id));
    m_record.add("worker started id=" + plan.id + " service=" + plan.service +
                 " address=" + item.address);
}

void deployment::kill_worker(const std::string& id)
{
    m_workers.at(id).process->kill();
}

std::string deployment::worker_address(const std::string& id) const
{
    return m_workers.at(id).address;
}

std::uint64_t deployment::worker_born_ms(const std::string& id) const
{
    return m_workers.at(id).born_ms;
}

std::string deployment::worker_log(const std::string& id) const
{
    return m_scratch + "/worker-" + id + ".log";
}

asio::awaitable<http_exchange> deployment::call(std::string address, http_call call)
{
    constexpr millis timeout{2'000};
    http_client client(m_context.get_executor(), address, max_connections);
    co_return co_await client.exchange(std::move(call), boot_clock::now() + timeout);
}

asio::awaitable<unsigned> deployment::call_store(std::string target, std::string body)
{
    http_call request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    const auto exchange = co_await call(m_net + "2.1" + port, std::move(request));
    co_return exchange.result == exchange_result::complete ? exchange.reply.status : 0;
}

asio::awaitable<unsigned> deployment::put_entry(std::string id, std::string value)
{
    co_return co_await call_store("/api/log-append?topic=keyed.servers&part=0",
                                  keyed_record(id, value));
}

asio::awaitable<ownership_record> deployment::ownership()
{
    http_call request;
    request.method = "GET";
    request.target = "/record?topic=keyed.ownership&key=map";
    const auto exchange = co_await call(m_net + "2.1" + port, std::move(request));
    std::optional<ownership_record> result;
    if (exchange.result == exchange_result::complete && exchange.reply.status == status_ok)
        result = read_message<ownership_record>(exchange.reply.body);
    co_return result.value_or(ownership_record{});
}

asio::awaitable<std::size_t> deployment::coordinator()
{
    const auto newest = co_await ownership();
    std::size_t n = 0;
    while (n < m_routers.size() && !newest.coordinator.address.starts_with(router_ip(n) + ":"))
        ++n;
    co_return n;
}

asio::awaitable<bool> deployment::wait_until_ready()
{
    constexpr int max_polls = 200;
    std::size_t ready = 0;
    for (int n = 0; n < max_polls && ready < m_routers.size(); ++n)
    {
        co_await pause(millis(100));
        ready = 0;
        for (std::size_t router = 0; router < m_routers.size(); ++router)
        {
            http_call request;
            request.method = "GET";
            request.target = "/api/ready";
            const auto exchange = co_await call(router_ip(router) + ready_port, std::move(request));
            ready +=
                exchange.result == exchange_result::complete && exchange.reply.status == status_ok
                    ? 1
                    : 0;
        }
    }
    m_record.add("routers ready: " + std::to_string(ready));
    co_return ready == m_routers.size();
}

asio::awaitable<unsigned> deployment::ask(question item)
{
    constexpr millis slack{300};
    const auto attempt =
        "r" + std::to_string(item.router) + "-" + std::to_string(++m_requests) + item.tag;
    http_call request;
    request.method = item.method;
    request.target = item.target;
    request.body = item.body;
    request.fields = {{"Host", "review"},
                      {"Eelgrassrail-Attempt-Id", attempt},
                      {"Eelgrassrail-Deadline-Ms", std::to_string(item.time_limit.count())}};
    if (item.key >= 0)
        request.fields.push_back({"Eelgrassrail-Shard-Key", std::to_string(item.key)});
    m_record.add("sent " + attempt + " " + item.method + " " + item.target +
                 (item.key >= 0 ? " key=" + std::to_string(item.key) : std::string()));
    http_client caller(m_context.get_executor(), router_ip(item.router) + port, 1);
    const auto sent_at = boot_clock::now();
    const auto exchange =
        co_await caller.exchange(std::move(request), sent_at + item.time_limit + slack);
    constexpr millis overdue_time{500};
    const auto took = boot_clock::now() - sent_at;
    m_unanswered_at_timeout += took > item.route_timeout ? 1 : 0;
    m_overdue += took > item.route_timeout + overdue_time ? 1 : 0;
    const auto status = exchange.result == exchange_result::complete ? exchange.reply.status : 0;
    ++m_answers[status];
    m_record.add("answered " + attempt + " status=" + std::to_string(status) +
                 " ms=" + std::to_string(std::chrono::duration_cast<millis>(took).count()));
    co_return status;
}

std::string desired_state(const std::vector<route_plan>& routes,
                          const std::vector<std::string>& sharded,
                          const std::vector<std::string>& plain)
{
    std::string rules;
    for (const auto& item : routes)
        rules += std::string(rules.empty() ? "" : ",") + R"({"name":")" + item.name +
                 R"(","kind":")" + item.kind + R"(","target_latency":"600ms","priority":1,)" +
                 R"("match":{"path_prefix":"/)" + item.name + R"(/"},"action":{"service":")" +
                 item.service + R"(","timeout":")" + item.timeout + R"(","max_attempts":)" +
                 std::to_string(item.max_attempts) + "}}";
    std::string clusters;
    for (const auto& name : sharded)
        clusters += std::string(clusters.empty() ? "" : ",") + R"({"name":")" + name +
                    R"(","max_connections":130,"sharded":true,"warm":"3s"})";
    for (const auto& name : plain)
        clusters += std::string(clusters.empty() ? "" : ",") + R"({"name":")" + name +
                    R"(","max_connections":130})";
    return R"({"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
           R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"review",)"
           R"("rules":[)" +
           rules + R"(]}],"clusters":[)" + clusters + "]}";
}

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
