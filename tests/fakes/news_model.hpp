/// A seeded model of processes that hear news through relays: messages that are late or lost,
/// processes that freeze, start again or are cut off from single others.
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

/// How news travel in a run.
enum class news_way : std::uint8_t
{
    trees,     ///< as shipped
    flat,      ///< from the coordinator to each process
    one_relay, ///< one process of each zone tells all others of it
    one_tree   ///< as shipped, without the second tree
};

/// Conditions of a run.
struct news_conditions
{
    std::size_t processes{};
    std::size_t zones{5};
    news_way way{news_way::trees};
    std::uint64_t seed{1};
    double lost{};                   ///< share of the datagrams that is lost
    double late{};                   ///< share that takes 200 ms longer
    std::vector<std::size_t> dead;   ///< processes that end 3 s after the start
    std::vector<std::size_t> frozen; ///< from 3 s to 6 s
    std::set<std::pair<std::size_t, std::size_t>> cuts{}; ///< pairs without a path from 3 s on
    std::size_t push_bytes{1'500};
};

/// What a run has shown.
struct news_figures
{
    millis longest{};            ///< until a version was heard by a process that lives
    std::size_t messages{};      ///< datagrams of a second
    std::size_t most_bytes{};    ///< sent and received by one process in a second
    std::size_t root_sends{};    ///< datagrams that the coordinator sends for one push, at most
    std::size_t unknown_count{}; ///< living processes that the coordinator does not know at the end
};

/// Plays ten seconds.
class news_model
{
  public:
    explicit news_model(news_conditions conditions);

    news_figures run();

  private:
    struct process
    {
        news_member member;
        std::uint64_t version{};
        instant last_push{};
        std::size_t parent{};       ///< whom it reports to
        std::set<std::size_t> seen; ///< members whose reports wait for the next one upwards
        std::size_t bytes{};
        bool is_waiting{}; ///< its report waits for those behind it
        instant last_report{};
    };

    using tree_parts = std::vector<relay_part<std::string>>;

    void at(instant when, const std::function<void()>& action);
    void push();
    void relay(std::size_t from, const tree_parts& parts, std::uint64_t version, bool gathers);
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> deliver);
    void hear(std::size_t self, std::size_t from, const std::vector<std::string>& behind,
              std::uint64_t version, bool gathers);
    void report(std::size_t self, std::size_t to, bool is_orphan);
    void look_after(std::size_t self);
    [[nodiscard]] tree_parts plan();
    [[nodiscard]] bool is_dead(std::size_t self) const;
    [[nodiscard]] instant thaw(std::size_t self, instant when) const;

    using event = std::pair<std::pair<instant, std::uint64_t>, std::function<void()>>;
    struct later
    {
        bool operator()(const event& a, const event& b) const { return a.first > b.first; }
    };

    news_conditions m_conditions;
    std::mt19937_64 m_random;
    std::vector<process> m_processes; ///< the first one coordinates
    std::map<std::string, std::size_t> m_index;
    std::priority_queue<event, std::vector<event>, later> m_events;
    std::uint64_t m_order{};
    instant m_now{};
    member_table m_table;
    std::uint64_t m_version{};
    std::map<std::uint64_t, instant> m_sent_at;
    news_figures m_figures;
};

} // namespace eelgrassrail::test
