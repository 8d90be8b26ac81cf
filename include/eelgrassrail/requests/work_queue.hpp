/// Requests that wait for a slot of one server: by priority, then by arrival.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassrail
{

using request_number = std::uint64_t;

/// Place of an entry in a queue.
struct queue_position
{
    std::uint32_t rank{}; ///< 0 is served first
    std::uint64_t arrival{};

    auto operator<=>(const queue_position&) const = default;
};

/// Queue of one server. Waiting times are bounded by the dispatcher, which removes what expired.
class work_queue
{
  public:
    /// @brief Adds a request.
    /// @return its place, to remove it with
    queue_position push(request_number id, std::uint32_t priority);

    /// @brief Number of entries with at least this priority: those served before a new entry.
    [[nodiscard]] std::size_t ahead_of(std::uint32_t priority) const noexcept;

    /// @brief Takes the first entry.
    std::optional<request_number> pop();

    /// @brief Takes an entry out, such as one whose caller is gone. Unknown places are ignored.
    void remove(queue_position place);

    /// @brief Takes out everything, in order.
    [[nodiscard]] std::vector<request_number> take_all();

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

  private:
    std::map<queue_position, request_number> m_entries;
    std::map<std::uint32_t, std::size_t> m_counts; ///< invariant: entries by rank
    std::uint64_t m_arrivals{};
};

} // namespace eelgrassrail
