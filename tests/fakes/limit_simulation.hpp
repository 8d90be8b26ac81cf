/// Simulates many router processes and one worker that names a rate limit. Time is simulated; there
/// are no sockets.
#pragma once

#include <eelgrassrail/limits/limit_table.hpp>
#include <eelgrassrail/limits/permit_ledger.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// How the processes treat the limit.
enum class limit_policy : std::uint8_t
{
    none,       ///< it is ignored
    even_split, ///< each process has a token bucket for an equal part of it
    permits     ///< the production policy
};

/// A span of simulated time in which something is the case for some of the processes.
struct simulated_fault
{
    double from_s{-1};
    double to_s{-1};
    std::size_t first{}; ///< process
    std::size_t last{};  ///< exclusive

    [[nodiscard]] bool applies(std::size_t process, double at_s) const
    {
        return process >= first && process < last && at_s >= from_s && at_s < to_s;
    }
};

/// Parameters. Process 0 holds the coordinator role at first, and process 1 succeeds it.
struct limit_terms
{
    limit_policy policy{limit_policy::permits};
    std::size_t processes{12};
    double per_s{5};      ///< limit
    double demand{20};    ///< requests per second of all callers, without their repeats
    double length_s{40};  ///< of the simulation
    double named_at_s{2}; ///< from when the worker names its limit
    double withdrawn_at_s{1e9};
    double changed_at_s{1e9}; ///< from when it names `changed_per_s`
    double changed_per_s{};
    double busy_share{0.5}; ///< part of the demand that a tenth of the processes gets
    double lost_datagrams{0.01};
    bool repeats{true}; ///< refused callers return once
    double coordinator_lost_at_s{1e9};
    simulated_fault cut;         ///< processes that do not reach the coordinator, but the worker
    simulated_fault restarted;   ///< processes that forget everything at `from_s`
    std::size_t old_processes{}; ///< the last ones; they ignore the limit, but not a full worker
    unsigned seed{1};
};

/// Results, all from 3 s after the limit was named.
struct limit_result
{
    std::size_t most{};          ///< arrivals at the worker in the fullest window
    std::size_t most_informed{}; ///< only those from processes that had passed on an answer with
                                 ///< the limit half a second before
    double used{};               ///< arrivals relative to the limit, until it is withdrawn
    double full{};               ///< arrivals relative to the demand, from 1 s after the withdrawal
    double asks_per_s{};         ///< requests for permits at the coordinator
    double max_decision_ms{};    ///< longest time until a request was sent or refused
    double min_retry_after_ms{1e9};
};

/// One run. Deterministic for the same terms.
class limit_simulation
{
  public:
    explicit limit_simulation(const limit_terms& terms);
    limit_result play();

  private:
    struct simulated_process
    {
        limit_table table;
        double tokens{}; ///< of the even split
        double tokens_at_s{};
        double alone_until_s{}; ///< the coordinator did not answer
        std::size_t in_flight{};
        std::size_t reported_in_flight{}; ///< in the last report that arrived
        bool sees_full_worker{};          ///< in the coordinator's last push
        double informed_at_s{1e9};        ///< when it first passed on an answer with the limit
        std::size_t completed{};          ///< since the last report
    };

    struct event
    {
        double at_s{};
        std::uint64_t number{};
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return at_s != other.at_s ? at_s > other.at_s : number > other.number;
        }
    };

    void at(double at_s, std::function<void()> run);
    [[nodiscard]] instant now() const;
    [[nodiscard]] double draw();
    [[nodiscard]] double delay_s();
    [[nodiscard]] bool is_lost(std::size_t process);
    [[nodiscard]] std::optional<double> named() const;
    void arrive(std::size_t process, bool is_repeat);
    void decide(std::size_t process, bool is_repeat);
    void ask(std::size_t process, bool is_repeat);
    void end(std::size_t process, bool is_repeat, const permit_decision& decision, double since_s);
    void send(std::size_t process);
    void notify(std::size_t process, std::optional<double> per_s);
    void announce(bool repeats);
    void push_load();
    [[nodiscard]] bool is_old(std::size_t process) const;

    limit_terms m_terms;
    std::mt19937 m_random;
    std::vector<simulated_process> m_processes;
    permit_ledger m_ledger;
    std::size_t m_coordinator{};
    double m_coordinator_since_s{};
    bool m_has_coordinator{true};
    double m_now_s{};
    std::uint64_t m_next_event{};
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::int64_t> m_arrivals;
    std::vector<std::int64_t> m_informed_arrivals;
    std::size_t m_asks{};
    limit_result m_result;
};

} // namespace eelgrassrail::test
