/// Settings, processes and callers of a small deployment.
#include "small_deployment.hpp"

#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace eelgrassrail::review
{

namespace asio = boost::asio;

namespace
{

constexpr millis heartbeat{870};

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

/// Fills the values into the template of the deploy file.
std::string fill(std::string text, const std::map<std::string, std::string>& values)
{
    std::size_t at = 0;
    while ((at = text.find("{{", at)) != std::string::npos)
    {
        const auto end = text.find("}}", at);
        const auto it = values.find(text.substr(at + 2, end - at - 2));
        const auto value = it == values.end() ? std::string() : it->second;
        text.replace(at, end + 2 - at, value);
        at += value.size();
    }
    return text;
}

std::uint64_t unix_now_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// Child processes do not inherit the sockets of the stand-ins; a port would otherwise stay open
/// after its worker has crashed.
void close_on_exec()
{
    for (const auto& item : std::filesystem::directory_iterator("/proc/self/fd"))
    {
        const int number = std::stoi(item.path().filename().string());
        if (number > 2)
            ::fcntl(number, F_SETFD, FD_CLOEXEC);
    }
}

} // namespace

small_deployment::small_deployment(asio::io_context& context, const std::string& folder,
                                   std::map<std::string, std::string> settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_record(folder + "/record.txt")
    , m_began(boot_clock::now())
    , m_born_ms(unix_now_ms())
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_temporary = name;
    store_address = free_address("127.0.0.1");
    store = std::make_unique<test::store_standin>(context, store_address);
    record(std::string("trouble=") + (has_trouble() ? "1" : "0"));
}

small_deployment::~small_deployment()
{
    routers.clear();
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_temporary, ignored);
    else
        std::cerr << "logs in " << m_temporary << '\n';
}

bool small_deployment::has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

scripted_worker& small_deployment::add_worker(worker_options options)
{
    if (options.address.empty())
        options.address = free_address("127.0.0.1");
    workers.push_back(std::make_unique<scripted_worker>(m_context, std::move(options)));
    return *workers.back();
}

void small_deployment::start_worker(scripted_worker& worker)
{
    const auto start = ++m_starts[worker.options().id];
    worker.start(unix_now_ms());
    record("worker started id=" + worker.options().id + " start=" + std::to_string(start));
    asio::co_spawn(m_context, write_entries(worker, start), asio::detached);
}

asio::awaitable<void> small_deployment::write_entries(scripted_worker& worker, std::uint64_t start)
{
    const auto id = worker.options().id;
    while (worker.is_running() && m_starts[id] == start)
    {
        store->put("keyed.servers", id, worker.entry(++m_seq[id]));
        co_await delay(heartbeat);
    }
    // The platform removes the entry after three heartbeats of silence.
    co_await delay(2 * heartbeat);
    if (m_starts[id] == start && !worker.is_running())
        store->put("keyed.servers", id, "");
}

void small_deployment::configure(const std::string& document)
{
    store->put("keyed.op", "config", document);
}

std::string small_deployment::free_address(const std::string& ip)
{
    for (int n = 0; n < 100; ++n)
    {
        const asio::ip::tcp::endpoint any(asio::ip::make_address(ip), 0);
        const asio::ip::tcp::acceptor tcp(m_context, any);
        const auto port = tcp.local_endpoint().port();
        boost::system::error_code ec;
        asio::ip::udp::socket udp(m_context, asio::ip::udp::v4());
        udp.bind({any.address(), port}, ec);
        if (!ec.failed())
            return ip + ":" + std::to_string(port);
    }
    throw std::runtime_error("no free port");
}

void small_deployment::start_routers(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        router item;
        item.name = "front-" + std::to_string(n + 1);
        item.ip = "127.0.0." + std::to_string(11 + n);
        item.front = free_address(item.ip);
        item.peer = free_address(item.ip);
        item.settings_file = (m_temporary / (item.name + ".flags")).string();
        std::map<std::string, std::string> values{
            {"node_name", item.name},
            {"zone", "z" + std::to_string(n % 3 + 1)},
            {"ip", item.ip},
            {"listen.front", item.front},
            {"listen.ready", free_address(item.ip)},
            {"internal_ports", port_of(item.peer) + "," + port_of(item.peer)},
            {"platform.address", store_address},
            {"bounds.drain", "2000ms"},
            {"bounds.grace", "6s"},
            {"bounds.max_hold", "10000ms"},
            {"heartbeat", std::to_string(heartbeat.count()) + "ms"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_slack", "64"},
            {"bootstrap", "{{bootstrap}}"},
            {"limits.cpu_share", "0.2"},
            {"limits.cores", "1"},
            {"limits.max_fds", "4100"},
            {"limits.memory_mb", "260"}};
        for (const auto& [name, value] : m_settings)
            values[name] = value;
        std::ifstream in("deploy/router.flags");
        std::stringstream text;
        text << in.rdbuf();
        if (!in)
            throw std::runtime_error("deploy/router.flags can not be read");
        // The port of the metrics is fixed in the template; here a free one is used.
        auto filled = fill(text.str(), values);
        if (const auto at = filled.find(":9464"); at != std::string::npos)
            filled.replace(at, 5, ":" + port_of(free_address(item.ip)));
        item.settings = std::move(filled);
        routers.push_back(std::move(item));
    }
    for (auto& item : routers)
        start(item);
}

void small_deployment::start(router& item)
{
    // `bootstrap` is true only when the whole system starts for the first time.
    std::ofstream(item.settings_file)
        << fill(item.settings, {{"bootstrap", item.process ? "false" : "true"}});
    close_on_exec();
    ::setenv("EELGRASSRAIL_BOOT", item.settings_file.c_str(), 1);
    item.process.emplace("target/eelgrassrail_platform", std::vector<std::string>{},
                         (m_temporary / (item.name + ".log")).string());
    record("router started name=" + item.name + " pid=" + std::to_string(item.process->pid()));
}

asio::awaitable<call_result> small_deployment::call(const router& at, std::string method,
                                                    std::string target, std::string attempt,
                                                    std::optional<std::uint32_t> key, millis limit)
{
    http_call request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.fields = {{"Host", "case.example"},
                      {"Eelgrassrail-Attempt-Id", attempt},
                      {"Eelgrassrail-Deadline-Ms", std::to_string(limit.count())}};
    if (key)
        request.fields.push_back({"Eelgrassrail-Shard-Key", std::to_string(*key)});
    http_client client(m_context.get_executor(), at.front, 1);
    const auto exchange =
        co_await client.exchange(std::move(request), boot_clock::now() + limit + millis(500));
    call_result result;
    if (exchange.result != exchange_result::complete)
        co_return result;
    result.status = exchange.reply.status;
    result.error_kind = find_field(exchange.reply.fields, "Error-Kind").value_or("");
    result.is_own = exchange.reply.body.starts_with("answer to " + attempt + " ");
    co_return result;
}

asio::awaitable<void> small_deployment::delay(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

double small_deployment::seconds(instant at) const
{
    return std::chrono::duration<double>(at - m_began).count();
}

void small_deployment::record(const std::string& line)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%9.3f ", seconds(boot_clock::now()));
    m_record << text.data() << line << '\n' << std::flush;
}

int run_case(const std::function<asio::awaitable<int>(asio::io_context&)>& body, millis limit)
{
    asio::io_context context(1);
    int result = could_not_run;
    asio::steady_timer timer(context, limit);
    timer.async_wait(
        [&](const boost::system::error_code& ec)
        {
            if (ec.failed())
                return;
            std::cerr << "the time of the case is over\n";
            context.stop();
        });
    asio::co_spawn(
        context, [&]() -> asio::awaitable<int> { co_return co_await body(context); },
        [&](const std::exception_ptr& failure, int code)
        {
            result = failure ? could_not_run : code;
            context.stop();
        });
    context.run();
    return result;
}

std::string rule_text(const std::string& name, bool is_safe, const std::string& service,
                      const std::string& timeout)
{
    return R"({"name":")" + name + R"(","kind":")" + (is_safe ? "safe" : "unsafe") +
           R"(","target_latency":"600ms","priority":1,"match":{"path_prefix":"/)" + name +
           R"(/"},"action":{"service":")" + service + R"(","timeout":")" + timeout +
           R"(","max_attempts":3}})";
}

std::string config_text(unsigned version, const std::string& rules, const std::string& clusters)
{
    return R"({"version":"r)" + std::to_string(version) +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
           R"("header_timeout":"3000ms","idle_timeout":"15s"},)"
           R"("listeners":[{"host":"case.example","rules":[)" +
           rules + R"(]}],"clusters":[)" + clusters + "]}";
}

} // namespace eelgrassrail::review
