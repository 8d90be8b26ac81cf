/// Application of the workers' stream, as this process reads it, to its registry.
///
/// Entries of living workers lapse during an outage of the store and are written again after it, so
/// removals are deferred then. The length of an outage follows from the instants at which the store
/// is known to have answered any process, not from the failed reads of this one: it may be the only
/// one that was cut off, and the removals that it reads then are in force for the others.
///
/// The registry counts as complete only up to the first deferred removal: whoever takes over from
/// this process, or from a copy of its state, reads that removal again.
#pragma once

#include <eelgrassrail/registry/worker_registry.hpp>

#include <optional>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Position in the workers' stream and the removals that are not in force yet.
class worker_feed
{
  public:
    /// @param workers has to outlive the feed
    /// @param report_interval at which workers renew their entries
    worker_feed(worker_registry& workers, millis report_interval) noexcept
        : m_workers(workers)
        , m_report_interval(report_interval)
        , m_min_outage(std::chrono::duration_cast<millis>(lapse_intervals * report_interval))
    {
    }

    /// @brief Offset to read from.
    [[nodiscard]] std::uint64_t position() const noexcept;

    /// @brief Applies records in the order of the stream.
    /// @param end offset to continue from; the records before it were all read
    /// @return whether the registry has changed
    bool apply_records(std::span<const worker_change> records, std::uint64_t end, instant now);

    /// @brief Applies a complete listing of the workers, from the store or from another process.
    /// @param end offset before which the listing is complete
    /// @param overwritten removals of the workers under whose ids the listing has an entry of
    /// another writer. The worker's own entry was overwritten, or it was removed before; if it
    /// lives, it writes its entry again within a report interval. Until then the removal is
    /// deferred.
    /// @return whether the registry has changed
    bool apply_listing(std::span<const worker_change> listing, std::uint64_t end, instant now,
                       std::span<const worker_change> overwritten = {});

    /// @brief Applies the deferred changes that are due.
    /// @return whether the registry has changed
    bool apply_due(instant now);

    /// @brief Records that the store has answered some process between two instants. An answer from
    /// before the last known one changes nothing.
    void on_store_answered(instant earliest, instant latest) noexcept;

    /// @brief When the deferred changes are due; none: there are no deferred ones.
    [[nodiscard]] std::optional<instant> due_at() const noexcept;

    /// @brief Forgets the position and the deferred changes, as another process reads the stream
    /// from now on.
    void reset() noexcept;

    /// Worker entries that lapsed during an outage of the store are written again within about two
    /// seconds after it.
    static constexpr millis reregistration_window{2'200};

    /// In a store that was restored from a copy, an entry of a worker that had left is not used
    /// within this time. Whatever the worker or its successor wrote last is written again by then,
    /// so an entry that stays is in force.
    static constexpr millis revival_delay{3'000};

    /// An entry lapses three report intervals after the last report. That may be one interval
    /// before an outage, so shorter ones than two lapse nothing. The time between two known answers
    /// is longer than the outage between them, by half an interval or more.
    static constexpr double lapse_intervals = 2.5;

  private:
    /// A removal, or an entry of a worker that had left, that is not in force yet.
    struct deferred_change
    {
        worker_change change;
        std::uint64_t complete_until{}; ///< whoever reads from there on learns of the change
        instant due{};
    };

    bool apply_listed(const worker_change& change, std::uint64_t complete_until, std::uint64_t end,
                      instant now);
    bool apply_or_defer(const worker_change& change, std::uint64_t complete_until, instant now);
    void advance();
    void on_era(std::uint64_t end, instant now);
    [[nodiscard]] const known_worker* find_ambiguous(const worker_change& change) const;

    worker_registry& m_workers;
    const millis m_report_interval;
    const millis m_min_outage;      ///< time without an answer after which removals are deferred
    instant m_answered{};           ///< last instant at which the store is known to have answered
    std::uint64_t m_position{};     ///< offset up to which this process has read
    std::uint64_t m_restored_end{}; ///< end of the first listing after a restore of the store
    instant m_removals_from{};      ///< removals before this instant are deferred
    std::vector<deferred_change> m_deferred; ///< changes that are not in force yet
};

} // namespace eelgrassrail
