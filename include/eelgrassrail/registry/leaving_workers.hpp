/// The workers that have said in an answer that they are leaving.
///
/// The entry of such a worker may still say that it is ready, or may be written again: entries are
/// renewed until the worker ends, and the store may be out of reach. So neither an entry nor an
/// answer ends the mark of an incarnation; a new incarnation has none.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Leaving workers by incarnation, with what is needed to notify other processes.
class leaving_workers
{
  public:
    /// @brief Adds a worker that this process has observed to be leaving.
    /// @return false if it was known
    bool add(const worker_incarnation& worker, instant now);

    /// @brief Adds workers that the coordinator has announced.
    /// @return those that were not known
    std::vector<worker_incarnation> add_announced(std::span<const worker_incarnation> workers,
                                                  instant now);

    /// @brief Since when a worker is known to be leaving; std::nullopt if it is not.
    [[nodiscard]] std::optional<instant> since(const worker_incarnation& worker) const;

    /// @brief Whether the coordinator is to be notified of a worker now, because it has not
    /// announced it. The first time at once, then at growing intervals from `notice_interval` on: a
    /// coordinator of an earlier version never announces it.
    [[nodiscard]] bool take_notice(const worker_incarnation& worker, instant now);

    /// @brief Calls a function with each worker.
    void for_each(const std::function<void(const worker_incarnation&)>& call) const;

    /// @brief Removes the workers that were marked before an instant and fulfil a condition.
    void erase_if(instant before, const std::function<bool(const worker_incarnation&)>& condition);

    static constexpr millis notice_interval{250};

  private:
    struct mark
    {
        instant since{};
        instant next_notice{};
        boot_clock::duration interval{notice_interval}; ///< after the next notice
        bool is_announced{};
    };

    std::map<worker_incarnation, mark> m_marks;
};

} // namespace eelgrassrail
