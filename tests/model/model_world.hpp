/// Processes, workers, store and network of the ownership model, and the loop that plays them.
#pragma once

#include "chance.hpp"
#include "event_journal.hpp"
#include "event_queue.hpp"
#include "model_process.hpp"
#include "model_settings.hpp"
#include "model_store.hpp"
#include "worker_fleet.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Counts of one run.
struct model_counts
{
    std::uint64_t claims{};
    std::uint64_t appends{};
    std::uint64_t moves{};
    std::uint64_t starts{};
    std::uint64_t low_life_tokens{};
    gap_times gaps;
};

/// One run.
class model_world
{
  public:
    explicit model_world(const model_settings& settings);
    ~model_world();
    model_world(const model_world&) = delete;
    model_world& operator=(const model_world&) = delete;

    /// @brief Plays until the time is over or enough rules were broken. Then all conditions are
    /// good again, and after some seconds each process must know the workers that the store lists.
    void run();

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] model_counts counts() const;

    // Used by the processes.
    [[nodiscard]] model_store& store() { return m_store; }
    [[nodiscard]] worker_fleet& fleet() { return m_fleet; }
    [[nodiscard]] chance& random() { return m_random; }
    /// @brief Sends a datagram, which may be lost.
    void send(std::size_t from, const std::string& to, std::function<void(model_process&)> message);
    /// @brief Calls another process.
    void call(std::size_t from, const std::string& to, std::function<void(model_process&)> message);
    /// @brief Brings an answer to the process that called.
    void answer(std::size_t from, std::size_t to, std::function<void()> message);
    [[nodiscard]] bool is_cut_from_worker(std::size_t process, std::size_t worker) const;
    [[nodiscard]] boot_clock::duration draw_connect_time();
    /// @brief Adds the requests of one process since an instant to its report.
    void add_demand(entry_report& report, instant since);

    // Used by the history.
    [[nodiscard]] event_queue& events() { return m_events; }
    [[nodiscard]] event_journal& journal() { return m_journal; }
    [[nodiscard]] model_conditions& conditions() { return m_conditions; }
    [[nodiscard]] link_cuts& cuts() { return m_cuts; }
    [[nodiscard]] std::size_t process_count() const { return m_places.size(); }
    [[nodiscard]] std::optional<std::size_t> coordinator() const;
    [[nodiscard]] bool is_running(std::size_t process) const
    {
        return m_places[process].process != nullptr;
    }
    void start(std::size_t process, bool is_first_start = false);
    void kill(std::size_t process);
    void stop(std::size_t process, boot_clock::duration restart_after);
    void freeze(std::size_t process, boot_clock::duration time);
    void slow_down(std::size_t process, boot_clock::duration time);

  private:
    /// An address, and the process that runs there.
    struct place
    {
        process_place where;
        std::unique_ptr<model_process> process; ///< null: none runs
        instant next_poll{};
        instant frozen_until{};
        instant slow_until{};
        instant started{};
    };

    void run_for(boot_clock::duration time);
    void poll_all();
    void check_views();
    void take_log_line(const std::string& text);
    [[nodiscard]] bool is_excused(std::size_t process, std::size_t worker) const;
    void move_hot_keys();

    model_settings m_settings;
    chance m_random;
    event_queue m_events;
    event_journal m_journal;
    model_conditions m_conditions;
    link_cuts m_cuts;
    model_store m_store;
    worker_fleet m_fleet;
    std::vector<place> m_places;
    std::map<std::string, std::size_t, std::less<>> m_addresses; ///< index by address
    std::map<std::string, instant> m_changed;                    ///< last change of an entry, by id
    std::vector<std::string> m_violations;
    std::size_t m_polled{}; ///< process that runs now
    std::uint32_t m_hot_first{};
    std::uint32_t m_hot_size{1};
    std::uint64_t m_moves{};
    std::uint64_t m_starts{};
};

} // namespace eelgrassrail::test
