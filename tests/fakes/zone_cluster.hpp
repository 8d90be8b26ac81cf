/// Workers in three availability zones and routers on threads of their own, on loopback, with a
/// generator of requests. For tests of cold workers and of evacuated zones.
#pragma once

#include "hold_check.hpp"
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/router/router_process.hpp>

#include <boost/asio/awaitable.hpp>

#include <eelgrassrail_platform/store_client.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace eelgrassrail::test
{

/// A router with its own context and thread. Without its thread it is like a process that was
/// stopped with SIGSTOP.
class router_on_thread
{
  public:
    router_on_thread(router_settings settings, const std::string& store);
    ~router_on_thread() { pause(); }
    router_on_thread(const router_on_thread&) = delete;
    router_on_thread& operator=(const router_on_thread&) = delete;

    void pause();

  private:
    boost::asio::io_context m_context{1};
    platform::store_client m_client;
    std::unique_ptr<router_process> m_router;
    std::thread m_thread;
};

/// Results of the requests of one kind.
struct zone_result
{
    std::size_t sent{};
    std::size_t served{};
    std::size_t refused{};
    std::size_t refused_without_time{}; ///< refused without Retry-After
    double max_refusal_ms{};            ///< longest time until a refusal
};

/// Workers k1 to k3 own keys, p1 to p3 do not; the number is that of the zone. The store and the
/// workers use the context of the test.
class zone_cluster
{
  public:
    static constexpr double cold_per_s = 6.2;
    static constexpr double cold_overage = 1.5;
    static constexpr double cold_slack = 8.0;
    static constexpr millis evacuate_timeout{5'000};

    zone_cluster();
    zone_cluster(const zone_cluster&) = delete;
    zone_cluster& operator=(const zone_cluster&) = delete;

    /// @brief Starts a worker that is cold for some time.
    void start_worker(const std::string& id, millis cold);

    /// @brief Starts a router in the next of the three zones. The first one becomes the
    /// coordinator.
    /// @return its index
    std::size_t start_router();

    /// @brief Pauses the router that coordinates; it gets no further requests.
    boost::asio::awaitable<void> pause_coordinator();

    /// @brief Stores the current entry of a worker.
    void write_entry(std::string_view id);

    /// @brief The operator evacuates a zone or takes it back.
    void evacuate(const std::string& zone, bool is_evacuated);

    worker_standin& worker(std::string_view id);

    boost::asio::awaitable<void> delay(millis time);

    /// @brief Sends 100 requests of each kind a second, to all routers that run in turn.
    boost::asio::awaitable<void> flood(millis time);

    /// @brief Waits until all routers serve both kinds, then floods for a time in which all run
    /// times become known.
    boost::asio::awaitable<void> warm_up();

    boost::asio::awaitable<http_reply> request(std::size_t router, bool is_keyed);

    /// @brief Runs a session to completion, rethrows its exception and checks that no key had two
    /// holders.
    void run(boost::asio::awaitable<void> session);

    void reset_results();

    boost::asio::io_context context{1};
    hold_journal holds; ///< of all workers
    store_standin store;
    std::vector<std::unique_ptr<worker_standin>> workers;
    zone_result keyed;
    zone_result plain;
    bool writes_entries{true}; ///< the workers renew their entries
    int run_ms{40};            ///< of warm workers that start from now on

  private:
    boost::asio::awaitable<void> renew_entries();
    boost::asio::awaitable<void> request_and_count(std::size_t router, bool is_keyed);
    boost::asio::awaitable<bool> coordinates(std::size_t router);

    std::vector<std::unique_ptr<router_on_thread>> m_routers;
    std::vector<std::unique_ptr<http_client>> m_callers; ///< one per router
    std::vector<std::size_t> m_running;                  ///< indices of the routers not paused
    std::uint64_t m_next_attempt{1};
};

/// @brief Boot clock, in microseconds.
[[nodiscard]] std::int64_t boot_us();

/// @brief The most requests that a worker accepted in a second that lies within the given times.
[[nodiscard]] std::size_t most_in_a_second(const worker_standin& worker, std::int64_t from_us,
                                           std::int64_t to_us);

/// @brief The number of requests that a worker accepted within the given times.
[[nodiscard]] std::size_t accepted_between(const worker_standin& worker, std::int64_t from_us,
                                           std::int64_t to_us);

} // namespace eelgrassrail::test
