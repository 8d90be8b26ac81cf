/// Frontend for callers: parses requests, runs them here or forwards them to the pool's lease
/// holder, and replies.
#pragma once

#include <eelgrassrail/http/message.hpp>
#include <eelgrassrail/observe/metrics.hpp>
#include <eelgrassrail/ownership/agent.hpp>
#include <eelgrassrail/peers/peer_network.hpp>
#include <eelgrassrail/requests/request.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace eelgrassrail
{

/// Runs a request on a pool that this process holds.
using local_runner = std::function<boost::asio::awaitable<answer>(const pool_id&, request)>;

/// @brief Parses and validates a caller's HTTP request.
/// @param state deployment state with the services in force
/// @return the request, or the refusal to send to the caller
[[nodiscard]] std::variant<request, answer> read_request(const http_call& call,
                                                         const deployment_state& state);

/// @brief HTTP reply for an answer or a refusal.
[[nodiscard]] http_reply to_reply(const answer& value);

/// Serves the callers of one process; see the head of the file.
class frontend
{
  public:
    frontend(const boost::asio::any_io_executor& executor, ownership_agent& agent,
             peer_network& peers, metrics& counters, local_runner run_locally);

    /// @brief Serves one HTTP request; retries until its deadline as far as that is safe.
    boost::asio::awaitable<http_reply> serve(http_call call);

    /// @brief Makes waiting requests look up their holder again, after a change of ownership.
    void on_route_change();

    /// @brief Waits until `on_route_change` is called, at most 200 ms or until the deadline.
    boost::asio::awaitable<void> wait_for_route(instant deadline);

    /// @brief Number of requests that are being served.
    [[nodiscard]] std::size_t in_flight() const noexcept { return m_in_flight; }

  private:
    boost::asio::awaitable<answer> route(request value, instant deadline);
    boost::asio::awaitable<answer> try_once(const request& value, millis remaining);

    boost::asio::any_io_executor m_executor;
    ownership_agent& m_agent;
    peer_network& m_peers;
    metrics& m_metrics;
    local_runner m_run_locally;
    boost::asio::steady_timer m_route_changed;
    std::size_t m_in_flight{};
    std::size_t m_waiting_count{}; ///< calls of `wait_for_route` in progress
};

} // namespace eelgrassrail
