/// Paces of workers that have started or recovered, at the coordinator: it adapts them to how the
/// workers respond, issues the permits for their requests and announces them to all processes.
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// Run time that is assumed until answers have been observed.
constexpr double default_run_ms = 200.0;

/// Time after which a coordinator knows the paces that other processes know.
constexpr millis settling_time{3'000};

/// Intervals, in pushes, at which the paces are announced: while a worker was added or removed
/// lately, and otherwise.
constexpr std::uint64_t changed_paces_interval = 1;
constexpr std::uint64_t paces_interval = 4;

/// Time for which a change is announced at the shorter interval, and for which an empty list is
/// announced at all.
constexpr millis change_repeat_time{500};
constexpr millis empty_repeat_time{3'000};

/// Time after the end of the cold time in which answers of cold runs are still reported.
constexpr millis cold_report_time{500};

} // namespace

double key_coordinator::usual_ms(std::string_view service) const
{
    const auto it = m_usual_ms.find(service);
    return it == m_usual_ms.end() ? default_run_ms : it->second;
}

/// Starts the paces of the workers whose entries say that they are cold.
void key_coordinator::start_paces(instant now)
{
    if (!m_state.routes)
        return;
    for (const auto& settings : m_state.routes->services)
    {
        if (settings.cold_per_s <= 0)
            continue;
        for (const auto* worker : m_state.workers.ready(settings.name))
            if (worker->is_cold(now))
                start_pace(*worker, worker->changed + millis(worker->entry.cold_ms), now);
    }
}

/// Starts the pace of a worker, or prolongs its cold time. Does nothing for a worker of a service
/// that states no rate.
void key_coordinator::start_pace(const known_worker& worker, instant cold_until, instant now)
{
    const auto* settings =
        m_state.routes ? m_state.routes->find_service(worker.entry.service) : nullptr;
    if (settings == nullptr || settings->cold_per_s <= 0)
        return;
    const auto& id = worker.entry.life.id;
    const auto bounds = make_pace_bounds(settings->cold_per_s, m_state.settings.cold_overage,
                                         m_state.settings.cold_slack);
    if (const auto it = m_paces.find(id); it != m_paces.end())
    {
        if (it->second.life == worker.entry.life)
        {
            it->second.pace.set_bounds(bounds, now);
            it->second.pace.set_cold_until(cold_until, now);
            return;
        }
        m_paces.erase(it);
    }
    m_paces.emplace(id, paced_worker{worker.entry.life, {bounds, cold_until, now}});
    m_pace_permits.set({id, bounds.initial_per_s}, now);
    m_paces_changed = now;
    m_next_plan = {};
    m_state.counters.count("paces_started");
    log_info(log_part::ownership,
             "worker paced worker=" + id + " service=" + worker.entry.service +
                 " per_s=" + std::to_string(bounds.initial_per_s) + " cold_ms=" +
                 std::to_string(std::chrono::duration_cast<millis>(cold_until - now).count()));
}

/// Paces a worker that may have turned cold until an entry that it writes from now on says whether
/// it has.
void key_coordinator::presume_cold(const known_worker& worker, instant now)
{
    const auto unknown_time = 2 * m_state.settings.worker_heartbeat;
    if (m_paces.contains(worker.entry.life.id))
        return;
    start_pace(worker, now + unknown_time, now);
    if (const auto it = m_paces.find(worker.entry.life.id); it != m_paces.end())
        it->second.presumed_at = now;
}

/// Adds what a process has observed to the pace of a worker, if it has one.
void key_coordinator::add_to_pace(const worker_report& report)
{
    const auto it = m_paces.find(report.id);
    const auto* worker = m_state.workers.find(report.id);
    if (it == m_paces.end() || worker == nullptr)
        return;
    pace_sample sample;
    sample.answers = report.answers;
    sample.failures = report.failures;
    sample.run_ms = m_workers[report.id].speed.typical_ms();
    sample.usual_ms = usual_ms(worker->entry.service);
    it->second.pace.add(sample);
}

/// Adapts all paces and removes those that have ended. The run times of a cold worker are forgotten
/// when it is warm: they would keep requests away from it, and only requests give new ones.
void key_coordinator::update_paces(instant now)
{
    for (auto it = m_paces.begin(); it != m_paces.end();)
    {
        const auto& id = it->first;
        auto& pace = it->second.pace;
        const auto* worker = m_state.workers.find(id);
        const bool is_gone =
            worker == nullptr || !worker->accepts_work() || worker->entry.life != it->second.life;
        const auto presumed_at = it->second.presumed_at;
        const bool is_known_warm = !is_gone && presumed_at != instant{} &&
                                   worker->changed > presumed_at && !worker->is_cold(now);
        if (!is_gone)
        {
            constexpr double ms_in_s = 1'000.0;
            const double known = m_workers[id].speed.typical_ms();
            pace.update(worker->entry.slots * ms_in_s /
                            (known > 0 ? known : usual_ms(worker->entry.service)),
                        now);
        }
        // Also when the pace ends before all cold runs were reported.
        if (pace.is_cold(m_last_push - cold_report_time) &&
            (!pace.is_cold(now - cold_report_time) || pace.has_ended()))
            m_workers[id].speed = {};
        if (!is_gone && !is_known_warm && !pace.has_ended())
        {
            m_pace_permits.set({id, pace.per_s()}, now);
            ++it;
            continue;
        }
        log_info(log_part::ownership, "worker not paced any more worker=" + id + " why=" +
                                          (is_gone         ? "gone"
                                           : is_known_warm ? "warm by its entry"
                                                           : "full rate") +
                                          " per_s=" + std::to_string(pace.per_s()));
        m_pace_permits.remove(id);
        m_paces_changed = now;
        it = m_paces.erase(it);
    }
}

/// Announces all paces to all processes, with some of the pushes.
void key_coordinator::announce_paces(instant now)
{
    const auto age = now - m_paces_changed;
    const auto interval = age < change_repeat_time ? changed_paces_interval : paces_interval;
    if (m_push_count % interval != 0 ||
        (m_paces.empty() && (m_paces_changed == instant{} || age > empty_repeat_time)))
        return;
    pace_update update;
    update.sender = m_state.self;
    update.is_settled = now - m_coordinating_since > settling_time;
    update.paces = m_pace_permits.limits();
    m_state.paces.apply(update.paces, update.is_settled, now);
    // The trees are used in turn, since their relays differ.
    m_paces_tree =
        m_paces_tree == relay_choice::gathering ? relay_choice::other : relay_choice::gathering;
    m_channels.announce_paces(m_members.plan(m_paces_tree, now), update);
}

} // namespace eelgrassrail
