/// One entry process: the tasks that connect callers, peers, the platform and backend servers to
/// the decision logic.
#pragma once

#include <eelgrassrail/entry/entry_settings.hpp>
#include <eelgrassrail/entry/front.hpp>
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

/// One line of the audit trail.
struct audit_line
{
    std::string when; ///< UTC, for people only
    log_offset next_offset{};
    std::string text;
};
BOOST_DESCRIBE_STRUCT(audit_line, (), (when, next_offset, text))

/// @brief The reply of /healthz and /readyz.
[[nodiscard]] http_reply health_reply(bool is_good);

/// See the head of the file. All tasks run on one thread.
class entry_process
{
  public:
    /// @brief Binds all addresses.
    /// @throws boost::system::system_error if an address can not be bound
    entry_process(boost::asio::io_context& context, entry_settings settings);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    void start();

    /// @brief Begins a planned stop: unready, leases handed over, work ended, then the context
    /// stops.
    void begin_stop();

    // used by the operators' interface
    [[nodiscard]] ownership_agent& agent() noexcept { return m_agent; }
    [[nodiscard]] log_gateway& gateway() noexcept { return *m_gateway; }
    [[nodiscard]] const entry_settings& settings() const noexcept { return m_settings; }
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_healthy() const;
    [[nodiscard]] const std::deque<audit_line>& audit_trail() const noexcept { return m_audit; }
    [[nodiscard]] std::map<pool_id, std::shared_ptr<pool_runner>>& runners() { return m_runners; }
    [[nodiscard]] peer_network& peers() noexcept { return m_peers; }
    [[nodiscard]] boost::asio::io_context& context() noexcept { return m_context; }

    [[nodiscard]] status_answer own_status() const;
    [[nodiscard]] owner_answer own_owner(const std::string& service, const std::string& key);

    /// @brief Appends a record outside the agent, such as a ticket.
    boost::asio::awaitable<append_result> append(std::string text);

    /// @brief Cuts links; a switch for fault tests.
    void set_cuts(std::set<std::string> zones, bool platform);

  private:
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<void> recover(log_offset start);
    boost::asio::awaitable<bool> install_snapshot_from_log(log_offset start);
    boost::asio::awaitable<bool> install_state_from_peer();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> append_loop();
    boost::asio::awaitable<void> stop_loop();
    boost::asio::awaitable<void> hand_over_all(instant until);
    boost::asio::awaitable<http_reply> serve_caller(http_call call);
    boost::asio::awaitable<std::optional<peer_body>> serve_peer(peer_body body);
    boost::asio::awaitable<answer> serve_forward(request value);
    std::optional<peer_body> answer_peer(const peer_body& body);
    boost::asio::awaitable<answer> run_here(const pool_id& pool, request value);

    void tick(instant now);
    void check_for_pause(instant now);
    void flush_agent();
    void update_runners(instant now);
    void update_leaving_servers(instant now);
    void audit(const std::string& text);
    void tell_quarantine(const std::string& service, std::uint64_t value);
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
    front m_front;
    std::unique_ptr<http_listener> m_callers;
    std::unique_ptr<http_listener> m_operators;
    std::deque<append_order> m_append_queue;
    boost::asio::steady_timer m_append_wake;
    std::deque<audit_line> m_audit;
    log_offset m_seen_next{};
    instant m_last_tick{};
    instant m_last_read{};     ///< when the last answer of the log arrived
    instant m_snapshot_base{}; ///< when the newest snapshot was met, or the process started
    log_offset m_snapshot_seen{};
    std::uint64_t m_vms_version{}; ///< of the list that the agent knows
    bool m_stopping{};
};

} // namespace eelgrassrail
