/// Dispatcher: condition, probes and grants of the pool's servers.
#include <eelgrassrail/requests/dispatcher.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

constexpr millis grant_interval{300};
constexpr millis probe_interval{250};
constexpr unsigned lost_probe_count = 2;
constexpr double share_after_recovery = 0.34;

} // namespace

void dispatcher::update_workers(const service_spec& spec, std::span<const std::string> workers,
                                instant now)
{
    for (const auto& id : workers)
    {
        const auto it = std::ranges::find(spec.workers, id, &worker_spec::id);
        if (it == spec.workers.end())
            continue;
        const auto [entry, is_new] = m_workers.try_emplace(id);
        auto& worker = entry->second;
        if (is_new)
            worker.granted_until = now + grant_duration; // previous holder's grant may be valid
        if (worker.spec.address != it->address && worker.condition == worker_condition::lost)
            worker.condition = worker_condition::ready;
        worker.spec = *it;
        worker.grant_due = true;
        if (it->weight == 0)
            worker.condition = worker_condition::leaving;
        else if (worker.condition == worker_condition::leaving)
            worker.condition = worker_condition::ready;
    }
    for (auto& [id, worker] : m_workers)
        if (std::ranges::find(workers, id) == workers.end())
            worker.condition = worker_condition::leaving;
}

void dispatcher::mark_suspect(worker_view& worker, instant now)
{
    if (worker.condition != worker_condition::ready)
        return;
    worker.condition = worker_condition::suspect;
    worker.failed_probes = 0;
    worker.next_probe = now;
    send_probes(now);
}

void dispatcher::mark_lost(worker_view& worker, instant now)
{
    if (worker.condition == worker_condition::lost)
        return;
    worker.condition = worker_condition::lost;
    ++worker.incident;
    ++m_counters.lost_servers;
    evacuate(worker.spec.id, "no process answers", now);
}

void dispatcher::send_probes(instant now)
{
    for (auto& [id, worker] : m_workers)
    {
        const bool needs_probe = worker.condition == worker_condition::suspect ||
                                 worker.condition == worker_condition::lost;
        if (!needs_probe || worker.probing || now < worker.next_probe)
            continue;
        worker.probing = true;
        worker.next_probe = now + probe_interval;
        m_outputs.probes.push_back({id});
    }
}

void dispatcher::on_probe(const std::string& server, probe_result result, instant now)
{
    const auto it = m_workers.find(server);
    if (it == m_workers.end())
        return;
    auto& worker = it->second;
    worker.probing = false;
    if (result == probe_result::draining)
        return set_leaving(server, now);
    if (result == probe_result::alive && worker.condition != worker_condition::leaving)
    {
        if (worker.condition == worker_condition::lost)
            m_outputs.events.push_back("Server " + server + " of " + to_text(m_pool) +
                                       " answers again.");
        if (worker.condition != worker_condition::ready)
            worker.slot_share = share_after_recovery;
        ++worker.incident;
        worker.condition = worker_condition::ready;
        worker.consecutive_timeouts = 0;
        worker.failed_probes = 0;
        worker.grant_due = true;
        if (m_spec.keyed)
            for (slice_index n = 0; n < m_slices.size(); ++n)
                if (m_slices[n].owned && m_slices[n].moving_to.empty() &&
                    !m_workers.contains(m_slices[n].server))
                    begin_move(n, server, {}, now);
        start_queued(worker, now);
        return;
    }
    if (worker.condition != worker_condition::suspect)
        return;
    if (result == probe_result::refused || ++worker.failed_probes >= lost_probe_count)
        mark_lost(worker, now);
    else
        worker.next_probe = now;
}

void dispatcher::set_leaving(const std::string& server, instant now)
{
    const auto it = m_workers.find(server);
    if (it == m_workers.end() || it->second.condition == worker_condition::leaving)
        return;
    it->second.condition = worker_condition::leaving;
    evacuate(server, "it is leaving", now);
}

void dispatcher::send_grants(instant now)
{
    for (auto& [id, worker] : m_workers)
    {
        if (worker.condition == worker_condition::lost ||
            (!worker.grant_due && now < worker.next_grant))
            continue;
        grant_command grant{id, {m_epoch, ++m_grant_count}, {}, grant_duration};
        for (slice_index n = 0; n < m_slices.size(); ++n)
        {
            const auto& slice = m_slices[n];
            const bool is_owner = !m_spec.keyed || (slice.server == id && slice.moving_to.empty());
            // A slice that drains stays granted until its running requests have ended.
            const bool is_draining = slice.server == id && slice.running > 0;
            if ((slice.owned && is_owner) || is_draining)
                grant.slices.push_back(n);
        }
        worker.grant_due = false;
        worker.next_grant = now + grant_interval;
        worker.granted_until = std::max(worker.granted_until, now + grant_duration);
        m_outputs.grants.push_back(std::move(grant));
    }
}

void dispatcher::on_grant(const grant_command& grant, bool acknowledged, instant sent, instant now)
{
    const auto it = m_workers.find(grant.server);
    if (it == m_workers.end())
        return;
    auto& worker = it->second;
    if (!acknowledged)
    {
        mark_suspect(worker, now);
        return;
    }
    if (grant.token < worker.granted)
        return;
    worker.grant_unknown = false;
    worker.granted = grant.token;
    worker.granted_slices = {grant.slices.begin(), grant.slices.end()};
    worker.acknowledged_until = std::max(worker.acknowledged_until, sent + grant.length);
    start_queued(worker, now);
}

} // namespace eelgrassrail
