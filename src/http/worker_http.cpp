/// HTTP calls to a backend server.
#include <eelgrassrail/http/worker_http.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis control_timeout{200};
constexpr std::size_t control_connections = 2;
constexpr unsigned status_ok = 200;

std::string to_text(const fencing_token& token)
{
    return std::to_string(token.epoch) + "." + std::to_string(token.counter);
}

http_call to_call(const request& value, const start_command& command, instant now)
{
    const auto left = std::chrono::duration_cast<millis>(command.run_until - now);
    http_call call{value.method, value.target, {}, value.body};
    call.fields = {
        {"Key", percent_encode(value.key)},         {"Tenant", percent_encode(value.tenant)},
        {"Request-Id", std::to_string(command.id)}, {"Slice", std::to_string(command.slice)},
        {"Fencing-Token", to_text(command.token)},  {"Deadline-Ms", std::to_string(left.count())}};
    if (!value.idempotency_key.empty())
        call.fields.push_back({"Idempotency-Key", percent_encode(value.idempotency_key)});
    if (!value.content_type.empty())
        call.fields.push_back({"Content-Type", value.content_type});
    return call;
}

http_call to_call(const grant_command& command)
{
    boost::json::object body;
    body["epoch"] = command.token.epoch;
    body["counter"] = command.token.counter;
    body["length_ms"] = command.length.count();
    body["slices"] = boost::json::value_from(command.slices);
    return {"PUT",
            "/eelgrassrail/grant",
            {{"Content-Type", "application/json"}},
            boost::json::serialize(body)};
}

http_call probe_call()
{
    return {"GET", "/healthz", {}, {}};
}

bool is_true(const http_reply& reply, std::string_view name)
{
    return find_field(reply.fields, name) == "true";
}

} // namespace

worker_http::worker_http(const asio::any_io_executor& executor, std::string id,
                         const std::string& address, std::size_t connections)
    : m_id(std::move(id))
    , m_client(executor, address, connections)
    , m_control(executor, address, control_connections)
{
}

asio::awaitable<run_result> worker_http::run(const request& value, const start_command& command,
                                             std::function<bool()> may_write)
{
    auto result = co_await m_client.exchange(to_call(value, command, boot_clock::now()),
                                             command.run_until, std::move(may_write), command.id);
    switch (result.result)
    {
    case exchange_result::not_written:
        co_return result.cancelled ? run_failure::refused_before_run : run_failure::not_written;
    case exchange_result::lost:
        co_return run_failure::lost_after_write;
    case exchange_result::invalid:
        co_return run_failure::invalid_answer;
    case exchange_result::complete:
        break;
    }
    if (is_true(result.reply, "Draining"))
        co_return run_failure::draining;
    if (is_true(result.reply, "Not-Run"))
        co_return run_failure::refused_before_run;
    const auto echoed = find_field(result.reply.fields, "Request-Id");
    if (echoed && *echoed != std::to_string(command.id))
        co_return run_failure::invalid_answer;
    answer received;
    received.status = result.reply.status;
    received.content_type = find_field(result.reply.fields, "Content-Type").value_or("");
    received.body = std::move(result.reply.body);
    received.server = m_id;
    co_return received;
}

asio::awaitable<bool> worker_http::grant(const grant_command& command)
{
    const auto result =
        co_await m_control.exchange(to_call(command), boot_clock::now() + control_timeout);
    co_return result.result == exchange_result::complete&& result.reply.status == status_ok;
}

asio::awaitable<probe_result> worker_http::probe()
{
    const auto result =
        co_await m_control.exchange(probe_call(), boot_clock::now() + control_timeout);
    if (result.result == exchange_result::complete)
        co_return is_true(result.reply, "Draining") ? probe_result::draining : probe_result::alive;
    co_return result.refused ? probe_result::refused : probe_result::timeout;
}

} // namespace eelgrassrail
