/// A caller's request and its answer in the form exchanged between entry processes.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// A caller's request with validated header fields.
struct request
{
    std::string service;
    std::string request_class;
    std::string tenant;
    std::string key;
    std::string method;
    std::string target; ///< path and query for the backend server, without `/v1/SERVICE`
    std::string content_type;
    std::string body;
    std::string idempotency_key; ///< empty for idempotent classes
    std::uint32_t attempt{};     ///< value of the `Request-Attempt` header; 0 if absent
    std::uint32_t budget_ms{};   ///< time left until the caller's deadline, in ms
};
BOOST_DESCRIBE_STRUCT(request, (),
                      (service, request_class, tenant, key, method, target, content_type, body,
                       idempotency_key, attempt, budget_ms))

/// Answer to a caller.
struct answer
{
    error_kind kind{error_kind::none};
    std::uint32_t status{}; ///< HTTP status of the backend server, or of `kind` if not none
    std::string content_type;
    std::string body;
    std::string server; ///< id of the backend server; empty if there is none
    std::string detail; ///< adds to the message of the error kind; may be empty
    bool replayed{};    ///< answer of an earlier attempt with the same Idempotency-Key

    bool operator==(const answer&) const = default;
};
BOOST_DESCRIBE_STRUCT(answer, (), (kind, status, content_type, body, server, detail, replayed))

/// @brief Makes an answer that reports an error kind, with the HTTP status of that kind.
[[nodiscard]] inline answer refusal(error_kind kind, std::string detail = {})
{
    answer result;
    result.kind = kind;
    result.status = describe(kind).status;
    result.detail = std::move(detail);
    return result;
}

/// @brief Hash of a request's service, tenant, method, target and body. All attempts of a request
///        share it: it excludes the Idempotency-Key, the attempt number and the deadline.
[[nodiscard]] std::uint64_t fingerprint(const request& value) noexcept;

} // namespace eelgrassrail
