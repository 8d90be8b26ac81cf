/// A seeded simulation of the dissemination of state updates through relays, with late and lost
/// messages, and processes that end, freeze or lose the connection to single others.
#pragma once

#include <eelgrassrail/dissemination/member_table.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassrail::test
{

/// How state updates are distributed in a run.
enum class dissemination_scheme : std::uint8_t
{
    trees,     ///< the production scheme: two alternating trees
    flat,      ///< from the coordinator directly to each process
    one_relay, ///< one process of each zone sends to all others of the zone
    one_tree   ///< without the second tree
};

/// Conditions of a run.
struct dissemination_conditions
{
    std::size_t processes{};
    std::size_t zones{5};
    dissemination_scheme scheme{dissemination_scheme::trees};
    std::uint64_t seed{1};
    double lost{};                   ///< ratio of lost datagrams
    double late{};                   ///< ratio of datagrams delayed by another 200 ms
    std::vector<std::size_t> dead;   ///< processes that end 3 s after the start
    std::vector<std::size_t> frozen; ///< from 3 s to 6 s
    std::set<std::pair<std::size_t, std::size_t>>
        cuts{}; ///< pairs without a connection from 3 s on
    std::size_t push_bytes{1'500};
};

/// Results of a run.
struct dissemination_results
{
    millis longest{};            ///< maximum time until a live process received a version
    std::size_t messages{};      ///< datagrams per second
    std::size_t most_bytes{};    ///< maximum sent and received by one process per second
    std::size_t root_sends{};    ///< maximum datagrams sent by the coordinator for one push
    std::size_t unknown_count{}; ///< live processes unknown to the coordinator at the end
};

/// Simulates ten seconds.
class dissemination_model
{
  public:
    explicit dissemination_model(dissemination_conditions conditions);

    dissemination_results run();

  private:
    struct process
    {
        cluster_member member;
        std::uint64_t version{};
        instant last_push{};
        std::size_t parent{};       ///< process that it reports to
        std::set<std::size_t> seen; ///< members whose reports go into its next report
        std::size_t bytes{};
        bool is_waiting{}; ///< it waits for reports of the processes behind it
        instant last_report{};
    };

    using tree_parts = std::vector<relay_part<std::string>>;

    void at(instant when, const std::function<void()>& action);
    void push();
    void relay(std::size_t from, const tree_parts& parts, std::uint64_t version, bool gathers);
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> deliver);
    void receive(std::size_t self, std::size_t from, const std::vector<std::string>& behind,
                 std::uint64_t version, bool gathers);
    void report(std::size_t self, std::size_t to, bool is_orphan);
    void check_orphan(std::size_t self);
    [[nodiscard]] tree_parts plan();
    [[nodiscard]] bool is_dead(std::size_t self) const;
    [[nodiscard]] instant thaw(std::size_t self, instant when) const;

    using event = std::pair<std::pair<instant, std::uint64_t>, std::function<void()>>;
    struct later
    {
        bool operator()(const event& a, const event& b) const { return a.first > b.first; }
    };

    dissemination_conditions m_conditions;
    std::mt19937_64 m_random;
    std::vector<process> m_processes; ///< the first one is the coordinator
    std::map<std::string, std::size_t> m_index;
    std::priority_queue<event, std::vector<event>, later> m_events;
    std::uint64_t m_order{};
    instant m_now{};
    member_table m_table;
    std::uint64_t m_version{};
    std::map<std::uint64_t, instant> m_sent_at;
    dissemination_results m_figures;
};

} // namespace eelgrassrail::test
