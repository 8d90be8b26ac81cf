/// At-most-once table of a pool: requests of non-idempotent classes that ran or may have run.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/requests/request.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassrail
{

/// Execution state of a request in the table.
enum class run_state : std::uint8_t
{
    running,  ///< its intent was recorded; it may be running
    done,     ///< its complete answer is known
    unknown,  ///< it may have run; its answer will not become available
    withdrawn ///< it did not run: its entry is removed
};
BOOST_DESCRIBE_ENUM(run_state, running, done, unknown, withdrawn)

/// One request of the table; also the form in which it is replicated to the standbys.
struct history_entry
{
    std::string scope; ///< tenant and Idempotency-Key, see `history_scope`
    std::uint64_t fingerprint{};
    run_state state{};
    slice_index slice{};
    std::string server;           ///< server where it ran or may have run
    std::uint32_t remaining_ms{}; ///< in a replicated entry: how long it may still run
    answer result;                ///< set if `state` is done
};
BOOST_DESCRIBE_STRUCT(history_entry, (),
                      (scope, fingerprint, state, slice, server, remaining_ms, result))

/// Limits of the table.
struct history_limits
{
    millis window{600'000};                  ///< retention of an outcome
    std::size_t entries{100'000};            ///< maximum number of entries
    std::size_t bytes{16UL * 1024UL * 1024}; ///< maximum of `history::bytes()`
};

/// Table of one pool. Entries are not evicted before the window ends: when the table is full, new
/// requests must be refused.
class history
{
  public:
    explicit history(history_limits limits = {})
        : m_limits(limits)
    {
    }

    /// @brief The entry of an earlier attempt; nullptr if there is none.
    [[nodiscard]] const history_entry* find(const std::string& scope) const;

    /// @brief Whether another entry may be added.
    [[nodiscard]] bool has_capacity() const noexcept;

    /// @brief Adds or replaces an entry, or removes it if the new state is withdrawn. An entry that
    ///        is done is not replaced, and one that is unknown does not become running again.
    void record(history_entry entry, instant now);

    /// @brief Removes the entry of a request that did not run.
    void erase(const std::string& scope);

    /// @brief Removes entries older than the window, except those that are running.
    void expire(instant now);

    /// @brief All entries, for a new standby.
    [[nodiscard]] std::vector<history_entry> entries() const;

    /// @brief Estimated size of the table in bytes: answers, scopes and bookkeeping.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  private:
    struct expiry
    {
        instant at;
        std::string scope;
    };

    struct stored_entry
    {
        history_entry entry;
        instant recorded; ///< time of the last change
    };

    static std::size_t size_of(const history_entry& entry) noexcept;

    history_limits m_limits;
    std::unordered_map<std::string, stored_entry> m_entries;
    std::deque<expiry> m_expiries; ///< invariant: sorted by time
    std::size_t m_bytes{};         ///< invariant: sum of `size_of` over all entries
};

/// @brief Key of a request in the table, made of its tenant, class and Idempotency-Key.
[[nodiscard]] std::string history_scope(const request& value);

} // namespace eelgrassrail
