/// The standby role for a pool: monitors the lease holder, claims the pool when the holder is
/// silent, and can relinquish its right to claim.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>

#include <cstdint>
#include <optional>

namespace eelgrassrail
{

/// State of one standby for one epoch of one pool. The time is passed in.
class standby_role
{
  public:
    /// @param epoch the epoch that this process is a standby of
    /// @param now start of the silence timeout
    standby_role(epoch_number epoch, instant now)
        : m_epoch(epoch)
        , m_last_contact(now)
    {
    }

    /// @brief The epoch that this process is a standby of.
    [[nodiscard]] epoch_number epoch() const noexcept { return m_epoch; }

    /// @brief Restarts the silence timeout: the holder of this epoch is alive.
    void on_holder_alive(instant now) noexcept { m_last_contact = now; }

    /// @brief Relinquishes the right to claim until a resumption of `number` or higher is read.
    /// @return false if `epoch` is not the role's, or a claim of this process may still be appended
    bool relinquish(epoch_number epoch, std::uint64_t number);

    /// @brief Ends relinquishments up to `number`, after a resumption record was read.
    void on_resumption(std::uint64_t number, instant now);

    /// @brief Whether to claim now.
    /// @param silence_timeout time without contact to the holder after which this standby claims
    [[nodiscard]] bool should_claim(instant now, millis silence_timeout) const;

    /// @brief A claim was passed on for appending; it may be appended at any time from now on.
    void on_claim_sent() noexcept { m_claim_pending = true; }

    /// @brief The claim was read back from the log, or was certainly never sent.
    void on_claim_resolved(instant now) noexcept;

  private:
    epoch_number m_epoch;
    instant m_last_contact; ///< start of the silence timeout
    bool m_claim_pending{}; ///< invariant: true while a claim may still be appended
    std::optional<std::uint64_t> m_relinquished; ///< invariant: no claim is sent while it is set
};

} // namespace eelgrassrail
