/// The workers known to this process, built from the stream of worker changes.
#pragma once

#include <eelgrassrail/registry/leaving_workers.hpp>
#include <eelgrassrail/registry/worker_change.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// The state of one worker.
struct known_worker
{
    worker_entry entry;
    std::uint64_t offset{};   ///< of the newest change
    std::uint64_t revision{}; ///< registry revision of the newest change other than of `cold_ms`
    instant changed{};        ///< when this process applied the newest change
    bool is_listed{};         ///< false: the entry was removed
    instant address_since{};  ///< when this process first knew the address of this incarnation
    bool has_other_address{}; ///< entries have named several addresses for this incarnation
    instant leaving_since{}; ///< when its answers said so, whatever `entry` says; none: they do not

    /// @brief Whether the worker accepts new requests.
    [[nodiscard]] bool accepts_work() const noexcept
    {
        return is_listed && !entry.is_leaving && leaving_since == instant{};
    }

    /// @brief Whether the entry is the worker's own beyond doubt: a worker would have replaced one
    /// of another writer by now.
    /// @param time longer than the interval at which workers renew their entries
    [[nodiscard]] bool has_settled_address(instant now, millis time) const noexcept
    {
        return !has_other_address && now >= address_since + time;
    }

    /// @brief Whether the worker is still warming up.
    [[nodiscard]] bool is_cold(instant now) const noexcept
    {
        return now < changed + millis(entry.cold_ms);
    }
};

/// Workers by id. Changes may arrive in any order and repeatedly; for each id the change with
/// the highest offset counts, and of two with the same one the removal. Removed workers are
/// retained for a time, since they may still hold keys.
class worker_registry
{
  public:
    /// @brief Applies one change.
    /// @return whether anything but `cold_ms` has changed
    bool apply(const worker_change& change, instant now);

    /// @brief Applies a complete listing, such as a copy of another process's registry: known
    /// workers that it does not contain are marked as removed. If it is older than this registry,
    /// it adds no worker that was removed since, and removes none.
    /// @param end offset before which the listing is complete
    /// @return whether anything but `cold_ms` has changed
    bool replace(std::span<const worker_change> listing, std::uint64_t end, instant now);

    /// @brief Whether a change from an older view than this one is of a worker that was removed
    /// since.
    /// @param end offset before which this view is complete
    [[nodiscard]] bool is_outdated(const worker_change& change, std::uint64_t end) const noexcept;

    /// @brief The removals that follow from a complete listing. Their offset is the highest that
    /// they can have, `end - 1`: the record of a removal may have been deleted, and a lower offset
    /// would not be applied by a process that knows a later change of the worker.
    [[nodiscard]] std::vector<worker_change> missing_from(std::span<const worker_change> listing,
                                                          std::uint64_t end) const;

    /// @brief Records that all changes before an offset were applied.
    void advance(std::uint64_t end) noexcept { m_end = std::max(m_end, end); }

    /// @brief Finds a worker by id; `nullptr` if it is not known.
    [[nodiscard]] const known_worker* find(std::string_view id) const noexcept;

    /// @brief The workers of a service that accept new requests.
    [[nodiscard]] std::vector<const known_worker*> ready(std::string_view service) const;

    /// @brief The newest change of each worker that changed after a revision.
    [[nodiscard]] std::vector<worker_change> changes_since(std::uint64_t revision) const;

    /// @brief Marks a worker that has said in an answer that it is leaving.
    /// @return false if it was marked
    bool mark_leaving(const worker_incarnation& worker, instant now);

    /// @brief Marks the workers that the coordinator has announced as leaving.
    /// @return those that were not marked
    std::vector<worker_incarnation>
    mark_announced_leaving(std::span<const worker_incarnation> workers, instant now);

    /// @brief Marked workers that are listed as ready, or not known yet.
    [[nodiscard]] std::vector<worker_incarnation> ready_but_leaving() const;

    /// @brief Those of `ready_but_leaving` that the coordinator is to be notified of now.
    [[nodiscard]] std::vector<worker_incarnation> take_leaving_notices(instant now);

    /// @brief Calls a function with each known worker, including removed ones.
    void for_each(const std::function<void(const known_worker&)>& call) const;

    /// @brief Erases workers that were removed before an instant.
    void purge_removed(instant before);

    /// @brief Number of applied changes other than of `cold_ms`.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// @brief Offset before which the registry is complete.
    [[nodiscard]] std::uint64_t end_offset() const noexcept { return m_end; }

    /// @brief Offset after the newest change that it contains, or `end_offset` if that is higher.
    [[nodiscard]] std::uint64_t newest_end() const noexcept
    {
        return std::max(m_end, m_newest_end);
    }

  private:
    void update_leaving(const std::string& id);

    std::map<std::string, known_worker, std::less<>> m_workers;
    leaving_workers m_leaving;
    std::uint64_t m_end{}; ///< invariant: never decreases
    std::uint64_t m_newest_end{};
    std::uint64_t m_revision{};
};

} // namespace eelgrassrail
