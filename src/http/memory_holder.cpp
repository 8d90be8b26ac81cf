/// Reservations of a holder, and of those that give way to it.
#include <eelgrassrail/http/memory_holder.hpp>
#include <eelgrassrail/http/receive_budget.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{

memory_holder::memory_holder(std::shared_ptr<receive_budget> budget, std::size_t free_bytes,
                             std::function<void()> abort)
    : m_budget(std::move(budget))
    , m_free_bytes(free_bytes)
    , m_abort(std::move(abort))
{
    if (m_budget)
        m_budget->add(*this);
}

memory_holder::~memory_holder()
{
    if (m_budget)
        m_budget->release(m_bytes);
}

/// Changes the reservation.
/// @return false if the budget does not allow it
bool memory_holder::reserve(std::size_t bytes)
{
    const auto wanted = bytes - std::min(bytes, m_free_bytes);
    if (!m_budget)
        return true;
    if (wanted <= m_bytes)
        m_budget->release(m_bytes - wanted);
    else if (!m_budget->reserve(wanted - m_bytes))
        return false;
    m_bytes = wanted;
    return true;
}

bool memory_holder::hold(std::size_t bytes)
{
    if (m_was_ended)
        return false;
    while (!reserve(bytes))
        // Of two that hold as much, the one that wants more is ended.
        if (!m_budget->abort_largest(m_bytes))
        {
            abort();
            return false;
        }
    return true;
}

void memory_holder::hold_always(std::size_t bytes)
{
    while (!reserve(bytes) && m_budget->abort_largest(0))
    {
    }
}

void memory_holder::abort()
{
    m_was_ended = true;
    static_cast<void>(reserve(0));
    if (m_budget)
        m_budget->on_ended();
    if (const auto call = std::exchange(m_abort, {}))
        call();
}

} // namespace eelgrassrail
