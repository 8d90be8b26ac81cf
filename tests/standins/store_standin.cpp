/// HTTP API of the stand-in store: appends, reads, newest records and faults.
#include "store_standin.hpp"

#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>

namespace eelgrassrail::test
{

namespace asio = boost::asio;

namespace
{

std::string big_endian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int n = bytes - 1; n >= 0; --n)
        text.push_back(static_cast<char>(number >> (8 * n)));
    return text;
}

std::uint64_t number_of(const http_call& call, std::string_view name, std::uint64_t fallback)
{
    const auto value = query_value(call.target, name);
    return value ? std::stoull(*value) : fallback;
}

std::string base64(const std::string& text)
{
    namespace codec = boost::beast::detail::base64;
    std::string result(codec::encoded_size(text.size()), '\0');
    result.resize(codec::encode(result.data(), text.data(), text.size()));
    return result;
}

http_reply status_only(unsigned status)
{
    http_reply reply;
    reply.status = status;
    return reply;
}

} // namespace

store_standin::store_standin(asio::io_context& context, const std::string& address)
    : m_context(context)
    , m_listener(
          context.get_executor(), parse_tcp_address(address), {},
          [this](http_call call, const auto&) { return serve(std::move(call)); },
          [](request_defect) { return status_only(400); })
{
    m_listener.start();
}

void store_standin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    auto& state = m_topics[topic];
    state.records.push_back({key, value, boot_clock::now()});
    state.note_newest(state.end() - 1);
}

void store_standin::topic_state::note_newest(std::uint64_t offset)
{
    const auto& item = records[offset];
    if (item.value.empty())
        newest.erase(item.key);
    else
        newest[item.key] = {offset, item.value};
}

void store_standin::restore(millis age, millis away)
{
    const auto now = boot_clock::now();
    for (auto& [topic, state] : m_topics)
    {
        std::erase_if(state.records,
                      [copied = now - age](const record& item) { return item.put_at > copied; });
        state.first = std::min(state.first, state.end());
        state.newest.clear();
        for (std::uint64_t offset = 0; offset < state.end(); ++offset)
            state.note_newest(offset);
    }
    ++m_era;
    m_away_until = now + away;
}

void store_standin::compact(const std::string& topic)
{
    auto& state = m_topics[topic];
    state.first = state.end();
}

asio::awaitable<void> store_standin::delay(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

bool store_standin::take(rate_bucket& bucket, int per_s)
{
    if (per_s == 0)
        return true;
    const auto now = boot_clock::now();
    const std::chrono::duration<double> elapsed(now - bucket.refilled_at);
    bucket.tokens = std::min<double>(per_s, bucket.tokens + elapsed.count() * per_s);
    bucket.refilled_at = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

bool store_standin::happens(int percent)
{
    return percent > 0 && std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
}

void store_standin::set_faults(const http_call& call)
{
    const auto number = [&](std::string_view name)
    { return static_cast<int>(number_of(call, name, 0)); };
    faults = {number("turn_away"),    number("lose_answers"), number("slow_ms"),
              number("random_ms"),    number("writes_per_s"), number("reads_per_s"),
              number("append_ms"),    number("lost_before"),  number("lost_after"),
              number("late_percent"), number("late_ms")};
}

void store_standin::lapse(const std::string& id, millis time)
{
    m_lapsed_until[id] = boot_clock::now() + time;
    put("keyed.servers", id, "");
}

asio::awaitable<http_reply> store_standin::serve(http_call call)
{
    const auto path = path_of(call.target);
    if (path == "/faults")
        set_faults(call);
    else if (path == "/compact")
        compact(query_value(call.target, "topic").value_or(""));
    else if (path == "/lapse")
        lapse(query_value(call.target, "key").value_or(""), millis(number_of(call, "ms", 0)));
    else if (path == "/restore")
        restore(millis(number_of(call, "age_ms", 0)), millis(number_of(call, "away_ms", 0)));
    else if (path == "/record")
        co_return newest_of_key(call);
    else
    {
        ++calls;
        co_return co_await serve_in_era(std::move(call));
    }
    co_return status_only(200);
}

/// Calls that a restore interrupts are answered 503.
asio::awaitable<http_reply> store_standin::serve_in_era(http_call call)
{
    const auto era = m_era;
    http_reply reply = status_only(503);
    if (boot_clock::now() >= m_away_until)
        reply = co_await serve_node(std::move(call));
    if (m_era != era)
        reply = status_only(503);
    if (m_era > 0)
        reply.fields.push_back({"Store-Era", std::to_string(m_era)});
    co_return reply;
}

asio::awaitable<http_reply> store_standin::serve_node(http_call call)
{
    const auto path = path_of(call.target);
    const bool is_append = path == "/api/log-append";
    const auto topic = query_value(call.target, "topic").value_or("");
    const bool is_foreign = is_append && (topic == "keyed.servers" || topic == "keyed.op");
    if (faults.slow_ms > 0)
        co_await delay(millis(faults.slow_ms));
    if (faults.reject_status != 0)
        co_return status_only(static_cast<unsigned>(faults.reject_status));
    if (is_foreign)
        co_return append(call);
    if (!take(is_append ? m_writes : m_reads, is_append ? faults.writes_per_s : faults.reads_per_s))
        co_return status_only(429);
    const millis slow(faults.random_ms > 0
                          ? std::uniform_int_distribution<int>(0, faults.random_ms)(m_random)
                          : 0);
    const bool is_slow_before = faults.random_ms > 0 && happens(50);
    if (is_slow_before)
        co_await delay(slow);
    http_reply reply = status_only(404);
    if (path == "/api/log-read")
        reply = co_await read(call);
    else if (path == "/api/log-newest")
        reply = newest(call);
    else if (is_append)
        reply = co_await append_in_turn(std::move(call));
    if (faults.random_ms > 0 && !is_slow_before)
        co_await delay(slow);
    co_return reply;
}

/// Executes an append after those that wait in the same topic, with the faults of appends.
asio::awaitable<http_reply> store_standin::append_in_turn(http_call call)
{
    constexpr millis max_wait{2'000};
    constexpr millis lost_answer_time{30'000}; // the caller has closed the connection by then
    const bool is_lost_before = happens(faults.lost_before_percent);
    const bool is_lost_after = happens(faults.lost_after_percent);
    const bool is_late = happens(faults.late_percent);
    if (is_lost_before && !is_late)
    {
        co_await delay(lost_answer_time);
        co_return status_only(503);
    }
    if (is_late)
        co_await delay(millis(std::uniform_int_distribution<int>(0, faults.late_ms)(m_random)));
    if (faults.append_ms > 0)
    {
        auto& free_at = m_topics[query_value(call.target, "topic").value_or("")].free_at;
        const auto now = boot_clock::now();
        if (free_at > now + max_wait)
            co_return status_only(503);
        free_at = std::max(free_at, now) + millis(faults.append_ms);
        co_await delay(std::chrono::ceil<millis>(free_at - now));
    }
    auto reply = append(call);
    // Of each 100 appends the first ones lose their answers: no randomness, so that runs are
    // reproducible.
    if (faults.lost_answer_percent > 0 &&
        m_lossy_appends++ % 100 < static_cast<unsigned>(faults.lost_answer_percent))
        reply = status_only(504);
    if (is_lost_after || is_late)
        co_await delay(lost_answer_time);
    co_return reply;
}

asio::awaitable<http_reply> store_standin::read(const http_call& call)
{
    const auto topic = query_value(call.target, "topic").value_or("");
    const auto from = number_of(call, "from", 0);
    const auto until = boot_clock::now() + millis(number_of(call, "wait_ms", 0));
    constexpr millis poll_interval{10};
    const auto era = m_era;
    while (m_topics[topic].end() <= from && boot_clock::now() < until && m_era == era)
    {
        if (era > 0 && m_topics[topic].end() < from)
            co_return status_only(410);
        asio::steady_timer timer(m_context, poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto& state = m_topics[topic];
    if (from < state.first || (era > 0 && from > state.end()))
        co_return status_only(410);
    http_reply reply;
    reply.body = big_endian(state.end(), 8) + big_endian(state.first, 8);
    for (auto offset = from; offset < state.end(); ++offset)
    {
        const auto& item = state.records[offset];
        reply.body += big_endian(1 + item.key.size() + item.value.size(), 4);
        reply.body.push_back(static_cast<char>(item.key.size()));
        reply.body += item.key + item.value;
    }
    co_return reply;
}

http_reply store_standin::newest_of_key(const http_call& call)
{
    const auto& items = m_topics[query_value(call.target, "topic").value_or("")].newest;
    const auto it = items.find(query_value(call.target, "key").value_or(""));
    http_reply reply = status_only(it == items.end() ? 404 : 200);
    if (it != items.end())
        reply.body = it->second.second;
    return reply;
}

http_reply store_standin::newest(const http_call& call)
{
    const auto& state = m_topics[query_value(call.target, "topic").value_or("")];
    boost::json::array items;
    for (const auto& [key, value] : state.newest)
        items.push_back({{"key", key}, {"value", base64(value.second)}, {"offset", value.first}});
    http_reply reply;
    reply.body = boost::json::serialize(
        boost::json::object{{"items", items}, {"has_more", false}, {"end_offset", state.end()}});
    return reply;
}

/// An entry of a worker becomes a record only if it differs from the last one and has not lapsed.
bool store_standin::is_news(const std::string& id, const std::string& value)
{
    const auto& newest = m_topics["keyed.servers"].newest;
    const auto it = newest.find(id);
    return boot_clock::now() >= m_lapsed_until[id] &&
           (it == newest.end() || it->second.second != value);
}

http_reply store_standin::append(const http_call& call)
{
    const auto topic = query_value(call.target, "topic").value_or("");
    auto& state = m_topics[topic];
    if (number_of(call, "at", state.end()) != state.end())
        return status_only(412);
    const auto& body = call.body;
    for (std::size_t at = 0; at + 5 <= body.size();)
    {
        std::size_t length = 0;
        for (std::size_t n = 0; n < 4; ++n)
            length = length << 8U | static_cast<unsigned char>(body[at + n]);
        const auto key_length = static_cast<unsigned char>(body[at + 4]);
        if (length < 1UL + key_length || at + 4 + length > body.size())
            return status_only(400);
        const auto key = body.substr(at + 5, key_length);
        const auto value = body.substr(at + 5 + key_length, length - 1 - key_length);
        at += 4 + length;
        if (topic == "keyed.servers" && !is_news(key, value))
            continue;
        put(topic, key, value);
    }
    return status_only(200);
}

} // namespace eelgrassrail::test
