/// The workers that this process knows, folded from the stream of their entries.
#pragma once

#include <eelgrassrail/registry/worker_change.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// What is known of one worker.
struct known_worker
{
    worker_entry entry;
    std::uint64_t offset{};   ///< of the newest change
    std::uint64_t revision{}; ///< of the newest change that altered more than the age
    instant changed{};        ///< when this process learned of the newest change
    bool is_listed{};         ///< false: the entry was removed

    /// @brief Whether it may get new work.
    [[nodiscard]] bool takes_work() const noexcept { return is_listed && !entry.is_leaving; }

    /// @brief Whether its start is so recent that it is still slow.
    [[nodiscard]] bool is_cold(instant now) const noexcept
    {
        return now < changed + millis(entry.cold_ms);
    }
};

/// Entries by worker id. Changes may come in any order and more than once; the highest offset of an
/// id decides. Removed workers stay known, since keys may still be held by them.
class worker_registry
{
  public:
    /// @brief Applies one change.
    /// @return whether anything but the age of the entry has changed
    bool apply(const worker_change& change, instant now);

    /// @brief Applies a whole listing: workers that were known before and are missing are removed.
    /// @param end offset before which the listing is complete
    void replace(const std::vector<worker_change>& listing, std::uint64_t end, instant now);

    /// @brief A worker by id; nothing if it was never listed.
    [[nodiscard]] const known_worker* find(std::string_view id) const noexcept;

    /// @brief Whether the address of a worker belongs to one that started later.
    [[nodiscard]] bool is_replaced(const worker_entry& worker) const;

    /// @brief The workers of a service that may get new work.
    [[nodiscard]] std::vector<const known_worker*> ready(std::string_view service) const;

    /// @brief The newest change of each worker that was altered after a revision.
    [[nodiscard]] std::vector<worker_change> changes_since(std::uint64_t revision) const;

    /// @brief Calls with each known worker.
    void for_each(const std::function<void(const known_worker&)>& call) const;

    /// @brief Forgets workers that were removed before an instant.
    void forget_removed(instant before);

    /// @brief Counts the changes that altered more than the age of an entry.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// @brief Highest offset that was applied, plus one; 0 if there was none.
    [[nodiscard]] std::uint64_t end_offset() const noexcept { return m_end; }

  private:
    std::map<std::string, known_worker, std::less<>> m_workers;
    std::uint64_t m_end{};
    std::uint64_t m_revision{};
};

} // namespace eelgrassrail
