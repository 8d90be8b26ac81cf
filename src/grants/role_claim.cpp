/// Derives a claim from the newest ownership record.
#include <eelgrassrail/grants/role_claim.hpp>

#include <algorithm>

namespace eelgrassrail
{

role_claim::role_claim(const std::optional<recorded_ownership>& base, const claimant& who,
                       instant now)
{
    if (base)
    {
        m_record = base->record;
        m_before = base->record.coordinator;
        const auto times = base->record.find_lease_times();
        // A record without lease times is of an earlier version: its coordinator may have claimed
        // just before.
        const auto lease = std::max(who.lease, times ? times->own : millis(0));
        const auto earlier = times ? times->earlier : role_lease + lease;
        m_known_until = base->read_at + earlier;
        if (m_before.address.empty())
            m_known_until = std::max(m_known_until, base->read_at + lease);
        else if (m_before.address == who.self.address)
            m_known_until = std::max(m_known_until, who.started + lease);
        else
            m_live_lease = lease;
    }
    if (base && m_record.find_grant_hold() > millis(0))
        m_grants_from = base->read_at + m_record.find_grant_hold();
    if (who.is_restored)
    {
        // A coordinator whose record is gone may send grants until it learns of the restore.
        m_known_until = std::max(m_known_until, now + role_lease + who.lease);
        m_grants_from = std::max(m_grants_from, m_known_until);
    }
    if (!who.members.empty())
        m_record.members = who.members;
    m_record.coordinator = who.self;
    m_record.version = first_version_of(who.era, std::max(m_record.version, who.max_version));
    m_record.set_lease_times(
        {std::max(millis(0), std::chrono::ceil<millis>(leases_until(now) - now)), who.lease});
    m_record.set_grant_hold(std::chrono::ceil<millis>(m_grants_from - now));
}

instant role_claim::leases_until(instant recorded_by) const noexcept
{
    if (m_live_lease == millis(0))
        return m_known_until;
    return std::max(m_known_until, recorded_by + role_lease + m_live_lease);
}

} // namespace eelgrassrail
