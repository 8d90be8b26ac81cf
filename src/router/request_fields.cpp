/// Header fields of requests and answers.
#include "request_fields.hpp"

#include <eelgrassrail/http/body_blocks.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <memory>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// Deadline of a caller that sends none.
constexpr millis default_deadline{10'000};

/// Hop-by-hop fields; Content-Length is set anew for each connection.
constexpr std::array<std::string_view, 10> connection_fields{"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Connection",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Content-Length"};

bool is_connection_field(std::string_view name)
{
    return std::ranges::any_of(connection_fields, [name](std::string_view field)
                               { return boost::iequals(field, name); });
}

/// Whether a Connection field lists another field as hop-by-hop.
bool is_named_by(std::string_view connection, std::string_view name)
{
    return !connection.empty() && boost::icontains(connection, name);
}

template <class Number>
std::optional<Number> read_number(std::string_view text)
{
    Number number{};
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

std::string_view host_of(const http_call& call)
{
    auto host = find_field(call.fields, "Host").value_or("");
    return host.substr(0, host.find(':'));
}

std::uint64_t fingerprint_of(const http_call& call)
{
    const auto add = [](std::uint64_t seed, const std::string& text)
    { return XXH64(text.data(), text.size(), seed); };
    auto hash = add(add(add(0, call.method), call.target), call.body);
    if (!call.large_body)
        return hash;
    // Blocks of other lengths must not change the hash of the same body.
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(),
                                                                           &XXH64_freeState);
    XXH64_reset(state.get(), hash);
    for (const auto& block : call.large_body->buffers())
        XXH64_update(state.get(), block.data(), block.size());
    return XXH64_digest(state.get());
}

} // namespace

std::string_view name_of(reply_kind kind) noexcept
{
    constexpr std::array<std::string_view, 6> names{"answer",   "not_executed", "wrong_owner",
                                                    "not_sent", "lost",         "invalid"};
    return names.at(static_cast<std::size_t>(kind));
}

error_kind parse_request(routed_request& request, const router_state& state)
{
    const auto& call = request.call;
    request.attempt_id = find_field(call.fields, state.format.attempt_id).value_or("");
    if (!state.can_serve())
        return error_kind::no_routes;
    request.table = state.routes;
    request.matched_route = request.table->find(host_of(call), path_of(call.target));
    if (request.matched_route == nullptr)
        return state.is_fresh(request.arrived) ? error_kind::unknown_route : error_kind::no_routes;
    auto wait = default_deadline;
    if (const auto text = find_field(call.fields, state.format.deadline))
    {
        const auto number = read_number<std::uint32_t>(*text);
        if (!number)
            return error_kind::invalid_deadline;
        wait = millis(*number);
    }
    request.caller_deadline = request.arrived + wait;
    request.deadline =
        std::min(request.caller_deadline, request.arrived + request.matched_route->timeout);
    if (const auto text = find_field(call.fields, state.format.key))
        request.key = read_number<std::uint32_t>(*text);
    if (request.key && *request.key >= key_count)
        request.key.reset();
    request.fingerprint = fingerprint_of(call);
    return error_kind::none;
}

reply_owner owner_of(const routed_request& request, const wire_format& format,
                     const http_reply& reply)
{
    const auto id = find_field(reply.fields, format.attempt_id);
    // Workers do not run a request without an id, so none of their replies can be wrong for it.
    if (!id)
        return request.attempt_id.empty() ? reply_owner::named : reply_owner::unnamed;
    return *id == request.attempt_id ? reply_owner::named : reply_owner::other;
}

reply_kind classify(const routed_request& request, const wire_format& format,
                    const http_exchange& exchange)
{
    constexpr unsigned first_error_status = 400;
    if (exchange.result == exchange_result::not_written)
        return reply_kind::not_sent;
    if (exchange.result == exchange_result::lost)
        return reply_kind::lost;
    if (exchange.result == exchange_result::invalid)
        return reply_kind::invalid;
    const auto& reply = exchange.reply;
    if (owner_of(request, format, reply) == reply_owner::other)
        return reply_kind::invalid;
    if (reply.status == other_worker_status)
        return reply_kind::wrong_owner;
    if (find_field(reply.fields, format.not_executed))
        return reply_kind::not_executed;
    const bool is_signed = find_field(reply.fields, format.worker_signature).has_value();
    const bool is_encoded = find_field(reply.fields, "Content-Encoding").has_value();
    const bool has_id = find_field(reply.fields, format.attempt_id) == request.attempt_id;
    if (reply.status < first_error_status && (!is_signed || !has_id || is_encoded))
        return reply_kind::invalid;
    return has_id || is_signed ? reply_kind::answer : reply_kind::invalid;
}

http_call make_worker_call(const routed_request& request, const wire_format& format,
                           const std::string& worker, instant now)
{
    http_call call;
    call.method = request.call.method;
    call.target = request.call.target;
    call.body = request.call.body;
    call.large_body = request.call.large_body;
    const auto connection = find_field(request.call.fields, "Connection").value_or("");
    for (const auto& field : request.call.fields)
    {
        const bool is_own = boost::iequals(field.name, format.deadline) ||
                            boost::iequals(field.name, format.expected_worker);
        if (!is_own && !is_connection_field(field.name) && !is_named_by(connection, field.name))
            call.fields.push_back(field);
    }
    const auto left = std::chrono::duration_cast<millis>(request.deadline - now);
    call.fields.push_back(
        {format.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1))});
    call.fields.push_back({format.expected_worker, worker});
    return call;
}

http_reply make_caller_reply(http_reply reply)
{
    std::erase_if(reply.fields,
                  [](const header_field& field) { return is_connection_field(field.name); });
    return reply;
}

http_reply make_refusal(error_kind kind, double wait_ms)
{
    constexpr double ms_in_s = 1'000.0;
    const auto& row = describe(kind);
    http_reply reply;
    reply.status = row.status;
    reply.fields.push_back({"Error-Kind", std::string(name_of(kind))});
    if (wait_ms > 0 && row.result == outcome::not_run)
    {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3f", wait_ms / ms_in_s);
        reply.fields.push_back({"Retry-After", text.data()});
    }
    reply.body = std::string(row.text) + "\n";
    return reply;
}

asio::awaitable<bool> is_connection_refused(asio::any_io_executor executor, std::string address,
                                            millis timeout)
{
    boost::beast::tcp_stream stream(executor);
    boost::system::error_code ec;
    stream.expires_after(timeout);
    co_await stream.async_connect(parse_tcp_address(address),
                                  asio::redirect_error(asio::use_awaitable, ec));
    co_return ec == asio::error::connection_refused;
}

} // namespace eelgrassrail
