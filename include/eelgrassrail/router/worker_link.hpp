/// Connections of this process to one worker, and statistics of its answers.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/router/router_message.hpp>
#include <eelgrassrail/routing/send_backoff.hpp>

#include <string>

namespace eelgrassrail
{

/// Connection pools to one worker at one address, with request statistics.
class worker_link
{
  public:
    /// @throws std::invalid_argument if the address is not an IP number and a port
    worker_link(const boost::asio::any_io_executor& executor, std::string id,
                const std::string& address, std::size_t connections);

    /// @brief Records the start of a request; exactly one `on_end` must follow.
    void on_start() noexcept { ++m_in_flight; }

    /// @brief Records the end of a request.
    /// @param is_success false counts as a failure of the worker
    /// @param is_answer a complete, successful answer arrived
    /// @param is_timed the request found a free slot, so `took` is its run time
    void on_end(bool is_success, bool is_answer, bool is_timed, millis took, instant now);

    /// @brief Moving average of failed requests, 0 to 1; decays exponentially without requests.
    [[nodiscard]] double failure_rate(instant now) const noexcept;

    /// @brief Statistics since the last call, for the coordinator; resets the counts.
    [[nodiscard]] worker_report collect_report();

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return m_in_flight; }
    [[nodiscard]] std::uint32_t reported() const noexcept { return m_reported; }
    /// @brief Whether there is anything to report to the coordinator.
    [[nodiscard]] bool has_updates() const noexcept;

    http_client requests;
    http_client control;  ///< for grants and releases, so that they do not wait behind requests
    send_backoff backoff; ///< active while the worker rejects requests
    instant last_used{};

  private:
    std::string m_id;
    std::string m_address;
    std::uint32_t m_in_flight{};
    std::uint32_t m_reported{}; ///< requests in flight at the last report
    worker_report m_report;
    double m_failure_rate{}; ///< as of `m_failure_rate_at`
    instant m_failure_rate_at{};
};

} // namespace eelgrassrail
