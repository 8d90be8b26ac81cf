/// Reading of callers' requests, and writing of calls to workers and of answers.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/router/routed_request.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <string_view>

namespace eelgrassrail
{

/// What a worker's reply says of a request.
enum class reply_kind : std::uint8_t
{
    answer,       ///< the worker's whole answer
    not_executed, ///< the worker did not run it
    wrong_owner,  ///< the worker did not run it: it is another one, or does not hold the key
    not_sent,     ///< nothing was written to the worker
    lost,         ///< no whole answer came; the worker may have run it
    invalid       ///< what came is no answer of the worker; it may have run the request
};

/// How one sending of a request ended.
struct sent_request
{
    reply_kind end{};
    millis took{};
    bool is_reused{};    ///< it went over a kept connection
    bool is_cancelled{}; ///< it was given up here before anything was written
};

/// While workers forget idle connections, a request that must not run twice goes over a connection
/// that was used this lately, or a new one: the reset of a forgotten one looks like a lost answer.
constexpr millis fresh_connection_time{500};

/// A kept connection that is reset within this time of its use was forgotten by the worker.
constexpr millis idle_reset_time{30};

/// For this time after such a reset workers are taken to forget connections.
constexpr millis idle_reset_memory{20'000};

/// Pause before a refused request for a key is tried again, unless the owner changes sooner.
constexpr millis owner_pause{60};

[[nodiscard]] std::string_view name_of(reply_kind kind) noexcept;

/// @brief Reads route, key and deadline of a request.
/// @return `none`, or why it can not be routed
[[nodiscard]] error_kind read_request(routed_request& request, const router_state& state);

/// @brief Whether a reply on the connection belongs to the request.
[[nodiscard]] bool is_answer_to(const routed_request& request, const wire_format& format,
                                const http_reply& reply);

[[nodiscard]] reply_kind classify(const routed_request& request, const wire_format& format,
                                  const http_exchange& exchange);

[[nodiscard]] http_call make_worker_call(const routed_request& request, const wire_format& format,
                                         const std::string& worker, instant now);

/// @brief The worker's answer without the fields of its connection.
[[nodiscard]] http_reply to_caller(http_reply reply);

/// @param wait_ms after which a caller may come back; 0: not said
[[nodiscard]] http_reply make_refusal(error_kind kind, double wait_ms);

/// @brief Whether nothing listens at an address.
boost::asio::awaitable<bool> refuses_connections(boost::asio::any_io_executor executor,
                                                 std::string address, millis longest);

} // namespace eelgrassrail
