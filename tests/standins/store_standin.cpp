/// HTTP API of the stand-in store: appends, reads, newest records and faults.
#include "store_standin.hpp"

#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

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
          [](bool, bool) { return status_only(400); })
{
    m_listener.start();
}

void store_standin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    auto& state = m_topics[topic];
    if (value.empty())
        state.newest.erase(key);
    else
        state.newest[key] = {state.end(), value};
    state.records.push_back({key, value});
}

void store_standin::compact(const std::string& topic)
{
    auto& state = m_topics[topic];
    state.first = state.end();
    state.records.clear();
}

asio::awaitable<http_reply> store_standin::serve(http_call call)
{
    const auto path = path_of(call.target);
    if (path == "/faults")
    {
        faults.reject_status = static_cast<int>(number_of(call, "turn_away", 0));
        faults.lost_answer_percent = static_cast<int>(number_of(call, "lose_answers", 0));
        faults.slow_ms = static_cast<int>(number_of(call, "slow_ms", 0));
        co_return status_only(200);
    }
    ++calls;
    if (faults.slow_ms > 0)
    {
        asio::steady_timer timer(m_context, millis(faults.slow_ms));
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (faults.reject_status != 0)
        co_return status_only(static_cast<unsigned>(faults.reject_status));
    if (path == "/api/log-read")
        co_return co_await read(call);
    if (path == "/api/log-newest")
        co_return newest(call);
    auto reply = path == "/api/log-append" ? append(call) : status_only(404);
    // Of each 100 appends the first ones lose their answers: no randomness, so that runs are
    // reproducible.
    if (faults.lost_answer_percent > 0 &&
        m_lossy_appends++ % 100 < static_cast<unsigned>(faults.lost_answer_percent))
        reply = status_only(504);
    co_return reply;
}

asio::awaitable<http_reply> store_standin::read(const http_call& call)
{
    const auto topic = query_value(call.target, "topic").value_or("");
    const auto from = number_of(call, "from", 0);
    const auto until = boot_clock::now() + millis(number_of(call, "wait_ms", 0));
    constexpr millis poll_interval{10};
    while (m_topics[topic].end() <= from && boot_clock::now() < until)
    {
        asio::steady_timer timer(m_context, poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto& state = m_topics[topic];
    if (from < state.first)
        co_return status_only(410);
    http_reply reply;
    reply.body = big_endian(state.end(), 8) + big_endian(state.first, 8);
    for (auto offset = from; offset < state.end(); ++offset)
    {
        const auto& item = state.records[offset - state.first];
        reply.body += big_endian(1 + item.key.size() + item.value.size(), 4);
        reply.body.push_back(static_cast<char>(item.key.size()));
        reply.body += item.key + item.value;
    }
    co_return reply;
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
        put(topic, body.substr(at + 5, key_length),
            body.substr(at + 5 + key_length, length - 1 - key_length));
        at += 4 + length;
    }
    return status_only(200);
}

} // namespace eelgrassrail::test
