/// All reasons why a request gets no answer from a backend server, and the table that maps each
/// reason to an HTTP status, an outcome and whether the caller may retry.
#pragma once

#include <boost/describe/enum.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace eelgrassrail
{

/// Whether a request was executed, as far as this process can tell.
enum class outcome : std::uint8_t
{
    done,    ///< a backend server ran it; its complete answer is attached
    not_run, ///< no backend server ran it and none will
    unknown  ///< it may have run; the answer is not available
};
BOOST_DESCRIBE_ENUM(outcome, done, not_run, unknown)

/// Reason why a request was refused or has no answer; `none` if a backend server answered.
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

/// One row of the error table: how a kind is reported to the caller.
struct error_row
{
    error_kind kind;
    unsigned status;       ///< HTTP status code
    outcome result;        ///< whether the request was executed
    bool may_resend;       ///< the caller may retry with the same Idempotency-Key
    std::string_view text; ///< short message for the caller
};

/// @brief The complete table, one row per kind, in the order of the enumerators.
[[nodiscard]] std::span<const error_row> error_table() noexcept;

/// @brief The row of a kind.
/// @complexity constant
[[nodiscard]] const error_row& describe(error_kind kind) noexcept;

/// @brief The value of the `Error-Kind` response header: the enumerator's name with dashes.
[[nodiscard]] std::string_view name_of(error_kind kind) noexcept;

/// @brief The value of the `Outcome` response header.
[[nodiscard]] std::string_view name_of(outcome result) noexcept;

} // namespace eelgrassrail
