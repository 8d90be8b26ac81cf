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
    std::size_t max_body_bytes{1024UL * 1024};
    bool echoes_body{true}; ///< an answer repeats the body of its request
    hold_journal* holds{};  ///< gets the lease events, also the end; null: none
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

/// A request that arrived, or the answer to one.
struct request_event
{
    std::string attempt;
    std::int64_t at_us{}; ///< boot clock
};

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

    /// @brief Sets the text of the header `Server-Leaving` in all answers, also those to grants and
    /// releases; empty: none. The registration is not changed. Also set with POST
    /// /leaving?text=TEXT.
    void set_leaving(std::string text) { m_leaving = std::move(text); }

    /// @brief For some time from now, the worker is cold: its registration states the remaining
    /// time and its runs take twice as long. Also set with POST /cold?ms=TIME.
    void set_cold(millis time) { m_cold_until = boot_clock::now() + time; }

    /// @brief For some time from now, requests that arrive wait until its end, as in a process that
    /// was stopped. Grants and releases are answered.
    void freeze(millis time) { m_frozen_until = boot_clock::now() + time; }

    /// @brief For some time, answers every third request 503 with this text as `Retry-After`. Also
    /// set with POST /turn_away?retry_after=TEXT&ms=TIME.
    void turn_away(std::string retry_after, millis time);

    /// @brief Starts a new incarnation without keys at the same address.
    void restart(std::uint64_t start_time_ms);

    /// Requests that arrived, as `arrivals`.
    [[nodiscard]] const std::vector<request_event>& requests() const { return m_requests; }

    /// Requests that were turned away since the last `turn_away`, at the time of the answer.
    [[nodiscard]] const std::vector<request_event>& turned_away() const { return m_turned_away; }

    /// Times at which requests arrived, those that were refused too, but not grants, releases and
    /// requests for another worker. Boot clock, in microseconds.
    [[nodiscard]] const std::vector<std::int64_t>& arrivals() const { return m_arrivals; }

    /// Arrival times of the requests that were answered otherwise than with status 421, in the
    /// order of the answers. Boot clock, in microseconds.
    [[nodiscard]] const std::vector<std::int64_t>& accepted() const { return m_accepted; }

    [[nodiscard]] const std::vector<run_entry>& journal() const { return m_journal; }
    [[nodiscard]] const worker_settings& settings() const { return m_settings; }

  private:
    /// The fencing token of the newest grant or release of a key, and the end of the lease.
    struct key_state
    {
        std::uint64_t fence{};
        instant lease_until{};
    };

    boost::asio::awaitable<http_reply> answer(http_call call);
    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> serve_request(const http_call& call);
    boost::asio::awaitable<http_reply> run(const http_call& call);
    boost::asio::awaitable<http_reply> release(const http_call& call);
    boost::asio::awaitable<http_reply> grant(const http_call& call);
    void log_hold(hold_event event);
    [[nodiscard]] http_reply not_executed(unsigned status) const;
    [[nodiscard]] bool turns_away() const;
    http_reply make_turned_away(std::string attempt);

    boost::asio::io_context& m_context;
    worker_settings m_settings;
    std::vector<key_state> m_keys;
    std::mt19937 m_random;
    std::multimap<std::uint32_t, int> m_running; ///< keys of running requests
    int m_waiting{};                             ///< requests that wait for a slot
    int m_busy{};                                ///< slots in use
    std::string m_rate_limit;
    std::string m_leaving;     ///< text of the header `Server-Leaving`
    std::string m_retry_after; ///< of requests that are turned away
    instant m_turns_away_until{};
    instant m_cold_until{};
    instant m_frozen_until{};
    std::vector<request_event> m_requests;
    std::vector<request_event> m_turned_away;
    std::vector<std::int64_t> m_arrivals;
    std::vector<std::int64_t> m_accepted;
    std::vector<run_entry> m_journal;
    http_listener m_listener;
};

} // namespace eelgrassrail::test
