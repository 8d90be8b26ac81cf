/// The platform's store in the ownership model: linearizable streams, calls with faults.
#pragma once

#include "chance.hpp"
#include "event_journal.hpp"
#include "event_queue.hpp"
#include "model_settings.hpp"
#include "reply_slot.hpp"
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/router/platform_calls.hpp>

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// A process that calls the store.
struct store_caller
{
    std::size_t process{};
    std::string name;
    boost::asio::any_io_executor executor;
};

/// An ownership record that was sent to the store.
struct sent_append
{
    std::size_t process{};
    bool is_claim{};
    bool is_executed{}; ///< false: it was just sent
};

/// A claim that was executed, and what of the record before it may have misled the claimer.
struct claim_facts
{
    instant at{};
    std::uint64_t epoch{};
    const char* cause{}; ///< empty: the record before it names another process, one epoch earlier
};

/// Streams of records, and the calls of all processes.
class model_store
{
  public:
    model_store(event_queue& events, chance& random, event_journal& journal,
                model_conditions& conditions);

    [[nodiscard]] platform_calls calls_for(const store_caller& caller);

    /// @brief Called with each append to the ownership stream.
    void on_append(std::function<void(const sent_append&)> call) { m_on_append = std::move(call); }

    void put(platform_stream stream, const std::string& key, std::string value);
    /// @brief Deletes the ownership records but the newest ones.
    void compact(std::size_t kept);
    /// @brief Deletes the history of the workers' entries; the newest ones stay listed.
    void compact_workers();
    /// @brief Replaces the ownership stream by a copy of an earlier instant. The other streams lose
    /// nothing, as if their writers had written again.
    void restore(boot_clock::duration age);
    /// @brief Whether there is an entry of a worker.
    [[nodiscard]] bool is_listed(const std::string& id) const
    {
        return log_of(platform_stream::workers).newest.contains(id);
    }

    [[nodiscard]] std::uint64_t claims() const { return m_claims; }

    /// @brief What may have led to a grant that breaks a rule: the kind of the sender's claim, of
    /// an earlier one, or that there was a later claim when the grant was written.
    [[nodiscard]] std::string explain(std::uint64_t token, instant written_at) const;
    [[nodiscard]] std::uint64_t appends() const { return m_appends; }

  private:
    struct stream_log
    {
        std::vector<stream_record> records; ///< with offsets of no era
        std::vector<instant> appended;      ///< when, by offset
        std::uint64_t first{};              ///< offset of the first record that is retained
        std::map<std::string, std::uint64_t> newest; ///< offset by key
    };
    struct waiting_read
    {
        platform_stream stream{};
        std::uint64_t from{};
        std::function<void()> wake;
    };
    /// How a call ends.
    struct call_fate
    {
        std::size_t process{};
        bool is_executed{};
        bool is_answered{};
        bool is_refused{};
        boot_clock::duration way{};  ///< until it is executed
        boot_clock::duration back{}; ///< until the answer arrives
    };

    using page_slot = reply_slot<std::optional<stream_page>>;
    using outcome_slot = reply_slot<append_outcome>;

    boost::asio::awaitable<std::optional<stream_page>>
    read(store_caller caller, platform_stream stream, std::uint64_t from, millis wait);
    boost::asio::awaitable<std::optional<stream_page>> newest(store_caller caller,
                                                              platform_stream stream);
    boost::asio::awaitable<append_outcome> append(store_caller caller, std::string text,
                                                  std::uint64_t at);

    void note_claim(const ownership_record& claim);
    [[nodiscard]] call_fate draw_fate(std::size_t process, bool is_append);
    void answer(const std::weak_ptr<page_slot>& slot, stream_page page, const call_fate& fate);
    /// Whether an answer of an era counts at a process: it has seen no later one.
    [[nodiscard]] bool is_accepted(std::size_t process, std::uint64_t era);
    void execute_read(const std::weak_ptr<page_slot>& slot, platform_stream stream,
                      std::uint64_t from, millis wait, const call_fate& fate);
    append_outcome execute_append(const store_caller& caller, const std::string& text,
                                  std::uint64_t at, const std::string& note);
    [[nodiscard]] stream_page page_from(platform_stream stream, std::uint64_t from) const;
    [[nodiscard]] stream_page newest_page(platform_stream stream) const;
    [[nodiscard]] stream_log& log_of(platform_stream stream)
    {
        return m_streams.at(static_cast<std::size_t>(stream));
    }
    [[nodiscard]] const stream_log& log_of(platform_stream stream) const
    {
        return m_streams.at(static_cast<std::size_t>(stream));
    }

    event_queue& m_events;
    chance& m_random;
    event_journal& m_journal;
    model_conditions& m_conditions;
    std::array<stream_log, 3> m_streams;
    std::uint64_t m_era{};                            ///< number of restores
    std::map<std::size_t, std::uint64_t> m_seen_eras; ///< by process
    std::list<waiting_read> m_waiting;
    std::function<void(const sent_append&)> m_on_append;
    route_table m_routes;
    std::deque<claim_facts> m_claim_facts;
    std::uint64_t m_claims{};
    std::uint64_t m_appends{};
};

} // namespace eelgrassrail::test
