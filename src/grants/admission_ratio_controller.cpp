/// Admission ratio from estimates, corrected by the utilization of the slots.
#include <eelgrassrail/grants/admission_ratio_controller.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Target for the requests at a worker, as a multiple of its slots. Some requests wait, so that no
/// slot stays free until the next one arrives.
constexpr double target_utilization = 1.5;

/// Relative change of the admission ratio per unit of missing utilization. Router processes apply a
/// new ratio after about two updates, and the queue itself integrates, so the integral gain is
/// small.
constexpr double proportional_gain = 0.3;
constexpr double integral_gain = 0.02;

/// A worker whose requests are limited and that uses less than this part of its slots has spare
/// capacity: admitted requests do not run there, e.g. because it rejects some of them. The
/// correction then grows faster.
constexpr double idle_utilization = 0.7;
constexpr double idle_gain = 0.15;

/// Consecutive updates after which this is assumed. A queue may run empty for a moment.
constexpr unsigned min_idle_updates = 4;

constexpr double max_proportional_change = 0.5; ///< relative
constexpr double min_correction = 0.5;
constexpr double max_correction = 4.0;

/// Part by which the correction returns to 1 per update while all requests are admitted; takes some
/// seconds.
constexpr double decay = 0.05;

} // namespace

double admission_ratio_controller::update(const worker_demand& demand) noexcept
{
    const double utilization = demand.in_flight / static_cast<double>(std::max(1U, demand.slots));
    const double error = target_utilization - utilization;
    const bool is_limited = m_ratio < 1.0;
    m_idle_updates = utilization < idle_utilization ? m_idle_updates + 1 : 0;
    const double gain = m_idle_updates >= min_idle_updates ? idle_gain : integral_gain;
    m_correction += is_limited ? m_correction * gain * std::clamp(error, -2.0, 2.0)
                               : decay * (1.0 - m_correction);
    m_correction = std::clamp(m_correction, min_correction, max_correction);
    const double proportional = 1.0 + std::clamp(proportional_gain * error,
                                                 -max_proportional_change, max_proportional_change);
    m_ratio =
        demand.request_rate > 0
            ? std::min(1.0, demand.capacity * m_correction * proportional / demand.request_rate)
            : 1.0;
    return m_ratio;
}

} // namespace eelgrassrail
