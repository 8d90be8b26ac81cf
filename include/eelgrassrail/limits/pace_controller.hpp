/// Finds the rate of requests that a worker can take after a start or a recovery.
///
/// Answers a load in which many callers reach a worker that is still cold: it is slow, and crashes
/// at a rate well above the one that its service states. A fixed share of the demand either floods
/// it or leaves it idle, so the rate follows from how the worker responds.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstddef>

namespace eelgrassrail
{

/// Rates of one worker, in requests per second.
struct pace_bounds
{
    double initial_per_s{};  ///< positive; that a cold worker tolerates
    double max_cold_per_s{}; ///< while the worker is cold; not below `initial_per_s`
};

/// How a worker has responded since the last step.
struct pace_sample
{
    std::size_t answers{};  ///< complete answers without a failure
    std::size_t failures{}; ///< incomplete answers, refusals and answers that report a failure
    double run_ms{};        ///< typical run time of its requests; 0: unknown
    double usual_ms{};      ///< typical run time at the workers of its service; 0: unknown
};

/// @brief The bounds of the workers of a service.
/// @param cold_per_s rate that a cold worker tolerates
/// @param overage,slack a cold worker gets at most `cold_per_s * overage + slack` requests in any
/// second, from all processes; 0: only `cold_per_s` is known
[[nodiscard]] pace_bounds make_pace_bounds(double cold_per_s, double overage,
                                           double slack) noexcept;

/// The pace of one worker incarnation: multiplicative increase while it responds well, decrease
/// while it does not.
class pace_controller
{
  public:
    /// @param cold_until when the worker stops being cold, as far as known
    pace_controller(const pace_bounds& bounds, instant cold_until, instant now) noexcept;

    /// @brief The worker is cold until the given instant. If it was warm, it starts over.
    void set_cold_until(instant until, instant now) noexcept;

    /// @brief Applies the bounds of a changed configuration.
    void set_bounds(const pace_bounds& bounds, instant now) noexcept;

    /// @brief Adds what was observed since the last call.
    void add(const pace_sample& sample) noexcept;

    /// @brief Adapts the pace, at most once per `step`.
    /// @param capacity_per_s rate that keeps all slots busy
    void update(double capacity_per_s, instant now) noexcept;

    /// @brief Requests per second that all processes together may send.
    [[nodiscard]] double per_s() const noexcept { return m_per_s; }

    [[nodiscard]] bool is_cold(instant now) const noexcept { return now < m_cold_until; }

    /// @brief Whether the worker is warm and needs no pace any more.
    [[nodiscard]] bool has_ended() const noexcept { return m_has_ended; }

    static constexpr millis step{250};

  private:
    [[nodiscard]] double factor(instant now) const noexcept;

    pace_bounds m_bounds;
    instant m_cold_until;
    instant m_next_step;
    double m_per_s; ///< invariant: at most `m_bounds.max_cold_per_s` while cold
    bool m_has_ended{};
    pace_sample m_seen; ///< since the last step; the latest times
};

} // namespace eelgrassrail
