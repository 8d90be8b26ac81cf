/// Multiplicative increase and decrease of a worker's pace.
#include <eelgrassrail/limits/pace_controller.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// Tokens that the bucket of a worker holds besides a share of its rate, and that share in seconds;
/// both as in `permit_ledger`.
constexpr double bucket_requests = 2.0;
constexpr double bucket_s = 0.25;

/// Share of the pace that processes use while they can not reach the coordinator.
constexpr double unsupervised_share = 0.3;

/// A permit may be used some time after it was issued, so the requests of a longer time can arrive
/// within a second.
constexpr double spread_s = 0.4;

/// Change per step. A worker that has warmed up reaches its full rate within two seconds.
constexpr double cold_increase = 1.15;
constexpr double warm_increase = 1.35;
constexpr double failure_decrease = 0.5;
constexpr double slow_decrease = 0.8;

/// A few failures are normal for any worker.
constexpr double max_failure_ratio = 0.25;
constexpr std::size_t min_failures = 2;

/// Run times above this multiple of the usual one are slow. A cold worker takes about twice as
/// long, and the speeds of a service's workers differ by less than a factor of three.
constexpr double slow_when_warm = 3.0;
constexpr double slow_when_cold = 5.0;

/// The worker is always offered some requests, since only its answers show that it has recovered.
constexpr double min_per_s = 1.0;

/// The pace ends above this multiple of what the worker can run.
constexpr double end_ratio = 1.25;

} // namespace

pace_bounds make_pace_bounds(double cold_per_s, double overage, double slack) noexcept
{
    const double in_a_second = std::max(cold_per_s, cold_per_s * overage + slack);
    const double sustained =
        (in_a_second - bucket_requests) / (1.0 + bucket_s + unsupervised_share + spread_s);
    pace_bounds bounds;
    bounds.max_cold_per_s = std::max(sustained, std::min(min_per_s, cold_per_s));
    bounds.initial_per_s = std::min(cold_per_s, bounds.max_cold_per_s);
    return bounds;
}

pace_controller::pace_controller(const pace_bounds& bounds, instant cold_until,
                                 instant now) noexcept
    : m_bounds(bounds)
    , m_cold_until(cold_until)
    , m_next_step(now + step)
    , m_per_s(bounds.initial_per_s)
{
}

void pace_controller::set_cold_until(instant until, instant now) noexcept
{
    if (until > now && !is_cold(now))
    {
        m_per_s = std::min(m_per_s, m_bounds.initial_per_s);
        m_has_ended = false;
    }
    m_cold_until = until;
}

void pace_controller::set_bounds(const pace_bounds& bounds, instant now) noexcept
{
    m_bounds = bounds;
    if (is_cold(now))
        m_per_s = std::min(m_per_s, m_bounds.max_cold_per_s);
}

void pace_controller::add(const pace_sample& sample) noexcept
{
    m_seen.answers += sample.answers;
    m_seen.failures += sample.failures;
    m_seen.run_ms = sample.run_ms;
    m_seen.usual_ms = sample.usual_ms;
}

double pace_controller::factor(instant now) const noexcept
{
    const auto ended = static_cast<double>(m_seen.answers + m_seen.failures);
    if (m_seen.failures >= min_failures &&
        static_cast<double>(m_seen.failures) > max_failure_ratio * ended)
        return failure_decrease;
    const double slow = is_cold(now) ? slow_when_cold : slow_when_warm;
    if (m_seen.answers > 0 && m_seen.usual_ms > 0 && m_seen.run_ms > slow * m_seen.usual_ms)
        return slow_decrease;
    return is_cold(now) ? cold_increase : warm_increase;
}

void pace_controller::update(double capacity_per_s, instant now) noexcept
{
    if (m_has_ended || now < m_next_step)
        return;
    m_next_step = now + step;
    // Without requests nothing is known of a cold worker. A warm one is not held back by it.
    if (m_seen.answers + m_seen.failures > 0 || !is_cold(now))
        m_per_s *= factor(now);
    m_seen.answers = 0;
    m_seen.failures = 0;
    m_per_s = std::max(m_per_s, std::min(min_per_s, m_bounds.initial_per_s));
    if (is_cold(now))
        m_per_s = std::min(m_per_s, m_bounds.max_cold_per_s);
    else
        m_has_ended = m_per_s > capacity_per_s * end_ratio;
}

} // namespace eelgrassrail
