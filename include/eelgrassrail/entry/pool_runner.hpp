/// The data plane of one held pool: a dispatcher with connections to its servers and standbys.
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

/// What a pool runner uses of the process around it.
struct runner_context
{
    boost::asio::any_io_executor executor;
    ownership_agent& agent;
    peer_network& peers;
    std::function<void(const std::string&)> audit;
    std::function<void(const std::string& service, std::uint64_t)> on_quarantine;
};

/// Runs requests of one pool in one epoch. It lives in a shared pointer; its tasks keep it alive.
class pool_runner : public std::enable_shared_from_this<pool_runner>
{
  public:
    pool_runner(runner_context context, dispatch_start start);

    /// @brief Takes over what the folded log says about the pool.
    void configure(instant now);

    /// @brief Runs a request or refuses it.
    boost::asio::awaitable<answer> serve(request value);

    /// @brief Time has passed; call it every 10 ms.
    void tick(instant now);

    /// @brief Brings a process up to date and counts it among those that have to acknowledge.
    void sync(const sync_order& order);

    /// @brief No new work; what is queued is refused, what runs goes on.
    void stop(instant now);

    /// @brief The epoch is over: requests that still wait are given up.
    void abandon(instant now);

    /// @brief Whether no request is left and the standbys know all outcomes.
    [[nodiscard]] bool is_drained() const
    {
        return m_dispatcher.is_idle() && m_reported_delta >= m_latest_delta;
    }
    [[nodiscard]] epoch_number epoch() const noexcept { return m_epoch; }
    [[nodiscard]] dispatcher& decisions() noexcept { return m_dispatcher; }

    /// @brief Closes idle connections to servers: the process was paused.
    void close_idle_connections();

  private:
    struct waiting_request
    {
        request value;
        std::shared_ptr<boost::asio::steady_timer> wake;
        std::optional<answer> result;
    };

    /// A process that has, or is getting, a copy of the history.
    struct copy_target
    {
        process_id process;
        bool is_synced{};
        bool is_failed{};
        std::uint64_t acknowledged{};
        std::uint64_t sent{};
        pool_delta pending; ///< changes that were not sent yet
        bool has_pending{};
        std::optional<sync_order> order; ///< set for candidates
        std::shared_ptr<boost::asio::steady_timer> wake;
    };

    void flush(instant now);
    void run(const start_order& order);
    void grant(const grant_order& order);
    void probe(const std::string& server);
    worker_http& connection_to(const std::string& server);
    void add_target(const process_id& process, std::optional<sync_order> order);
    void update_targets();
    void replicate(const pool_delta& delta);
    boost::asio::awaitable<void> copy_loop(std::shared_ptr<copy_target> target);
    void fail(copy_target& target);
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
    std::map<process_id, std::shared_ptr<copy_target>> m_targets;
    std::uint64_t m_latest_delta{};
    std::uint64_t m_reported_delta{};
    request_number m_requests{};
    std::vector<std::uint32_t> m_priorities;
    instant m_next_balance{};
    load_tracker m_loads;
    bool m_over{};
};

} // namespace eelgrassrail
