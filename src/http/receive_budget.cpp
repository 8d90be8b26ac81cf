/// Reservations, and the choice of the holder that is ended.
#include <eelgrassrail/http/receive_budget.hpp>

#include <algorithm>

namespace eelgrassrail
{

bool receive_budget::reserve(std::size_t bytes) noexcept
{
    if (bytes > m_max_bytes - m_reserved)
        return false;
    m_reserved += bytes;
    m_peak = std::max(m_peak, m_reserved);
    return true;
}

bool receive_budget::reserve_or_reclaim(std::size_t bytes)
{
    while (!reserve(bytes))
        if (!abort_largest(0))
            return false;
    return true;
}

bool receive_budget::abort_largest(std::size_t more_than)
{
    const auto size = [](const memory_holder& holder)
    { return holder.can_end() ? holder.bytes() : 0; };
    const auto it = std::ranges::max_element(m_holders, {}, size);
    if (it == m_holders.end() || size(*it) <= more_than)
        return false;
    it->abort();
    return true;
}

} // namespace eelgrassrail
