/// HTTP by hand, since a faulty worker sends what no HTTP library sends.
#include "scripted_worker.hpp"

#include <eelgrassrail/grants/key_slice.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrassrail::review
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

std::string reply(unsigned status, const std::string& fields, const std::string& body = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string not_executed(unsigned status, const std::string& attempt)
{
    return reply(status, "Eelgrassrail-Not-Executed: 1\r\n" +
                             (attempt.empty() ? std::string()
                                              : "Eelgrassrail-Attempt-Id: " + attempt + "\r\n"));
}

} // namespace

struct scripted_worker::request
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        const auto it = std::ranges::find_if(fields, [&](const auto& item)
                                             { return boost::iequals(item.first, name); });
        return it == fields.end() ? std::string() : it->second;
    }
};

/// One incarnation with its connections.
struct scripted_worker::life
{
    life(asio::io_context& context, const tcp::endpoint& at)
        : acceptor(context, at)
    {
    }

    tcp::acceptor acceptor;
    std::set<std::shared_ptr<tcp::socket>> sockets;
    bool is_running{true};
    unsigned busy{};
    unsigned waiting{};
    std::multiset<std::uint32_t> running_keys;
};

scripted_worker::scripted_worker(asio::io_context& context, worker_options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_keys(key_count)
{
}

scripted_worker::~scripted_worker()
{
    crash();
}

void scripted_worker::start(std::uint64_t born_ms)
{
    m_born_ms = born_ms;
    std::ranges::fill(m_keys, key_state{});
    m_life = std::make_shared<life>(m_context, parse_tcp_address(m_options.address));
    asio::co_spawn(m_context, accept(m_life), asio::detached);
}

void scripted_worker::crash()
{
    if (!m_life)
        return;
    m_life->is_running = false;
    boost::system::error_code ignored;
    m_life->acceptor.close(ignored);
    for (const auto& socket : m_life->sockets)
        socket->close(ignored);
    m_life = nullptr;
}

std::string scripted_worker::entry(std::uint64_t seq) const
{
    return boost::json::serialize(
        boost::json::object{{"service", m_options.service},
                            {"address", m_options.address},
                            {"zone", m_options.zone},
                            {"version", "v1"},
                            {"slots", m_options.slots},
                            {"state", "ready"},
                            {"cold_remaining", std::to_string(remaining_cold().count()) + "ms"},
                            {"seq", seq},
                            {"born", m_born_ms}});
}

asio::awaitable<void> scripted_worker::delay(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> scripted_worker::accept(std::shared_ptr<life> of)
{
    while (of->is_running)
    {
        boost::system::error_code ec;
        auto socket = std::make_shared<tcp::socket>(m_context);
        co_await of->acceptor.async_accept(*socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed() || !of->is_running)
            co_return;
        of->sockets.insert(socket);
        asio::co_spawn(m_context, serve(of, socket), asio::detached);
    }
}

asio::awaitable<void> scripted_worker::serve(std::shared_ptr<life> of,
                                             std::shared_ptr<tcp::socket> socket)
{
    std::string buf;
    std::string extra; // repeated where the next answer is due
    boost::system::error_code ec;
    while (of->is_running)
    {
        const auto n =
            co_await asio::async_read_until(*socket, asio::dynamic_buffer(buf), "\r\n\r\n",
                                            asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed() || !of->is_running)
            break;
        request call;
        std::size_t length = 0;
        std::size_t at = 0;
        for (auto end = buf.find("\r\n", at); at < n - 2; end = buf.find("\r\n", at))
        {
            const auto line = buf.substr(at, end - at);
            at = end + 2;
            if (call.method.empty())
            {
                const auto space = line.find(' ');
                call.method = line.substr(0, space);
                call.target = line.substr(space + 1, line.rfind(' ') - space - 1);
                continue;
            }
            const auto colon = line.find(':');
            const auto begin = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            call.fields.emplace_back(line.substr(0, colon), line.substr(begin));
            if (boost::iequals(call.fields.back().first, "Content-Length"))
                std::from_chars(line.data() + begin, line.data() + line.size(), length);
        }
        buf.erase(0, n);
        if (buf.size() < length)
            co_await asio::async_read(*socket, asio::dynamic_buffer(buf),
                                      asio::transfer_exactly(length - buf.size()),
                                      asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed() || !of->is_running)
            break;
        call.body = buf.substr(0, length);
        buf.erase(0, length);
        if (!extra.empty())
        {
            ++m_repeated;
            co_await asio::async_write(*socket, asio::buffer(extra),
                                       asio::redirect_error(asio::use_awaitable, ec));
            extra.clear();
        }
        const auto bytes = co_await answer(of, call);
        if (!of->is_running)
            break;
        ++m_answers;
        co_await asio::async_write(*socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
            break;
        if (m_repeats_next && call.target == "/api/grant" && !m_grants.empty() &&
            !has_keys_after(m_grants.back().last))
        {
            m_repeats_next = false;
            extra = bytes;
        }
    }
    socket->close(ec);
    of->sockets.erase(socket);
}

void scripted_worker::turn_cold(millis time, double max_per_s)
{
    m_cold_until = boot_clock::now() + time;
    m_max_cold_per_s = max_per_s;
}

millis scripted_worker::remaining_cold() const
{
    return std::max(millis(0),
                    std::chrono::duration_cast<millis>(m_cold_until - boot_clock::now()));
}

/// Whether more requests have arrived within the last second than a cold worker tolerates.
bool scripted_worker::is_overrun() const
{
    const auto from = boot_clock::now() - millis(1'000);
    const auto n = std::ranges::count_if(m_arrivals, [from](instant at) { return at > from; });
    return m_max_cold_per_s > 0 && is_cold() && static_cast<double>(n) > m_max_cold_per_s;
}

bool scripted_worker::has_keys_after(std::uint32_t key) const
{
    const auto now = boot_clock::now();
    return std::any_of(m_keys.begin() + key + 1, m_keys.end(),
                       [now](const key_state& it) { return it.until > now; });
}

asio::awaitable<std::string> scripted_worker::answer(std::shared_ptr<life> of, const request& call)
{
    const auto attempt = call.field("Eelgrassrail-Attempt-Id");
    const auto expected = call.field("Eelgrassrail-Expect-Instance");
    if (!expected.empty() && expected != m_options.id)
        co_return not_executed(421, attempt);
    if (call.target == "/health")
    {
        ++m_health_checks;
        co_return reply(200, "Eelgrassrail-Instance-Id: " + m_options.id +
                                 "\r\nEelgrassrail-Cold-Ms: " +
                                 std::to_string(remaining_cold().count()) + "\r\n");
    }
    if (call.target == "/api/grant")
        co_return grant(call);
    if (call.target == "/api/release")
        co_return co_await release(of, call);
    co_return co_await run(of, call);
}

std::string scripted_worker::grant(const request& call)
{
    if (!m_options.is_sharded)
        return reply(400, "");
    const auto document = boost::json::parse(call.body);
    const auto& body = document.as_object();
    const auto now = boot_clock::now();
    taken_grant taken{body.at("from").to_number<std::uint32_t>(),
                      body.at("to").to_number<std::uint32_t>(),
                      body.at("fence").to_number<std::uint64_t>(), now};
    const auto hold = std::stoll(std::string(body.at("hold_time").as_string()));
    const auto begin = m_keys.begin() + taken.first;
    const auto end = m_keys.begin() + taken.last + 1;
    if (std::any_of(begin, end, [&](const key_state& it) { return it.fence > taken.fence; }))
        return reply(409, "");
    taken.is_renewal = std::all_of(begin, end, [&](const key_state& it) { return it.until > now; });
    std::fill(begin, end, key_state{taken.fence, now + millis(hold)});
    m_grants.push_back(taken);
    return reply(200, "");
}

asio::awaitable<std::string> scripted_worker::release(std::shared_ptr<life> of, const request& call)
{
    if (!m_options.is_sharded)
        co_return reply(400, "");
    const auto document = boost::json::parse(call.body);
    const auto& body = document.as_object();
    seen_release seen{body.at("from").to_number<std::uint32_t>(),
                      body.at("to").to_number<std::uint32_t>(),
                      body.at("fence").to_number<std::uint64_t>(), boot_clock::now(), std::nullopt};
    for (auto key = seen.first; key <= seen.last; ++key)
    {
        m_keys[key].fence = std::max(m_keys[key].fence, seen.fence);
        m_keys[key].until = {};
    }
    const auto index = m_releases.size();
    m_releases.push_back(seen);
    while (of->is_running &&
           of->running_keys.lower_bound(seen.first) != of->running_keys.upper_bound(seen.last))
        co_await delay(millis(1));
    m_releases[index].answered = boot_clock::now();
    co_return reply(200, "Eelgrassrail-Handover: " + std::to_string(seen.fence) + "\r\n");
}

asio::awaitable<std::string> scripted_worker::run(std::shared_ptr<life> of, const request& call)
{
    const auto attempt = call.field("Eelgrassrail-Attempt-Id");
    if (attempt.empty())
        co_return not_executed(400, attempt);
    worker_run item;
    item.attempt = attempt;
    item.target = call.target;
    const auto key = call.field("Eelgrassrail-Shard-Key");
    std::from_chars(key.data(), key.data() + key.size(), item.key);
    m_arrivals.push_back(boot_clock::now());
    if (is_overrun())
    {
        crash();
        if (on_crash)
            on_crash();
        co_return std::string();
    }
    if (of->busy >= m_options.slots && of->waiting >= m_options.queue)
        co_return not_executed(503, attempt);
    ++of->waiting;
    while (of->is_running && of->busy >= m_options.slots)
        co_await delay(millis(1));
    --of->waiting;
    if (!of->is_running)
        co_return std::string();
    if (m_options.is_sharded && m_keys.at(item.key).until <= boot_clock::now())
        co_return not_executed(421, attempt);
    item.began = boot_clock::now();
    const auto index = m_runs.size();
    m_runs.push_back(item);
    ++of->busy;
    const auto running = of->running_keys.insert(item.key);
    constexpr int cold_factor = 2;
    co_await delay(is_cold() ? cold_factor * m_options.run_time : m_options.run_time);
    of->running_keys.erase(running);
    --of->busy;
    if (!of->is_running)
        co_return std::string();
    m_runs[index].ended = boot_clock::now();
    std::string body = "answer to " + attempt + " ";
    body.resize(std::max(body.size(), m_options.answer_bytes), '.');
    co_return reply(200,
                    "Eelgrassrail-Attempt-Id: " + attempt +
                        "\r\nEelgrassrail-Server-Signature: " + m_options.id + "\r\n",
                    body);
}

} // namespace eelgrassrail::review
