/// Arithmetic of holds.
#include <eelgrassrail/grants/grant_book.hpp>

#include <algorithm>

namespace eelgrassrail
{

void grant_book::on_grant_sent(const worker_life& worker, instant now)
{
    on_unknown_grants(worker, now);
}

void grant_book::on_unknown_grants(const worker_life& worker, instant last_sent)
{
    const auto stretched =
        std::chrono::duration_cast<millis>(std::chrono::duration<double, std::milli>(
            static_cast<double>(m_bounds.hold.count()) * (1.0 + m_bounds.clock_drift)));
    const auto until = last_sent + m_bounds.latest_arrival + stretched + m_bounds.margin;
    auto& free_at = m_free_at[worker];
    free_at = std::max(free_at, until);
}

void grant_book::on_ended(const worker_life& worker)
{
    m_ended.insert(worker);
}

bool grant_book::has_ended(const worker_life& worker) const
{
    return m_ended.contains(worker);
}

bool grant_book::may_hold(const worker_life& worker, instant now) const
{
    return !worker.id.empty() && !has_ended(worker) && now < free_at(worker);
}

instant grant_book::free_at(const worker_life& worker) const
{
    const auto it = m_free_at.find(worker);
    return it == m_free_at.end() ? instant::min() : it->second;
}

void grant_book::forget(instant now)
{
    constexpr std::chrono::minutes kept{2}; // longer than any entry of a lost worker stays in use
    std::erase_if(m_free_at, [&](const auto& item) { return item.second + kept < now; });
    std::erase_if(m_ended, [&](const auto& life) { return !m_free_at.contains(life); });
}

} // namespace eelgrassrail
