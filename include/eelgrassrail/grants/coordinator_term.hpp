/// The time in which a process holds the coordinator role.
#pragma once

#include <eelgrassrail/grants/role_claim.hpp>

#include <algorithm>

namespace eelgrassrail
{

/// Begins when a claim is on record and ends when the process learns of a successor or resigns. In
/// between, grants are allowed only while the absence of a successor was confirmed recently.
class coordinator_term
{
  public:
    /// @param epoch of the claim
    /// @param confirmed_at start of the call that put the claim on record
    /// @param earlier_leases_until when all leases granted in earlier epochs have ended
    void begin(std::uint64_t epoch, instant confirmed_at, instant earlier_leases_until) noexcept;

    /// @brief Allows no grants before an instant: the owners on record may not be the latest. A
    /// later instant stays in force, in later terms too.
    void hold_grants(instant until) noexcept { m_grants_from = std::max(m_grants_from, until); }

    /// @brief Whether the absence of a successor was last confirmed so long ago that one may have
    /// granted.
    [[nodiscard]] bool has_lapsed(instant now) const noexcept
    {
        return now >= m_confirmed_at + role_lease;
    }

    /// @brief Remaining time without grants.
    [[nodiscard]] millis grant_hold(instant now) const noexcept;

    void end() noexcept { m_is_active = false; }

    /// @brief Records a call that showed that there is no successor.
    /// @param call_start start of that call
    void confirm(instant call_start) noexcept;

    [[nodiscard]] bool is_active() const noexcept { return m_is_active; }

    /// @brief Epoch of the current or last term; 0: none yet.
    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_epoch; }

    [[nodiscard]] bool may_grant(instant now) const noexcept
    {
        return m_is_active && !has_lapsed(now) && now >= m_grants_from;
    }

    /// @brief The lease times for a record that is appended from `now` on.
    /// @param lease longest time that a lease lasts after its grant was sent
    [[nodiscard]] lease_times times(instant now, millis lease) const noexcept;

  private:
    bool m_is_active{};
    std::uint64_t m_epoch{};
    instant m_confirmed_at{};
    instant m_earlier_leases_until{};
    instant m_grants_from{}; ///< none: at once; never decreases, as no term makes up for grants
                             ///< that an earlier one did not know
};

} // namespace eelgrassrail
