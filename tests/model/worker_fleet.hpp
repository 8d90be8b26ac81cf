/// The workers of the ownership model, as PROTOCOL.md describes them.
#pragma once

#include "chance.hpp"
#include "event_journal.hpp"
#include "event_queue.hpp"
#include "hold_check.hpp"
#include "model_settings.hpp"
#include <eelgrassrail/http/message.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>
#include <eelgrassrail/router/wire_format.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// One process of a worker, from its start to its end.
struct worker_life
{
    std::size_t worker{}; ///< index of the worker
    worker_entry entry;
    double slowness{}; ///< its clock takes this part longer
    instant ended_at{instant::max()};
    std::vector<std::uint64_t> tokens; ///< highest one seen of each key; empty after the end
};

/// Process of the router that called a worker.
struct call_sender
{
    std::size_t process{};
    std::string name; ///< with its start time
};

/// All lives of all workers; their grants and holds.
class worker_fleet
{
  public:
    using life_number = std::size_t;

    /// Facts that the fleet asks for.
    struct links
    {
        /// Whether grants of a process that arrive at a worker now do not count.
        std::function<bool(std::size_t process, std::size_t worker)> is_excused;
        /// A worker's entry has changed; `is_listed` false: it lapsed.
        std::function<void(const worker_entry&, bool is_listed)> publish;
        std::function<void(const std::string&)> on_violation;
        /// What may have led to a grant that breaks a rule.
        std::function<std::string(std::uint64_t token, instant written_at)> explain;
    };

    worker_fleet(event_queue& events, chance& random, event_journal& journal,
                 model_conditions& conditions, links known);

    /// @brief The names and the encoding of grants in this model.
    [[nodiscard]] static wire_format format();

    /// @brief Starts a process of a worker and lists it.
    /// @param address empty: the one that belongs to the worker; an address in use is not taken
    life_number start(std::size_t worker, const std::string& address = {});
    /// @brief Ends the process of a worker, if it runs; its entry lapses some seconds later.
    void end(std::size_t worker);
    /// @brief Publishes the entry of the running process of a worker again.
    void list(std::size_t worker);
    void unlist(std::size_t worker);
    /// @brief Announces that the worker will stop.
    void leave(std::size_t worker);

    [[nodiscard]] std::optional<life_number> running(std::size_t worker) const;
    [[nodiscard]] std::optional<life_number> at_address(const std::string& address) const;
    [[nodiscard]] const worker_life& life(life_number number) const { return m_lives[number]; }
    [[nodiscard]] bool is_up(life_number number) const
    {
        return m_lives[number].ended_at == instant::max();
    }
    [[nodiscard]] std::size_t count() const { return m_running.size(); }
    void resize(std::size_t workers) { m_running.resize(workers); }

    /// @brief Delivers a call that was just written to a worker.
    /// @param on_reply called when the reply has arrived at the sender, unless it is lost
    void deliver(const call_sender& sender, life_number to, const http_call& call,
                 std::function<void(http_reply)> on_reply);

    [[nodiscard]] const hold_check& holds() const { return m_holds; }
    [[nodiscard]] std::uint64_t count_of(violation_kind kind) const
    {
        return m_violations.at(static_cast<std::size_t>(kind));
    }

  private:
    struct parsed_call
    {
        bool is_release{};
        key_grant grant;
        std::string expected_worker;
    };
    struct handled_call
    {
        unsigned status{};
        instant reply_at{};
    };

    [[nodiscard]] static parsed_call parse(const http_call& call);
    handled_call handle(const call_sender& sender, life_number to, const parsed_call& call,
                        instant written_at);
    handled_call take_grant(worker_event event, const parsed_call& call);
    handled_call take_release(worker_event event, const parsed_call& call);
    void report(const key_violation& violation, const worker_event& event);
    [[nodiscard]] std::string name(life_number number) const;
    [[nodiscard]] static std::string own_address(std::size_t worker);

    event_queue& m_events;
    chance& m_random;
    event_journal& m_journal;
    model_conditions& m_conditions;
    links m_links;
    std::deque<worker_life> m_lives;
    std::vector<std::optional<life_number>> m_running; ///< by worker
    hold_check m_holds;
    std::array<std::uint64_t, violation_kinds> m_violations{};
};

} // namespace eelgrassrail::test
