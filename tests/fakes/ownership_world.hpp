/// Simulation of several ownership agents with a fake log and network on one manual clock.
///
/// All delays and faults come from one seeded generator, so a seed reproduces the whole session.
/// After each step the simulation checks that no two processes may send work for the same slice. It
/// runs the production logic, but no sockets, servers or data plane.
#pragma once

#include <eelgrassrail/ownership/agent.hpp>
#include <eelgrassrail/tickets/log_record.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrassrail::fakes
{

/// Number of slices of the simulated service.
constexpr std::uint32_t slice_count = 4;

/// Faults that a session may have.
struct world_faults
{
    bool crash{true};
    bool pause{true};
    bool cut{true};
    bool log_outage{true};
    bool lost_replies{true};
    bool late_appends{true};
    bool tickets{true};
    bool retention{true};
    double drift{0.01}; ///< maximum deviation of the clock rates, as a fraction
};

/// One simulated process.
struct world_process
{
    std::unique_ptr<ownership_agent> agent;
    std::string vm;
    double rate{1.0};              ///< rate of its clock
    boot_clock::duration offset{}; ///< of its clock at time zero
    bool crashed{};
    std::optional<instant> paused_until;
    std::set<std::string> cut_from; ///< unreachable VMs, or `log`
    std::uint64_t incarnation{};
    bool is_reading{};
    log_offset checked{}; ///< `next` of the state that was checked last
};

/// The simulation of one seed.
class ownership_world
{
  public:
    ownership_world(std::uint64_t seed, world_faults faults);

    /// @brief Runs a session: random faults, then recovery.
    /// @return the violation, or an empty text
    std::string run();

    /// @brief Trace of the session so far, one line for each event.
    [[nodiscard]] const std::string& trace() const noexcept { return m_trace; }

    // Used by scripted sessions.
    void advance(millis length);
    world_process& process(std::size_t n) { return *m_processes.at(n); }
    void crash(std::size_t n);
    void pause(std::size_t n, millis length);
    void restart(std::size_t n);
    void replace(std::size_t n);
    void set_log_down(bool down);
    void cut(std::size_t n, const std::string& other);
    void heal();
    void publish(ticket value, ticket_number base);
    void retain_last(std::size_t records);
    void set_lost_replies(bool lost) { m_lose_replies = lost; }
    [[nodiscard]] std::optional<std::size_t> acting(const pool_id& pool) const;
    [[nodiscard]] bool is_all_served() const;
    [[nodiscard]] const std::string& violation() const noexcept { return m_violation; }
    [[nodiscard]] instant now() const noexcept { return m_now; }
    [[nodiscard]] std::size_t log_size() const noexcept { return m_start + m_log.size(); }
    [[nodiscard]] const ticket& services() const noexcept { return m_services; }

    /// @brief Total time in which no process could send work for a slice, in slice-milliseconds.
    [[nodiscard]] std::uint64_t unserved_ms() const noexcept { return m_unserved_ms; }

  private:
    struct event
    {
        instant at;
        std::uint64_t order{};
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(millis delay, std::function<void()> run);
    void schedule_for(std::size_t n, std::uint64_t incarnation, millis delay,
                      std::function<void()> run);
    [[nodiscard]] instant local_now(const world_process& process) const;
    [[nodiscard]] bool is_up(const world_process& process) const;
    [[nodiscard]] bool is_cut(const world_process& from, const std::string& to) const;
    void start(std::size_t n);
    void tick(std::size_t n);
    void read(std::size_t n);
    void finish_read(std::size_t n, const log_page& page, instant sent);
    void flush(std::size_t n);
    void send(std::size_t n, const outgoing_message& message);
    void append(std::size_t n, const append_request& order);
    void write_to_log(const std::string& text);
    void update_vm_lists();
    void random_fault();
    void random_ticket();
    void check();
    void note(const std::string& text);
    millis random_delay(int low, int high);
    bool chance(int percent);

    world_faults m_faults;
    std::mt19937_64 m_random;
    instant m_now{};
    std::uint64_t m_order{};
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<world_process>> m_processes;
    std::vector<std::string> m_log;
    log_offset m_start{};
    bool m_log_down{};
    bool m_lose_replies{};
    ticket m_services;
    ticket_number m_highest_in_force{};
    std::uint64_t m_tickets{};
    std::uint64_t m_incarnations{};
    std::uint64_t m_vms{};
    std::string m_trace;
    std::string m_violation;
    std::uint64_t m_unserved_ms{};
    std::vector<listed_vm> m_listed;              ///< the platform's list, out of date by up to 2 s
    std::map<log_offset, std::uint64_t> m_hashes; ///< of the folded state, by next offset
};

} // namespace eelgrassrail::fakes
