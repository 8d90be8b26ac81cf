/// Data plane of one held pool: runs its dispatcher and does the I/O with servers and standbys.
#pragma once

#include <eelgrassrail/balance/move_chooser.hpp>
#include <eelgrassrail/entry/standby_store.hpp>
#include <eelgrassrail/http/worker_http.hpp>
#include <eelgrassrail/ownership/agent.hpp>
#include <eelgrassrail/peers/peer_network.hpp>
#include <eelgrassrail/requests/dispatcher.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace eelgrassrail
{

/// Services of the process that a pool runner uses.
struct runner_context
{
    boost::asio::any_io_executor executor;
    ownership_agent& agent;
    peer_network& peers;
    std::function<void(const std::string&)> audit;
    std::function<void(const std::string& service, std::uint64_t)> on_quarantine;
};

/// Runs the requests of one pool in one epoch. Must be owned by a `std::shared_ptr`; its coroutines
/// keep it alive.
class pool_runner : public std::enable_shared_from_this<pool_runner>
{
  public:
    pool_runner(runner_context context, dispatcher_state start);

    /// @brief Applies the pool's current state in the log: service, workers, slices and standbys.
    void configure(instant now);

    /// @brief Runs a request and returns its answer or a refusal.
    boost::asio::awaitable<answer> serve(request value);

    /// @brief Runs everything that is due; to be called every 20 ms.
    void tick(instant now);

    /// @brief Sends the pool's full state to a candidate. Once the candidate has it, its
    /// acknowledgement is required for every delta.
    void sync(const sync_request& request);

    /// @brief Stops accepting requests: queued ones are refused, running ones complete.
    void stop(instant now);

    /// @brief Ends the runner because its epoch has ended: queued requests are refused, nothing
    /// more is replicated.
    void abandon(instant now);

    /// @brief Whether no request is left and the standbys have acknowledged all outcomes.
    [[nodiscard]] bool is_drained() const
    {
        return m_dispatcher.is_idle() && m_reported_delta >= m_latest_delta;
    }
    [[nodiscard]] epoch_number epoch() const noexcept { return m_epoch; }
    [[nodiscard]] dispatcher& request_dispatcher() noexcept { return m_dispatcher; }

    /// @brief Closes idle connections to servers; used after the process was paused.
    void close_idle_connections();

  private:
    struct waiting_request
    {
        request value;
        std::shared_ptr<boost::asio::steady_timer> wake;
        std::optional<answer> result;
    };

    /// A standby or candidate to which the history and the server map are replicated.
    struct replication_target
    {
        process_id process;
        bool is_synced{};
        bool is_failed{};
        std::uint64_t acknowledged{}; ///< number of the last delta that it acknowledged
        std::uint64_t sent{};         ///< number of the last delta that was sent
        pool_delta pending;           ///< changes not sent yet
        bool has_pending{};
        std::optional<sync_request> request; ///< set for a candidate, empty for a standby
        std::shared_ptr<boost::asio::steady_timer> wake;
    };

    void flush(instant now);
    void run(const start_command& command);
    void grant(const grant_command& command);
    void probe(const std::string& server);
    worker_http& connection_to(const std::string& server);
    void add_target(const process_id& process, std::optional<sync_request> request);
    void update_targets();
    void replicate(const pool_delta& delta);
    boost::asio::awaitable<void> replication_loop(std::shared_ptr<replication_target> target);
    void fail(replication_target& target);
    void report_acknowledged(instant now);
    void balance(instant now);
    [[nodiscard]] const pool_state* state() const;

    runner_context m_context;
    pool_id m_pool;
    epoch_number m_epoch;
    dispatcher m_dispatcher;
    std::map<std::string, std::shared_ptr<worker_http>> m_connections;
    std::map<std::string, std::string> m_addresses; ///< address of each connection's server
    std::map<request_number, std::shared_ptr<waiting_request>> m_waiting;
    std::map<process_id, std::shared_ptr<replication_target>> m_targets;
    std::uint64_t m_latest_delta{};   ///< number of the newest delta
    std::uint64_t m_reported_delta{}; ///< number up to which all required processes acknowledged
    request_number m_request_count{}; ///< number of the last request
    std::vector<std::uint32_t> m_priorities;
    instant m_next_balance{};
    load_tracker m_loads;
    bool m_abandoned{};
};

} // namespace eelgrassrail
