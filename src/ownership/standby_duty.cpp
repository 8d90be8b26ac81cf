/// Rules of a standby.
#include <eelgrassrail/ownership/standby_duty.hpp>

#include <algorithm>

namespace eelgrassrail
{

bool standby_duty::relinquish(epoch_number epoch, std::uint64_t number)
{
    if (epoch != m_epoch || m_claim_open)
        return false;
    m_relinquished = std::max(m_relinquished.value_or(number), number);
    return true;
}

void standby_duty::on_resumption(std::uint64_t number, instant now)
{
    if (!m_relinquished || number < *m_relinquished)
        return;
    m_relinquished.reset();
    m_heard = std::max(m_heard, now);
}

bool standby_duty::wants_claim(instant now, millis patience) const
{
    return !m_claim_open && !m_relinquished && now - m_heard > patience;
}

void standby_duty::on_claim_resolved(instant now) noexcept
{
    m_claim_open = false;
    m_heard = now;
}

} // namespace eelgrassrail
