/// The closed list of reasons for which a request gets no answer of a backend server, and the
/// table from reason to HTTP status, outcome and advice.
#pragma once

#include <boost/describe/enum.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace eelgrassrail
{

/// What is known about the execution of a request.
enum class outcome : std::uint8_t
{
    done,    ///< a backend server ran it and its whole answer is attached
    not_run, ///< no backend server ran it or will run it
    unknown  ///< it may have run; the answer is not available
};
BOOST_DESCRIBE_ENUM(outcome, done, not_run, unknown)

/// Every reason for a refusal or a missing answer.
enum class error_kind : std::uint8_t
{
    none,
    malformed_request,
    header_too_large,
    body_too_large,
    unknown_service,
    unknown_class,
    unsupported_method,
    missing_key,
    key_too_long,
    invalid_encoding,
    missing_tenant,
    invalid_deadline,
    missing_idempotency_key,
    idempotency_key_reused,
    tenant_limit,
    overloaded,
    deadline_passed,
    no_owner,
    not_holder,
    server_refused,
    no_server,
    quarantined,
    stopping,
    peer_unreachable,
    answer_lost,
    server_lost,
    deadline_while_running,
    invalid_server_answer,
    earlier_outcome_unknown,
    history_incomplete,
    unknown_route,
    no_routes,
    withheld
};
BOOST_DESCRIBE_ENUM(error_kind, none, malformed_request, header_too_large, body_too_large,
                    unknown_service, unknown_class, unsupported_method, missing_key, key_too_long,
                    invalid_encoding, missing_tenant, invalid_deadline, missing_idempotency_key,
                    idempotency_key_reused, tenant_limit, overloaded, deadline_passed, no_owner,
                    not_holder, server_refused, no_server, quarantined, stopping, peer_unreachable,
                    answer_lost, server_lost, deadline_while_running, invalid_server_answer,
                    earlier_outcome_unknown, history_incomplete, unknown_route, no_routes, withheld)

/// One row of the table from error kind to answer.
struct error_row
{
    error_kind kind;
    unsigned status;       ///< HTTP status code
    outcome result;        ///< what is known about the execution
    bool may_resend;       ///< a caller may send the same request again (same Idempotency-Key)
    std::string_view text; ///< one short sentence for the caller
};

/// @brief The whole table, one row for each kind, in the order of the enumeration.
[[nodiscard]] std::span<const error_row> error_table() noexcept;

/// @brief The row of one kind.
/// @complexity constant
[[nodiscard]] const error_row& describe(error_kind kind) noexcept;

/// @brief The name of a kind as it stands in the answer's `Error-Kind` header, with dashes.
[[nodiscard]] std::string_view name_of(error_kind kind) noexcept;

/// @brief The name of an outcome as it stands in the answer's `Outcome` header.
[[nodiscard]] std::string_view name_of(outcome result) noexcept;

} // namespace eelgrassrail
