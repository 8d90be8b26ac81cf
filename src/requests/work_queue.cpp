/// Implementation of the priority queue of one server.
#include <eelgrassrail/requests/work_queue.hpp>

namespace eelgrassrail
{
namespace
{

constexpr std::uint32_t max_priority = 9;

} // namespace

queue_position work_queue::push(request_number id, std::uint32_t priority)
{
    const queue_position position{max_priority - priority, m_arrivals++};
    m_entries.emplace(position, id);
    ++m_counts[position.rank];
    return position;
}

std::size_t work_queue::ahead_of(std::uint32_t priority) const noexcept
{
    std::size_t n = 0;
    for (const auto& [rank, count] : m_counts)
        if (rank <= max_priority - priority)
            n += count;
    return n;
}

std::optional<request_number> work_queue::pop()
{
    if (m_entries.empty())
        return std::nullopt;
    const auto [position, id] = *m_entries.begin();
    remove(position);
    return id;
}

void work_queue::remove(queue_position position)
{
    if (m_entries.erase(position) > 0)
        --m_counts[position.rank];
}

std::vector<request_number> work_queue::pop_all()
{
    std::vector<request_number> result;
    while (const auto id = pop())
        result.push_back(*id);
    return result;
}

} // namespace eelgrassrail
