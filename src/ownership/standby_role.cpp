/// Conditions under which a standby claims a pool or relinquishes its claim.
#include <eelgrassrail/ownership/standby_role.hpp>

#include <algorithm>

namespace eelgrassrail
{

bool standby_role::relinquish(epoch_number epoch, std::uint64_t number)
{
    if (epoch != m_epoch || m_claim_pending)
        return false;
    m_relinquished = std::max(m_relinquished.value_or(number), number);
    return true;
}

void standby_role::on_resumption(std::uint64_t number, instant now)
{
    if (!m_relinquished || number < *m_relinquished)
        return;
    m_relinquished.reset();
    m_last_contact = std::max(m_last_contact, now);
}

bool standby_role::should_claim(instant now, millis silence_timeout) const
{
    return !m_claim_pending && !m_relinquished && now - m_last_contact > silence_timeout;
}

void standby_role::on_claim_resolved(instant now) noexcept
{
    m_claim_pending = false;
    m_last_contact = now;
}

} // namespace eelgrassrail
