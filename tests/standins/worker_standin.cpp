/// HTTP API of the stand-in worker: grants, releases, requests and the journal.
#include "worker_standin.hpp"

#include <eelgrassrail/grants/key_slice.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <iostream>
#include <span>
#include <tuple>

namespace eelgrassrail::test
{

namespace asio = boost::asio;

namespace
{

constexpr const char* attempt_id_field = "Eelgrassrail-Attempt-Id";
constexpr int max_waiting = 12;

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

boost::asio::awaitable<void> delay(asio::io_context& context, millis time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

http_limits make_limits(const worker_settings& settings)
{
    http_limits limits;
    limits.body_bytes = settings.max_body_bytes;
    return limits;
}

/// The first and the last key (inclusive) of a grant or release.
std::pair<std::uint32_t, std::uint32_t> range_of(const boost::json::object& body)
{
    return {body.at("from").to_number<std::uint32_t>(), body.at("to").to_number<std::uint32_t>()};
}

} // namespace

worker_standin::worker_standin(asio::io_context& context, worker_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_keys(key_count)
    , m_random(m_settings.seed)
    , m_listener(
          context.get_executor(), parse_tcp_address(m_settings.address), make_limits(m_settings),
          [this](http_call call, const auto&) { return answer(std::move(call)); },
          [this](request_defect) { return not_executed(400); })
{
    m_listener.start();
}

worker_standin::~worker_standin()
{
    hold_event event;
    event.kind = hold_kind::end;
    event.at_us = now_us();
    log_hold(std::move(event));
}

void worker_standin::log_hold(hold_event event)
{
    event.life = m_settings.id + "#" + std::to_string(m_settings.start_time_ms);
    if (m_settings.prints_runs)
        std::cout << to_line(event) << '\n' << std::flush;
    if (m_settings.holds != nullptr)
        m_settings.holds->push_back(std::move(event));
}

std::string worker_standin::registration(bool is_leaving) const
{
    const auto cold =
        std::max(std::chrono::duration_cast<millis>(m_cold_until - boot_clock::now()), millis(0));
    return boost::json::serialize(boost::json::object{
        {"service", m_settings.service},
        {"address", m_settings.advertised_address.empty() ? m_settings.address
                                                          : m_settings.advertised_address},
        {"zone", m_settings.zone},
        {"version", "v1"},
        {"slots", m_settings.slots},
        {"state", is_leaving ? "draining" : "ready"},
        {"cold_remaining", std::to_string(cold.count()) + "ms"},
        {"seq", 1},
        {"born", m_settings.start_time_ms}});
}

http_reply worker_standin::not_executed(unsigned status) const
{
    http_reply reply;
    reply.status = status;
    reply.fields.push_back({"Eelgrassrail-Not-Executed", "1"});
    reply.fields.push_back({"Eelgrassrail-Instance-Id", m_settings.id});
    return reply;
}

void worker_standin::turn_away(std::string retry_after, millis time)
{
    m_turned_away.clear();
    m_retry_after = std::move(retry_after);
    m_turns_away_until = boot_clock::now() + time;
}

void worker_standin::restart(std::uint64_t start_time_ms)
{
    hold_event event;
    event.kind = hold_kind::end;
    event.at_us = now_us();
    log_hold(std::move(event));
    m_settings.start_time_ms = start_time_ms;
    std::ranges::fill(m_keys, key_state{});
    m_leaving.clear();
}

bool worker_standin::turns_away() const
{
    constexpr std::size_t share = 3; // one of so many requests
    return boot_clock::now() < m_turns_away_until && m_requests.size() % share == 0;
}

http_reply worker_standin::make_turned_away(std::string attempt)
{
    m_turned_away.push_back({std::move(attempt), now_us()});
    if (m_settings.prints_runs)
        std::cout << "turned_away " << m_turned_away.back().attempt << ' '
                  << m_turned_away.back().at_us << ' ' << m_retry_after << '\n'
                  << std::flush;
    auto reply = not_executed(503);
    reply.fields.push_back({"Retry-After", m_retry_after});
    return reply;
}

/// Adds to an answer of any kind whether the worker is leaving.
asio::awaitable<http_reply> worker_standin::answer(http_call call)
{
    const std::string attempt(find_field(call.fields, attempt_id_field).value_or(""));
    auto reply = co_await serve(std::move(call));
    if (m_leaving.empty())
        co_return reply;
    reply.fields.push_back({"Server-Leaving", m_leaving});
    if (m_settings.prints_runs && m_leaving == "1" && !attempt.empty())
        std::cout << "said_leaving " << attempt << ' ' << now_us() << '\n' << std::flush;
    co_return reply;
}

asio::awaitable<http_reply> worker_standin::serve(http_call call)
{
    const auto path = path_of(call.target);
    // A worker of a service without keys knows no grants.
    if (!m_settings.is_sharded && path.starts_with("/api/"))
    {
        http_reply reply;
        reply.status = 400;
        co_return reply;
    }
    const auto expected = find_field(call.fields, "Eelgrassrail-Expect-Instance");
    if (expected && *expected != m_settings.id)
        co_return not_executed(421);
    if (path == "/journal")
    {
        http_reply reply;
        reply.body = boost::json::serialize(boost::json::value_from(m_journal));
        co_return reply;
    }
    if (path == "/api/grant")
        co_return co_await grant(call);
    if (path == "/api/release")
        co_return co_await release(call);
    if (path == "/limit")
    {
        set_rate_limit(query_value(call.target, "per_s").value_or(""));
        co_return http_reply{};
    }
    if (path == "/leaving")
    {
        set_leaving(query_value(call.target, "text").value_or(""));
        co_return http_reply{};
    }
    if (path == "/cold")
    {
        set_cold(millis(std::stoll(query_value(call.target, "ms").value_or("0"))));
        co_return http_reply{};
    }
    if (path == "/turn_away")
    {
        turn_away(query_value(call.target, "retry_after").value_or(""),
                  millis(std::stoll(query_value(call.target, "ms").value_or("0"))));
        co_return http_reply{};
    }
    co_return co_await serve_request(call);
}

void worker_standin::set_rate_limit(std::string text)
{
    m_rate_limit = std::move(text);
    if (m_settings.prints_runs)
        std::cout << "limit " << now_us() << ' ' << m_rate_limit << '\n' << std::flush;
}

asio::awaitable<http_reply> worker_standin::serve_request(const http_call& call)
{
    const auto arrived_us = now_us();
    m_arrivals.push_back(arrived_us);
    if (m_settings.prints_runs)
        std::cout << "arrival " << find_field(call.fields, attempt_id_field).value_or("-") << ' '
                  << m_arrivals.back() << '\n'
                  << std::flush;
    m_requests.push_back(
        {std::string(find_field(call.fields, attempt_id_field).value_or("")), m_arrivals.back()});
    while (boot_clock::now() < m_frozen_until)
        co_await delay(m_context, millis(5));
    http_reply reply;
    if (turns_away())
        reply = make_turned_away(m_requests.back().attempt);
    else
        reply = co_await run(call);
    constexpr unsigned other_worker_status = 421;
    if (reply.status != other_worker_status)
        m_accepted.push_back(arrived_us);
    const auto attempt = find_field(call.fields, attempt_id_field);
    if (attempt && !find_field(reply.fields, attempt_id_field)) // refusals bear it too
        reply.fields.push_back({attempt_id_field, std::string(*attempt)});
    if (!m_rate_limit.empty())
        reply.fields.push_back({"Server-Limit", m_rate_limit});
    co_return reply;
}

asio::awaitable<http_reply> worker_standin::grant(const http_call& call)
{
    const auto document = boost::json::parse(call.body);
    const auto& body = document.as_object();
    hold_event event;
    std::tie(event.first, event.last) = range_of(body);
    event.fence = body.at("fence").to_number<std::uint64_t>();
    event.arrived_us = now_us();
    const std::chrono::duration<double, std::milli> lease(
        std::stod(std::string(body.at("hold_time").as_string())) * (1.0 + m_settings.clock_lag));
    constexpr int percent = 100;
    event.was_late =
        m_settings.late_percent > 0 &&
        std::uniform_int_distribution<int>(0, percent - 1)(m_random) < m_settings.late_percent;
    const auto until = boot_clock::now() + std::chrono::duration_cast<boot_clock::duration>(lease);
    // The caller gives up before a late grant is taken, so it gets no answer.
    if (event.was_late)
        co_await delay(m_context, millis(m_settings.late_ms));
    event.at_us = now_us();
    http_reply reply;
    const std::span keys(m_keys.begin() + event.first, m_keys.begin() + event.last + 1);
    if (std::ranges::any_of(keys, [&](const key_state& it) { return it.fence > event.fence; }))
    {
        event.kind = hold_kind::refusal;
        log_hold(std::move(event));
        reply.status = 409;
        co_return reply;
    }
    const auto now = boot_clock::now();
    event.kind =
        std::ranges::all_of(keys, [&](const key_state& it) { return it.lease_until > now; })
            ? hold_kind::renewal
            : hold_kind::grant;
    event.until_us = until.time_since_epoch().count();
    std::ranges::fill(keys, key_state{event.fence, until});
    log_hold(std::move(event));
    co_return reply;
}

asio::awaitable<http_reply> worker_standin::release(const http_call& call)
{
    const auto document = boost::json::parse(call.body);
    const auto& body = document.as_object();
    hold_event event;
    event.kind = hold_kind::release;
    std::tie(event.first, event.last) = range_of(body);
    event.fence = body.at("fence").to_number<std::uint64_t>();
    event.arrived_us = event.at_us = now_us();
    for (auto key = event.first; key <= event.last; ++key)
        m_keys[key] = {std::max(m_keys[key].fence, event.fence), {}};
    log_hold(event);
    const auto is_busy = [&]
    { return m_running.lower_bound(event.first) != m_running.upper_bound(event.last); };
    while (is_busy())
        co_await delay(m_context, millis(2));
    event.kind = hold_kind::released;
    event.at_us = now_us();
    log_hold(event);
    http_reply reply;
    reply.fields.push_back({"Eelgrassrail-Handover", "handed-over"});
    co_return reply;
}

asio::awaitable<http_reply> worker_standin::run(const http_call& call)
{
    const auto attempt = find_field(call.fields, attempt_id_field);
    if (!attempt)
        co_return not_executed(400);
    const auto key_text = find_field(call.fields, "Eelgrassrail-Shard-Key");
    const auto key = key_text ? static_cast<std::uint32_t>(std::stoul(std::string(*key_text))) : 0;
    if (m_waiting >= max_waiting)
        co_return not_executed(503);
    ++m_waiting;
    while (m_busy >= m_settings.slots)
        co_await delay(m_context, millis(1));
    --m_waiting;
    if (m_settings.is_sharded && m_keys.at(key).lease_until <= boot_clock::now())
        co_return not_executed(421);
    ++m_busy;
    const auto running = m_running.emplace(key, 0);
    const auto index = m_journal.size();
    m_journal.push_back({std::string(*attempt), key, m_keys[key].fence, now_us(), 0});
    if (m_settings.prints_runs)
        std::cout << "begin " << *attempt << ' ' << key << ' ' << m_journal[index].fence << ' '
                  << m_journal[index].began_us << '\n'
                  << std::flush;
    const auto run_ms = query_value(call.target, "run_ms"); // of this request only
    const int cold_factor = boot_clock::now() < m_cold_until ? 2 : 1;
    co_await delay(m_context,
                   millis(cold_factor * (run_ms ? std::stoi(*run_ms) : m_settings.run_ms)));
    m_journal[index].ended_us = now_us();
    if (m_settings.prints_runs)
        std::cout << "end " << *attempt << ' ' << m_journal[index].ended_us << '\n' << std::flush;
    m_running.erase(running);
    --m_busy;
    http_reply reply;
    reply.fields.push_back({attempt_id_field, std::string(*attempt)});
    reply.fields.push_back({"Eelgrassrail-Server-Signature", m_settings.id});
    reply.body =
        "answer to " + std::string(*attempt) + " " + (m_settings.echoes_body ? call.body : "");
    co_return reply;
}

} // namespace eelgrassrail::test
