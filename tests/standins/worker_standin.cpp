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

#include <iostream>

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
    , m_listener(
          context.get_executor(), parse_tcp_address(m_settings.address), {},
          [this](http_call call, const auto&) { return serve(std::move(call)); },
          [this](bool, bool) { return not_executed(400); })
{
    m_listener.start();
}

std::string worker_standin::registration(bool is_leaving) const
{
    return boost::json::serialize(boost::json::object{
        {"service", m_settings.service},
        {"address", m_settings.advertised_address.empty() ? m_settings.address
                                                          : m_settings.advertised_address},
        {"zone", m_settings.zone},
        {"version", "v1"},
        {"slots", m_settings.slots},
        {"state", is_leaving ? "draining" : "ready"},
        {"cold_remaining", "0ms"},
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

asio::awaitable<http_reply> worker_standin::serve(http_call call)
{
    const auto path = path_of(call.target);
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
        co_return grant(call);
    if (path == "/api/release")
        co_return co_await release(call);
    if (path == "/limit")
    {
        set_rate_limit(query_value(call.target, "per_s").value_or(""));
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
    m_arrivals.push_back(now_us());
    if (m_settings.prints_runs)
        std::cout << "arrival " << find_field(call.fields, attempt_id_field).value_or("-") << ' '
                  << m_arrivals.back() << '\n'
                  << std::flush;
    auto reply = co_await run(call);
    const auto attempt = find_field(call.fields, attempt_id_field);
    if (attempt && !find_field(reply.fields, attempt_id_field)) // refusals bear it too
        reply.fields.push_back({attempt_id_field, std::string(*attempt)});
    if (!m_rate_limit.empty())
        reply.fields.push_back({"Server-Limit", m_rate_limit});
    co_return reply;
}

http_reply worker_standin::grant(const http_call& call)
{
    const auto document = boost::json::parse(call.body);
    const auto& body = document.as_object();
    const auto [first, last] = range_of(body);
    const auto fence = body.at("fence").to_number<std::uint64_t>();
    const auto lease = millis(std::stoll(std::string(body.at("hold_time").as_string())));
    http_reply reply;
    for (auto key = first; key <= last; ++key)
        if (m_keys[key].fence > fence)
        {
            reply.status = 409;
            return reply;
        }
    for (auto key = first; key <= last; ++key)
        m_keys[key] = {fence, boot_clock::now() + lease};
    return reply;
}

asio::awaitable<http_reply> worker_standin::release(const http_call& call)
{
    const auto document = boost::json::parse(call.body);
    const auto& body = document.as_object();
    const auto range = range_of(body);
    const auto first = range.first;
    const auto last = range.second;
    const auto fence = body.at("fence").to_number<std::uint64_t>();
    for (auto key = first; key <= last; ++key)
        m_keys[key] = {std::max(m_keys[key].fence, fence), {}};
    const auto is_busy = [&]
    { return m_running.lower_bound(first) != m_running.upper_bound(last); };
    while (is_busy())
        co_await delay(m_context, millis(2));
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
    co_await delay(m_context, millis(run_ms ? std::stoi(*run_ms) : m_settings.run_ms));
    m_journal[index].ended_us = now_us();
    if (m_settings.prints_runs)
        std::cout << "end " << *attempt << ' ' << m_journal[index].ended_us << '\n' << std::flush;
    m_running.erase(running);
    --m_busy;
    http_reply reply;
    reply.fields.push_back({attempt_id_field, std::string(*attempt)});
    reply.fields.push_back({"Eelgrassrail-Server-Signature", m_settings.id});
    reply.body = "answer to " + std::string(*attempt) + " " + call.body;
    co_return reply;
}

} // namespace eelgrassrail::test
