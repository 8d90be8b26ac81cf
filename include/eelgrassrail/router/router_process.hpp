/// One router process: its components and tasks from start to graceful shutdown.
#pragma once

#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>
#include <eelgrassrail/router/peer_link.hpp>
#include <eelgrassrail/router/permit_client.hpp>
#include <eelgrassrail/router/report_collector.hpp>
#include <eelgrassrail/router/request_forwarder.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/stream_reader.hpp>
#include <eelgrassrail/router/worker_links.hpp>

#include <boost/asio/io_context.hpp>

namespace eelgrassrail
{

/// Where this process sends its reports.
struct report_route
{
    std::string address;
    std::size_t relay_levels{}; ///< levels of processes that report through this one
    instant last_push{};        ///< when a push from this address arrived
};

/// Owns all components of a process. Everything runs on the thread of the context.
class router_process
{
  public:
    /// @throws boost::system::system_error if an address cannot be bound
    router_process(boost::asio::io_context& context, router_settings settings, platform_calls calls,
                   wire_format format);

    void start();

    /// @brief Applies changed settings. Addresses and resource limits take effect only after a
    /// restart.
    /// @param why cause of the reload, for the log
    void reload(const router_settings& next, const char* why);

    /// @brief Starts a graceful shutdown: stops accepting connections once the load balancer has
    /// noticed, lets running requests finish within `stop_timeout`, then stops the context.
    void begin_stop();

  private:
    boost::asio::awaitable<void> run_maintenance();
    boost::asio::awaitable<void> send_leaving_notices();
    boost::asio::awaitable<void> send_report();
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<void> pause(millis time);
    boost::asio::awaitable<void> fetch_copy(std::string from, copy_versions min_versions);
    void handle_push(const received_push& message);
    void handle_report(entry_report report);
    void start_permits();
    [[nodiscard]] entry_report make_report(bool is_orphan);
    void report_without_push(instant now);
    void apply_limits();
    [[nodiscard]] bool should_read_streams() const;
    [[nodiscard]] http_reply readiness() const;
    void set_gauges();

    boost::asio::io_context& m_context;
    router_state m_state;
    std::shared_ptr<receive_budget> m_body_budget; ///< of large requests and answers
    worker_links m_links;
    permit_client m_permits;
    request_forwarder m_forwarder;
    peer_link m_peers;
    stream_reader m_reader;
    key_coordinator m_coordinator;
    http_listener m_callers;
    http_listener m_readiness;
    std::unique_ptr<http_listener> m_metrics; ///< null if no metrics address is set
    std::uint64_t m_limits_version{};
    report_collector m_collector; ///< reports of the processes behind this relay
    report_route m_report_route;
    instant m_last_report{};
    bool m_report_pending{};         ///< a report is delayed to collect those behind this relay
    std::uint64_t m_copy_requests{}; ///< consecutive pushes with missing changes
};

} // namespace eelgrassrail
