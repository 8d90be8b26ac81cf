/// One worker as this process sees it: its connections and what its answers were like.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/router/router_message.hpp>
#include <eelgrassrail/routing/send_window.hpp>

#include <string>

namespace eelgrassrail
{

/// Connections to one address for one worker id, and evidence about the worker.
class worker_link
{
  public:
    /// @throws std::invalid_argument if the address is not an IP number and a port
    worker_link(const boost::asio::any_io_executor& executor, std::string id,
                const std::string& address, std::size_t connections);

    /// @brief A request was sent; `on_end` follows once.
    void on_start() noexcept { ++m_in_flight; }

    /// @brief The request has ended.
    /// @param is_success the end is no failure of the worker
    /// @param is_answer a whole answer came that is no failure
    /// @param is_timed the time tells how fast the worker runs requests
    void on_end(bool is_success, bool is_answer, bool is_timed, millis took, instant now);

    /// @brief Share of recent requests that failed, 0 to 1; it decays while nothing is sent.
    [[nodiscard]] double failing(instant now) const noexcept;

    /// @brief What is to be told to the coordinator; starts a new period.
    [[nodiscard]] worker_sight take_sight();

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return m_in_flight; }
    [[nodiscard]] std::uint32_t reported() const noexcept { return m_reported; }
    [[nodiscard]] bool has_news() const noexcept;

    http_client requests;
    http_client control; ///< grants and releases do not wait for a request's connection
    send_window window;  ///< closed while the worker turns requests away
    instant last_used{};

  private:
    std::string m_id;
    std::string m_address;
    std::uint32_t m_in_flight{};
    std::uint32_t m_reported{}; ///< requests in flight at the last report
    worker_sight m_sight;
    double m_failing{}; ///< as of `m_failing_at`
    instant m_failing_at{};
};

} // namespace eelgrassrail
