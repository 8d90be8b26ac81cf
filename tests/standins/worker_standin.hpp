/// Stand-in for a backend server that checks fencing tokens, with a journal of its runs.
#pragma once

#include "hold_event.hpp"
#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/describe/class.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Identity and behaviour of a stand-in worker.
struct worker_settings
{
    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    bool is_sharded{};              ///< requests need a lease on their key
    int slots{3};                   ///< concurrent runs
    int run_ms{10};                 ///< duration of one run
    std::uint64_t start_time_ms{};  ///< Unix time
    bool prints_runs{};             ///< prints begin and end of each run to standard output
    std::string advertised_address; ///< IP:PORT in the registration; empty: `address`
    double clock_lag{};             ///< share by which the clock that measures leases runs slow
    int late_percent{};             ///< of 100 grants, the number taken late, without an answer
    int late_ms{2'000};             ///< time from the arrival of such a grant until it is taken
    unsigned seed{1};               ///< of the choice of late grants
    hold_journal* holds{};          ///< gets the lease events, also the end; null: none
};

/// One run of a request, for the checks of exclusive ownership and of at-most-once execution.
struct run_entry
{
    std::string attempt;
    std::uint32_t key{};
    std::uint64_t fence{};   ///< fencing token of the key at the begin of the run; 0: none
    std::int64_t began_us{}; ///< boot clock of the machine, common to all processes
    std::int64_t ended_us{}; ///< 0: still running
};
BOOST_DESCRIBE_STRUCT(run_entry, (), (attempt, key, fence, began_us, ended_us))

/// Serves one address. GET /journal returns all runs as JSON.
class worker_standin
{
  public:
    worker_standin(boost::asio::io_context& context, worker_settings settings);
    ~worker_standin();
    worker_standin(const worker_standin&) = delete;
    worker_standin& operator=(const worker_standin&) = delete;

    /// @brief The JSON record that the worker stores under its id.
    /// @param is_leaving whether its state is "draining" instead of "ready"
    [[nodiscard]] std::string registration(bool is_leaving) const;

    /// @brief Sets the text of the rate limit that each answer names; empty: none. The limit is not
    /// enforced. Also set with POST /limit?per_s=TEXT.
    void set_rate_limit(std::string text);

    /// Times at which requests arrived, those that were refused too, but not grants, releases and
    /// requests for another worker. Boot clock, in microseconds.
    [[nodiscard]] const std::vector<std::int64_t>& arrivals() const { return m_arrivals; }

    [[nodiscard]] const std::vector<run_entry>& journal() const { return m_journal; }
    [[nodiscard]] const worker_settings& settings() const { return m_settings; }

  private:
    /// The fencing token of the newest grant or release of a key, and the end of the lease.
    struct key_state
    {
        std::uint64_t fence{};
        instant lease_until{};
    };

    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> serve_request(const http_call& call);
    boost::asio::awaitable<http_reply> run(const http_call& call);
    boost::asio::awaitable<http_reply> release(const http_call& call);
    boost::asio::awaitable<http_reply> grant(const http_call& call);
    void log_hold(hold_event event);
    [[nodiscard]] http_reply not_executed(unsigned status) const;

    boost::asio::io_context& m_context;
    worker_settings m_settings;
    std::vector<key_state> m_keys;
    std::mt19937 m_random;
    std::multimap<std::uint32_t, int> m_running; ///< keys of running requests
    int m_waiting{};                             ///< requests that wait for a slot
    int m_busy{};                                ///< slots in use
    std::string m_rate_limit;
    std::vector<std::int64_t> m_arrivals;
    std::vector<run_entry> m_journal;
    http_listener m_listener;
};

} // namespace eelgrassrail::test
