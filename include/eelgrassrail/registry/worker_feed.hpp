/// Application of the workers' stream, as this process reads it, to its registry.
///
/// After an outage of the store removals are deferred, since entries of living workers may have
/// lapsed meanwhile.
///
/// The registry counts as complete only up to the first deferred removal: whoever takes over from
/// this process, or from a copy of its state, reads that removal again.
#pragma once

#include <eelgrassrail/registry/worker_registry.hpp>

#include <span>
#include <vector>

namespace eelgrassrail
{

/// Position in the workers' stream and the removals that are not in force yet.
class worker_feed
{
  public:
    /// @param workers has to outlive the feed
    explicit worker_feed(worker_registry& workers) noexcept
        : m_workers(workers)
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
    /// @return whether the registry has changed
    bool apply_listing(std::span<const worker_change> listing, std::uint64_t end, instant now);

    /// @brief Applies the deferred removals that are due.
    /// @return whether the registry has changed
    bool apply_due(instant now);

    /// @brief Records that the store has answered again after it did not.
    void on_store_returned(instant now) noexcept { m_removals_from = now + reregistration_window; }

    /// @brief Forgets the position and the deferred removals, as another process reads the stream
    /// from now on.
    void reset() noexcept;

    /// Worker entries that lapsed during an outage of the store are written again within about two
    /// seconds after it.
    static constexpr millis reregistration_window{2'200};

  private:
    /// A removal that is not in force yet.
    struct deferred_removal
    {
        worker_change change;
        std::uint64_t complete_until{}; ///< whoever reads from there on learns of the removal
    };

    bool apply_or_defer(const worker_change& change, std::uint64_t complete_until, instant now);
    void advance();

    worker_registry& m_workers;
    std::uint64_t m_position{};               ///< offset up to which this process has read
    instant m_removals_from{};                ///< removals before this instant are deferred
    std::vector<deferred_removal> m_deferred; ///< removals that an outage may have caused
};

} // namespace eelgrassrail
