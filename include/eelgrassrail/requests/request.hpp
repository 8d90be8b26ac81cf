/// A caller's request and its answer as they travel between entry processes.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// A caller's request after its header fields were checked.
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
    std::uint32_t attempt{};     ///< `Request-Attempt` of the caller; 0 if it said nothing
    std::uint32_t budget_ms{};   ///< time left until the caller's deadline, in ms
};
BOOST_DESCRIBE_STRUCT(request, (),
                      (service, request_class, tenant, key, method, target, content_type, body,
                       idempotency_key, attempt, budget_ms))

/// What the caller gets.
struct answer
{
    error_kind kind{error_kind::none};
    std::uint32_t status{}; ///< of the backend server, if `kind` is none
    std::string content_type;
    std::string body;
    std::string server; ///< id of the backend server, if one was asked
    std::string detail; ///< what the sentence of the error kind leaves open; may be empty
    bool replayed{};    ///< the answer of an earlier attempt with the same Idempotency-Key

    bool operator==(const answer&) const = default;
};
BOOST_DESCRIBE_STRUCT(answer, (), (kind, status, content_type, body, server, detail, replayed))

/// @brief An answer that only carries an error kind.
[[nodiscard]] inline answer refusal(error_kind kind, std::string detail = {})
{
    answer result;
    result.kind = kind;
    result.status = describe(kind).status;
    result.detail = std::move(detail);
    return result;
}

/// @brief Hash over what a request asks for, without its Idempotency-Key and deadline.
[[nodiscard]] std::uint64_t fingerprint(const request& value) noexcept;

} // namespace eelgrassrail
