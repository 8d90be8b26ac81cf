/// Reservations of requests, and the choice of those that are ended.
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/http/request_ledger.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{

request_ledger::request_ledger(std::shared_ptr<receive_budget> budget)
    : m_budget(std::move(budget))
{
    if (m_budget)
        m_budget->set_reclaim([this] { return abort_largest(); });
}

request_ledger::~request_ledger()
{
    if (m_budget)
        m_budget->set_reclaim({});
}

request_ledger::number request_ledger::begin(instant now, std::function<void()> abort)
{
    const auto id = m_next++;
    m_requests.emplace(id, request{now, std::move(abort), 0});
    return id;
}

/// Changes a reservation.
/// @return false if the budget does not allow it
bool request_ledger::reserve(request& of, std::size_t bytes)
{
    if (!m_budget)
        return true;
    if (bytes <= of.reserved)
        m_budget->release(of.reserved - bytes);
    else if (!m_budget->reserve(bytes - of.reserved))
        return false;
    of.reserved = bytes;
    return true;
}

/// The incomplete request that holds most of the budget; null: none holds any.
request_ledger::request* request_ledger::largest()
{
    const auto size = [](const auto& item) { return item.second.abort ? item.second.reserved : 0; };
    const auto it = std::ranges::max_element(m_requests, {}, size);
    return it == m_requests.end() || size(*it) == 0 ? nullptr : &it->second;
}

bool request_ledger::hold(number id, std::size_t bytes)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || !it->second.abort)
        return false; // it was ended
    const auto wanted = bytes - std::min(bytes, free_bytes);
    while (!reserve(it->second, wanted))
    {
        // Of two that hold as much, the one that wants more is ended.
        auto* const victim = largest();
        if (victim == nullptr || victim->reserved <= it->second.reserved)
        {
            abort(it->second);
            return false;
        }
        abort(*victim);
    }
    return true;
}

void request_ledger::abort(request& victim)
{
    ++m_aborted;
    static_cast<void>(reserve(victim, 0));
    if (const auto call = std::exchange(victim.abort, {}))
        call();
}

void request_ledger::complete(number id)
{
    if (const auto it = m_requests.find(id); it != m_requests.end())
        it->second.abort = {};
}

void request_ledger::hold_answer(number id, std::size_t bytes)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    const auto wanted = bytes - std::min(bytes, free_bytes);
    // The worker's answer was within the budget, so it is delivered in any case.
    while (!reserve(it->second, wanted) && abort_largest())
    {
    }
}

void request_ledger::end(number id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    static_cast<void>(reserve(it->second, 0));
    m_requests.erase(it);
}

bool request_ledger::abort_largest()
{
    auto* const victim = largest();
    if (victim != nullptr)
        abort(*victim);
    return victim != nullptr;
}

bool request_ledger::abort_oldest(instant before)
{
    const auto it =
        std::ranges::find_if(m_requests, [before](const auto& item)
                             { return item.second.abort && item.second.began < before; });
    if (it == m_requests.end())
        return false;
    abort(it->second);
    return true;
}

} // namespace eelgrassrail
