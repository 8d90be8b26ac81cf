/// A standby's side of a pool: it watches the holder, may relinquish its right to claim, and
/// claims.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>

#include <cstdint>
#include <optional>

namespace eelgrassrail
{

/// State of one standby for one epoch of one pool. Time is passed in.
class standby_duty
{
  public:
    /// @param epoch the epoch that this process is a standby of
    /// @param now the watch over the holder starts here
    standby_duty(epoch_number epoch, instant now)
        : m_epoch(epoch)
        , m_heard(now)
    {
    }

    /// @brief The epoch that this process is a standby of.
    [[nodiscard]] epoch_number epoch() const noexcept { return m_epoch; }

    /// @brief The holder of this epoch was heard.
    void on_holder_heard(instant now) noexcept { m_heard = now; }

    /// @brief The holder asks for a standing relinquishment.
    /// @return whether it is given; never while a claim of this process may still land
    bool relinquish(epoch_number epoch, std::uint64_t number);

    /// @brief A resumption record was read: relinquishments up to `number` end.
    void on_resumption(std::uint64_t number, instant now);

    /// @brief Whether to claim now.
    /// @param patience silence after which this standby claims
    [[nodiscard]] bool wants_claim(instant now, millis patience) const;

    /// @brief A claim was handed over for appending; it may land at any time from now on.
    void on_claim_sent() noexcept { m_claim_open = true; }

    /// @brief The claim was met in the log, or certainly never sent.
    void on_claim_resolved(instant now) noexcept;

  private:
    epoch_number m_epoch;
    instant m_heard;
    bool m_claim_open{};                         ///< invariant: true while a claim may still land
    std::optional<std::uint64_t> m_relinquished; ///< invariant: no claim is sent while it is set
};

} // namespace eelgrassrail
