/// Parses callers' requests, classifies workers' replies, and builds worker calls and refusals.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/router/routed_request.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <string_view>

namespace eelgrassrail
{

/// What a worker's reply implies for a request.
enum class reply_kind : std::uint8_t
{
    answer,       ///< complete answer of the worker
    not_executed, ///< the worker did not run it
    wrong_owner,  ///< not run: another worker was addressed, or it does not own the key
    not_sent,     ///< nothing was written to the worker
    lost,         ///< no complete answer; the worker may have run it
    invalid       ///< not a valid answer of the worker, which may have run the request
};

/// Result of one attempt to send a request to a worker.
struct attempt_result
{
    reply_kind kind{};
    millis took{};
    bool is_reused{};    ///< sent over an idle connection of the pool
    bool is_cancelled{}; ///< cancelled by this process before anything was written
    /// The request was for a key whose owner is known to have a free slot.
    bool has_free_owner{};
};

/// While workers drop idle connections, a non-idempotent request uses only a connection that was
/// idle for at most this time, or a new one: the reset of a dropped connection looks like a lost
/// answer.
constexpr millis max_safe_idle_time{500};

/// A reused connection that is reset within this time was dropped by the worker while idle.
constexpr millis idle_reset_threshold{30};

/// Workers are assumed to drop idle connections for this time after such a reset.
constexpr millis idle_reset_window{20'000};

/// Wait before a refused request for a key is retried, unless the state changes sooner.
constexpr millis owner_retry_interval{60};

[[nodiscard]] std::string_view name_of(reply_kind kind) noexcept;

/// @brief Parses attempt id, route, deadline and key of a request.
/// @return `none`, or why the request cannot be routed
[[nodiscard]] error_kind parse_request(routed_request& request, const router_state& state);

/// @brief Whose reply arrived on a worker's connection, by the attempt id that it bears.
[[nodiscard]] reply_owner owner_of(const routed_request& request, const wire_format& format,
                                   const http_reply& reply);

/// @brief What the end of an exchange implies. A reply that bears another attempt's id says nothing
/// about this request.
[[nodiscard]] reply_kind classify(const routed_request& request, const wire_format& format,
                                  const http_exchange& exchange);

[[nodiscard]] http_call make_worker_call(const routed_request& request, const wire_format& format,
                                         const std::string& worker, instant now);

/// @brief The worker's answer without hop-by-hop fields.
[[nodiscard]] http_reply make_caller_reply(http_reply reply);

/// @param wait_ms when the caller may retry; 0: no `Retry-After` field
[[nodiscard]] http_reply make_refusal(error_kind kind, double wait_ms);

/// @brief Whether a connection to an address is refused, that is, nothing listens there.
/// @param timeout limit of the connection attempt; false after it
boost::asio::awaitable<bool> is_connection_refused(boost::asio::any_io_executor executor,
                                                   std::string address, millis timeout);

} // namespace eelgrassrail
