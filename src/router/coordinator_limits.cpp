/// Rate limits of workers at the coordinator: permits and announcements.
#include <eelgrassrail/limits/permit_times.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// Time after which a coordinator knows all limits that other processes know: they have received
/// its updates, and have notified it of limits that are missing there.
constexpr millis settling_time{3'000};

/// Intervals, in pushes, at which the limits are announced: after a change, which is repeated since
/// datagrams may be lost, and otherwise.
constexpr std::uint64_t changed_limits_interval = 2;
constexpr std::uint64_t limits_interval = 8;

/// Time for which a change is announced at the shorter interval, and for which an empty list is
/// announced at all.
constexpr millis change_repeat_time{500};
constexpr millis empty_repeat_time{3'000};

} // namespace

std::optional<permit_reply> key_coordinator::handle_permit_request(const permit_request& request,
                                                                   instant now)
{
    if (!holds_role())
        return std::nullopt;
    // Later, a limit that is unknown here has been withdrawn, and the sender is not notified yet.
    const bool is_missing = request.is_limited && now - m_coordinating_since < settling_time &&
                            !m_permits.find(request.worker);
    bool is_changed = false;
    if (request.is_limited && (request.is_notice || is_missing))
        is_changed = m_permits.set({request.worker, request.per_s}, now);
    else if (request.is_notice)
        is_changed = m_permits.remove(request.worker);
    if (is_changed)
    {
        log_info(log_part::ownership,
                 "worker limit in force worker=" + request.worker + " per_s=" +
                     (request.is_limited ? std::to_string(request.per_s) : std::string("none")) +
                     " from=" + request.sender);
        m_limits_changed = now;
        m_announces_now = true;
        schedule_push();
    }
    permit_reply reply;
    reply.id = request.id;
    reply.is_granted = true;
    if (!request.wants_permit)
        return reply;
    const auto decision = issue_permit(request, now);
    reply.is_granted = decision.is_granted;
    reply.next_ms = decision.next_ms;
    reply.retry_after_ms = decision.retry_after_ms;
    return reply;
}

/// Issues at most one permit for a request that is repeated.
permit_decision key_coordinator::issue_permit(const permit_request& request, instant now)
{
    constexpr auto retention = 2 * permit_timeout;
    while (!m_issued.empty() && m_issued.front().at < now - retention)
        m_issued.pop_front();
    permit_decision decision;
    decision.is_granted =
        request.is_repeat &&
        std::ranges::any_of(m_issued, [&](const issued_permit& it)
                            { return it.id == request.id && it.sender == request.sender; });
    if (decision.is_granted)
        return decision;
    // A process that asks for a worker without a limit has found it to be cold or unreachable. A
    // renewed entry shows that it is warm.
    if (const auto* known = m_state.workers.find(request.worker);
        !request.is_limited && known != nullptr &&
        now - known->changed > 2 * m_state.settings.worker_heartbeat)
        presume_cold(*known, now);
    decision = m_pace_permits.take(request.worker, request.is_urgent, now);
    if (decision.is_granted)
        decision = m_permits.take(request.worker, request.is_urgent, now);
    if (decision.is_granted)
        m_issued.push_back({request.sender, request.id, now});
    return decision;
}

void key_coordinator::restart_permits(instant now)
{
    m_permits.restart(m_state.limits.limits(), now);
    m_paces.clear();
    m_pace_permits.restart({}, now);
    start_paces(now);
    m_coordinating_since = now;
    m_limits_changed = now;
    m_announces_now = true;
}

/// Announces all limits to all processes, with some of the pushes.
void key_coordinator::announce_limits(instant now)
{
    for (const auto& limit : m_permits.limits())
        if (const auto* known = m_state.workers.find(limit.worker);
            !m_state.workers_unknown && (known == nullptr || !known->is_listed))
        {
            m_permits.remove(limit.worker);
            m_limits_changed = now;
        }
    const auto age = now - m_limits_changed;
    const auto interval = age < change_repeat_time ? changed_limits_interval : limits_interval;
    const bool is_due = std::exchange(m_announces_now, false) || m_push_count % interval == 0;
    limit_update update;
    update.limits = m_permits.limits();
    if (!is_due || (update.limits.empty() && age > empty_repeat_time))
        return;
    update.sender = m_state.self;
    update.is_settled = now - m_coordinating_since > settling_time;
    m_state.limits.apply(update.limits, update.is_settled, now);
    // The trees are used in turn, since their relays differ.
    m_limits_tree =
        m_limits_tree == relay_choice::gathering ? relay_choice::other : relay_choice::gathering;
    m_channels.announce_limits(m_members.plan(m_limits_tree, now), update);
}

} // namespace eelgrassrail
