/// Reservations of requests, and the choice of those that are ended to make room.
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/http/request_ledger.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{

request_ledger::request_ledger(std::shared_ptr<receive_budget> budget)
    : m_budget(std::move(budget))
{
}

request_ledger::number request_ledger::begin(instant now, std::function<void()> abort)
{
    const auto id = m_next++;
    auto count_and_abort = [this, abort = std::move(abort)]
    {
        ++m_aborted;
        abort();
    };
    m_requests.try_emplace(id, now, m_budget, std::move(count_and_abort));
    return id;
}

bool request_ledger::hold(number id, std::size_t bytes)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || !it->second.memory.can_end())
        return false; // it was ended
    return it->second.memory.hold(bytes);
}

void request_ledger::complete(number id)
{
    if (const auto it = m_requests.find(id); it != m_requests.end())
        it->second.memory.keep();
}

void request_ledger::hold_answer(number id, std::size_t bytes)
{
    // The worker's answer was within the budget, so it is delivered in any case.
    if (const auto it = m_requests.find(id); it != m_requests.end())
        it->second.memory.hold_always(bytes);
}

void request_ledger::end(number id)
{
    m_requests.erase(id);
}

bool request_ledger::abort_oldest(instant before)
{
    const auto it = std::ranges::find_if(
        m_requests, [before](const auto& item)
        { return item.second.memory.can_end() && item.second.began < before; });
    if (it == m_requests.end())
        return false;
    it->second.memory.abort();
    return true;
}

} // namespace eelgrassrail
