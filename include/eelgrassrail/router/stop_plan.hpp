/// Times of a planned stop, and which requests are still passed on to workers during it.
#pragma once

#include <eelgrassrail/core/clock.hpp>

namespace eelgrassrail
{

/// A process that stops answers what it passes on. Invariant: `accepts_until() <=
/// answers_until() < cuts_at()` for any grace above zero.
class stop_plan
{
  public:
    /// @param began when the stop was requested
    /// @param grace time from then until the process is killed
    stop_plan(instant began, millis grace);

    /// @brief Until then the load balancer may send new callers; afterwards the listener and idle
    /// connections are closed.
    [[nodiscard]] instant accepts_until() const noexcept { return m_accepts_until; }

    /// @brief The last answers are given by then.
    [[nodiscard]] instant answers_until() const noexcept { return m_answers_until; }

    /// @brief When the process ends, whatever still runs.
    [[nodiscard]] instant cuts_at() const noexcept { return m_cuts_at; }

    /// @brief Whether a request can be passed on to a worker without being cut: its deadline passes
    /// before the process ends, or callers are still accepted and a run of several times the
    /// typical time ends before that.
    [[nodiscard]] bool may_pass_on(instant now, instant deadline, millis typical) const noexcept;

  private:
    instant m_accepts_until;
    instant m_cuts_at;
    instant m_answers_until;
};

} // namespace eelgrassrail
