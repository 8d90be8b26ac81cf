/// Parsing and validation of a caller's request, and the HTTP reply for an answer.
#include <eelgrassrail/entry/frontend.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace eelgrassrail
{
namespace
{

constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_field_bytes = 128;
constexpr std::uint32_t default_deadline_ms = 5'000;
constexpr std::uint32_t max_deadline_ms = 60'000;
constexpr std::string_view path_prefix = "/v1/";
constexpr std::array<std::string_view, 5> methods{"GET", "HEAD", "PUT", "POST", "DELETE"};

/// Thrown within this file to end the validation with a refusal.
struct rejected
{
    answer reason;
};

[[noreturn]] void reject(error_kind kind, std::string detail = {})
{
    throw rejected{refusal(kind, std::move(detail))};
}

std::uint32_t read_number(std::string_view text, error_kind kind, std::uint32_t low,
                          std::uint32_t high, const std::string& detail)
{
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number < low ||
        number > high)
        reject(kind, detail);
    return number;
}

std::string read_text(const http_call& call, std::string_view name, error_kind too_long)
{
    const auto field = find_field(call.fields, name);
    if (!field)
        return {};
    if (field->size() > max_field_bytes)
        reject(too_long, std::string(name) + " is longer than 128 bytes");
    if (!is_clean_utf8(*field))
        reject(error_kind::invalid_encoding, std::string(name));
    return std::string(*field);
}

/// Splits `/v1/SERVICE/KEY/REST` into service and key; the target keeps `/KEY/REST`.
void read_path(const http_call& call, request& value)
{
    const auto path = path_of(call.target);
    const auto name_end = path.find('/', path_prefix.size());
    value.service = std::string(path.substr(path_prefix.size(), name_end - path_prefix.size()));
    if (name_end == std::string_view::npos || name_end + 1 >= path.size())
        reject(error_kind::missing_key);
    const auto rest = path.substr(name_end + 1);
    const auto key = percent_decode(rest.substr(0, rest.find('/')));
    if (!key || !is_clean_utf8(*key))
        reject(error_kind::invalid_encoding, "the key");
    if (key->empty())
        reject(error_kind::missing_key);
    if (key->size() > max_key_bytes)
        reject(error_kind::key_too_long);
    value.key = *key;
    value.target = call.target.substr(name_end);
}

request read_checked(const http_call& call, const deployment_state& state)
{
    request value;
    if (std::ranges::find(methods, call.method) == methods.end())
        reject(error_kind::unsupported_method);
    if (!call.target.starts_with(path_prefix))
        reject(error_kind::unknown_service);
    read_path(call, value);
    const auto* service = find_service(state, value.service);
    if (service == nullptr)
        reject(error_kind::unknown_service);
    value.tenant = read_text(call, "Tenant", error_kind::missing_tenant);
    if (value.tenant.empty())
        reject(error_kind::missing_tenant);
    value.request_class = read_text(call, "Request-Class", error_kind::unknown_class);
    if (value.request_class.empty())
        value.request_class = service->spec.classes.front().name;
    const auto* spec = find_class(service->spec, value.request_class);
    if (spec == nullptr)
        reject(error_kind::unknown_class);
    value.idempotency_key = read_text(call, "Idempotency-Key", error_kind::missing_idempotency_key);
    if (!spec->idempotent && value.idempotency_key.empty())
        reject(error_kind::missing_idempotency_key);
    if (spec->idempotent)
        value.idempotency_key.clear();
    if (const auto attempt = find_field(call.fields, "Request-Attempt"))
        value.attempt = read_number(*attempt, error_kind::malformed_request, 1, UINT32_MAX,
                                    "Request-Attempt must be 1 or more");
    const auto deadline = find_field(call.fields, "Deadline-Ms");
    value.budget_ms =
        deadline ? read_number(*deadline, error_kind::invalid_deadline, 1, max_deadline_ms, {})
                 : default_deadline_ms;
    value.method = call.method;
    value.content_type = std::string(find_field(call.fields, "Content-Type").value_or(""));
    value.body = call.body;
    return value;
}

std::string refusal_body(const answer& value)
{
    const auto& row = describe(value.kind);
    boost::json::object body;
    body["outcome"] = name_of(row.result);
    body["kind"] = name_of(value.kind);
    body["text"] = row.text;
    if (!value.detail.empty())
        body["detail"] = value.detail;
    body["may_resend"] = row.may_resend;
    return boost::json::serialize(body) + "\n";
}

} // namespace

std::variant<request, answer> read_request(const http_call& call, const deployment_state& state)
{
    try
    {
        return read_checked(call, state);
    }
    catch (rejected& e)
    {
        return std::move(e.reason);
    }
}

http_reply to_reply(const answer& value)
{
    const auto& row = describe(value.kind);
    http_reply reply;
    reply.status = value.kind == error_kind::none ? value.status : row.status;
    reply.fields.push_back({"Outcome", std::string(name_of(row.result))});
    if (!value.server.empty())
        reply.fields.push_back({"Owner", value.server});
    if (value.replayed)
        reply.fields.push_back({"Replayed", "true"});
    if (value.kind == error_kind::none)
    {
        if (!value.content_type.empty())
            reply.fields.push_back({"Content-Type", value.content_type});
        reply.body = value.body;
        return reply;
    }
    reply.fields.push_back({"Error-Kind", std::string(name_of(value.kind))});
    reply.fields.push_back({"Content-Type", "application/json"});
    reply.body = refusal_body(value);
    return reply;
}

} // namespace eelgrassrail
