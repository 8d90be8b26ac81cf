/// Computation of lease expiry.
#include <eelgrassrail/grants/grant_table.hpp>

#include <algorithm>

namespace eelgrassrail
{

void grant_table::on_grant_sent(const worker_incarnation& worker, instant now)
{
    on_earlier_leases(worker, now + longest_lease());
}

void grant_table::on_earlier_leases(const worker_incarnation& worker, instant until)
{
    auto& expiry = m_expiry[worker];
    expiry = std::max(expiry, until);
}

millis grant_table::longest_lease() const
{
    const auto lease = std::chrono::duration_cast<millis>(std::chrono::duration<double, std::milli>(
        static_cast<double>(m_bounds.lease_duration.count()) * (1.0 + m_bounds.clock_drift)));
    return m_bounds.latest_arrival + lease + m_bounds.margin;
}

void grant_table::on_grant_accepted(const worker_incarnation& worker, const std::string& address)
{
    m_addresses[worker] = address;
}

bool grant_table::on_answer_of_another(const worker_incarnation& worker, const std::string& address,
                                       bool is_registered_there)
{
    const auto it = m_addresses.find(worker);
    const bool is_its_address =
        it != m_addresses.end() ? it->second == address : is_registered_there;
    if (is_its_address)
        m_ended.insert(worker);
    return has_ended(worker);
}

bool grant_table::has_ended(const worker_incarnation& worker) const
{
    return m_ended.contains(worker);
}

bool grant_table::may_hold(const worker_incarnation& worker, instant now) const
{
    return !worker.id.empty() && !has_ended(worker) && now < expires_at(worker);
}

instant grant_table::expires_at(const worker_incarnation& worker) const
{
    const auto it = m_expiry.find(worker);
    return it == m_expiry.end() ? instant::min() : it->second;
}

void grant_table::forget(instant now)
{
    constexpr std::chrono::minutes retention{2}; // longer than entries of lost workers are used
    std::erase_if(m_expiry, [&](const auto& item) { return item.second + retention < now; });
    std::erase_if(m_addresses, [&](const auto& item) { return !m_expiry.contains(item.first); });
    std::erase_if(m_ended, [&](const auto& worker) { return !m_expiry.contains(worker); });
}

} // namespace eelgrassrail
