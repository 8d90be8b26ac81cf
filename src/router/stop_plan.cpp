/// Bounds of a planned stop.
#include <eelgrassrail/router/stop_plan.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// The load balancer checks readiness once a second and removes a process after two failures.
constexpr millis balancer_removal_time{2'600};

/// Part of the grace reserved for the exit of the process. What still runs is cut in the last sixth
/// of the grace, as the platform allows for early requests.
constexpr millis stop_margin{700};
constexpr int max_margin_parts = 8;

/// Time for an answer to leave the process.
constexpr millis answer_time{100};

/// Runs up to this multiple of the typical time are expected.
constexpr int run_time_factor = 6;

} // namespace

stop_plan::stop_plan(instant began, millis grace)
    : m_accepts_until(began + balancer_removal_time)
    , m_cuts_at(began + grace - std::min(stop_margin, grace / max_margin_parts))
    , m_answers_until(m_cuts_at - std::min(answer_time, grace / max_margin_parts))
{
    m_accepts_until = std::min(m_accepts_until, m_answers_until);
}

bool stop_plan::may_pass_on(instant now, instant deadline, millis typical) const noexcept
{
    return deadline <= m_answers_until ||
           (now < m_accepts_until && now + run_time_factor * typical <= m_answers_until);
}

} // namespace eelgrassrail
