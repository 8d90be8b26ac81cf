/// Begin, confirmation and lease times of a term.
#include <eelgrassrail/grants/coordinator_term.hpp>

#include <algorithm>

namespace eelgrassrail
{

void coordinator_term::begin(std::uint64_t epoch, instant confirmed_at,
                             instant earlier_leases_until) noexcept
{
    m_is_active = true;
    m_epoch = epoch;
    m_confirmed_at = confirmed_at;
    m_earlier_leases_until = earlier_leases_until;
}

void coordinator_term::confirm(instant call_start) noexcept
{
    m_confirmed_at = std::max(m_confirmed_at, call_start);
}

millis coordinator_term::grant_hold(instant now) const noexcept
{
    return std::max(millis(0), std::chrono::ceil<millis>(m_grants_from - now));
}

lease_times coordinator_term::times(instant now, millis lease) const noexcept
{
    const auto left = std::chrono::ceil<millis>(m_earlier_leases_until - now);
    return {std::max(millis(0), left), lease};
}

} // namespace eelgrassrail
