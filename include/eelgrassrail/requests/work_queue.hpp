/// Queue of requests that wait for a slot of one server, ordered by priority and arrival.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassrail
{

using request_number = std::uint64_t;

/// Position of an entry in a queue.
struct queue_position
{
    std::uint32_t rank{}; ///< highest priority has rank 0
    std::uint64_t arrival{};

    auto operator<=>(const queue_position&) const = default;
};

/// Priority queue of one server, FIFO within a priority. The dispatcher removes expired requests.
class work_queue
{
  public:
    /// @brief Adds a request.
    /// @param priority 0 to 9; a higher priority is served first
    /// @return its position, for `remove`
    queue_position push(request_number id, std::uint32_t priority);

    /// @brief Number of entries that would be served before a new entry of this priority.
    [[nodiscard]] std::size_t ahead_of(std::uint32_t priority) const noexcept;

    /// @brief Removes and returns the first entry; empty if the queue is empty.
    std::optional<request_number> pop();

    /// @brief Removes an entry, for example when its caller has disconnected. Unknown positions are
    ///        ignored.
    void remove(queue_position position);

    /// @brief Removes and returns all entries, in order.
    [[nodiscard]] std::vector<request_number> pop_all();

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

  private:
    std::map<queue_position, request_number> m_entries;
    std::map<std::uint32_t, std::size_t> m_counts; ///< invariant: number of entries by rank
    std::uint64_t m_arrivals{};
};

} // namespace eelgrassrail
