/// One entry process: the tasks that connect callers, peers, the platform and backend servers to
/// the ownership agent and the dispatchers, which do no I/O.
#pragma once

#include <eelgrassrail/entry/entry_settings.hpp>
#include <eelgrassrail/entry/frontend.hpp>
#include <eelgrassrail/entry/log_gateway.hpp>
#include <eelgrassrail/entry/pool_runner.hpp>
#include <eelgrassrail/entry/standby_store.hpp>
#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/observe/metrics.hpp>
#include <eelgrassrail/ownership/agent.hpp>
#include <eelgrassrail/peers/peer_network.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace eelgrassrail
{

/// One entry of the audit trail.
struct audit_entry
{
    std::string when;         ///< UTC, for display only; never compared
    log_offset next_offset{}; ///< offset up to which the log had been read
    std::string text;
};
BOOST_DESCRIBE_STRUCT(audit_entry, (), (when, next_offset, text))

/// @brief Reply of /healthz and /readyz: status 200, or 503 if not good.
[[nodiscard]] http_reply health_reply(bool is_good);

/// One entry process; see the head of the file. All tasks run on one thread.
class entry_process
{
  public:
    /// @brief Binds all addresses.
    /// @throws boost::system::system_error if an address cannot be bound
    entry_process(boost::asio::io_context& context, entry_settings settings);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    void start();

    /// @brief Begins a planned stop: reports not ready, hands over the leases, waits for requests
    /// in flight, then stops the io_context. Further calls have no effect.
    void begin_stop();

    // used by operator_api.cpp
    [[nodiscard]] ownership_agent& agent() noexcept { return m_agent; }
    [[nodiscard]] log_gateway& gateway() noexcept { return *m_gateway; }
    [[nodiscard]] const entry_settings& settings() const noexcept { return m_settings; }
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_healthy() const;
    [[nodiscard]] const std::deque<audit_entry>& audit_trail() const noexcept { return m_audit; }
    [[nodiscard]] std::map<pool_id, std::shared_ptr<pool_runner>>& runners() { return m_runners; }
    [[nodiscard]] peer_network& peers() noexcept { return m_peers; }
    [[nodiscard]] boost::asio::io_context& context() noexcept { return m_context; }

    /// @brief Status of this process, as sent to peers and operators.
    [[nodiscard]] status_answer local_status() const;
    /// @brief Server of a key and audit entries of its slice; empty if the pool is not served here.
    [[nodiscard]] owner_answer local_owner(const std::string& service, const std::string& key);

    /// @brief Appends a record that does not come from the agent, such as a ticket.
    boost::asio::awaitable<append_result> append(std::string text);

    /// @brief Simulates network partitions, for fault tests.
    /// @param zones zones with which all peer traffic is dropped; empty: none
    /// @param platform whether calls of the platform fail
    void simulate_partition(std::set<std::string> zones, bool platform);

  private:
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<void> recover(log_offset start);
    boost::asio::awaitable<bool> install_snapshot_from_log(log_offset start);
    boost::asio::awaitable<bool> install_state_from_peer();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> append_loop();
    boost::asio::awaitable<void> stop_loop();
    boost::asio::awaitable<void> hand_over_all(instant deadline);
    boost::asio::awaitable<http_reply> serve_caller(http_call call);
    boost::asio::awaitable<std::optional<peer_body>> serve_peer(peer_body body);
    boost::asio::awaitable<answer> serve_forward(request value);
    std::optional<peer_body> answer_peer(const peer_body& body);
    boost::asio::awaitable<answer> run_locally(const pool_id& pool, request value);

    void tick(instant now);
    void detect_pause(instant now);
    void flush_agent();
    void update_runners(instant now);
    void update_leaving_servers(instant now);
    void audit(const std::string& text);
    void broadcast_quarantine(const std::string& service, std::uint64_t value);
    void write_snapshot_if_due(instant now);
    boost::asio::awaitable<void> sleep(millis length);

    boost::asio::io_context& m_context;
    entry_settings m_settings;
    metrics m_metrics;
    platform_http m_platform;
    peer_network m_peers;
    std::shared_ptr<log_gateway> m_gateway;
    ownership_agent m_agent;
    standby_store m_copies;
    std::map<pool_id, std::shared_ptr<pool_runner>> m_runners;
    frontend m_frontend;
    std::unique_ptr<http_listener> m_caller_listener;
    std::unique_ptr<http_listener> m_operator_listener;
    std::deque<append_request> m_append_queue;
    boost::asio::steady_timer m_append_wake;
    std::deque<audit_entry> m_audit;
    log_offset m_processed_offset{}; ///< next offset at the last update of the runners
    instant m_last_tick{};
    instant m_last_read{};          ///< when the last successful read of the log ended
    instant m_last_snapshot_time{}; ///< when a snapshot was last read or appended, or the process
                                    ///< started
    log_offset m_last_snapshot_offset{};
    std::uint64_t m_vms_version{}; ///< of the VM list that was passed to the agent last
    bool m_stopping{};
};

} // namespace eelgrassrail
