/// Dispatcher: assignment, moves and release of slices, and replication to the standbys.
#include <eelgrassrail/requests/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
void dispatcher::configure(const service_spec& spec, std::span<const std::string> workers,
                           std::span<const slice_index> owned,
                           std::optional<log_offset> release_offset, instant now)
{
    const bool is_first = m_spec.slices == 0;
    m_spec = spec;
    m_slices.resize(spec.slices);
    if (is_first)
    {
        for (const auto& entry : m_previous_owners)
            if (entry.slice < m_slices.size() && m_slices[entry.slice].server.empty())
                m_slices[entry.slice].server = entry.server;
        const auto unrecorded = [&](const class_spec& item) { return item.idempotent; };
        if (!spec.keyed && std::ranges::any_of(spec.classes, unrecorded))
            m_predecessor_busy_until = now + millis(max_class_run_ms(spec));
    }
    std::vector<bool> is_owned(m_slices.size());
    for (const auto slice : owned)
        is_owned[slice] = true;
    for (slice_index n = 0; n < m_slices.size(); ++n)
    {
        auto& slice = m_slices[n];
        if (slice.owned && !is_owned[n])
        {
            slice.leaving_pool = true;
            m_moving.push_back(n);
        }
        slice.owned = is_owned[n];
        slice.leaving_pool = slice.leaving_pool && !slice.owned;
    }
    m_release_offset = release_offset;
    update_workers(spec, workers, now);
    if (spec.keyed)
        assign_slices(now);
}

/// Assigns slices without a server to the server with the fewest slices, and moves a fair share of
/// the slices to each new server.
void dispatcher::assign_slices(instant now)
{
    for (const auto& [id, worker] : m_workers)
        if (!worker.accepts_work())
            evacuate(id, "it takes no work", now);
    std::size_t total = 0;
    for (slice_index n = 0; n < m_slices.size(); ++n)
    {
        auto& slice = m_slices[n];
        if (!slice.owned)
            continue;
        ++total;
        if (slice.moving_to.empty() && !m_workers.contains(slice.server))
            begin_move(n, least_loaded({}), {}, now);
    }
    std::map<std::string, std::vector<slice_index>> slices_by_server;
    for (const auto& [id, worker] : m_workers)
        if (worker.accepts_work())
            slices_by_server[id];
    for (slice_index n = 0; n < m_slices.size(); ++n)
        if (m_slices[n].owned)
            slices_by_server[m_slices[n].moving_to.empty() ? m_slices[n].server
                                                           : m_slices[n].moving_to]
                .push_back(n);
    const auto fair_share = total / std::max<std::size_t>(slices_by_server.size(), 1);
    const auto slice_count = [](const auto& entry) { return entry.second.size(); };
    for (auto& [id, slices] : slices_by_server)
    {
        const bool is_new = slices.empty() && m_workers.contains(id);
        while (is_new && slices.size() < fair_share)
        {
            auto& fullest = *std::ranges::max_element(slices_by_server, {}, slice_count);
            begin_move(fullest.second.back(), id, "a new server", now);
            slices.push_back(fullest.second.back());
            fullest.second.pop_back();
        }
    }
}

std::string dispatcher::least_loaded(const std::string& except) const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [id, worker] : m_workers)
        if (worker.condition == worker_condition::ready && id != except)
            counts[id] = 0;
    for (const auto& slice : m_slices)
        if (slice.owned)
            if (const auto it =
                    counts.find(slice.moving_to.empty() ? slice.server : slice.moving_to);
                it != counts.end())
                ++it->second;
    const auto it = std::ranges::min_element(counts, {}, [](const auto& c) { return c.second; });
    return it == counts.end() ? std::string() : it->first;
}

/// Assigns a server to an idle slice of a service that is not keyed: the least loaded one and,
/// among equally loaded ones, the least recently assigned.
std::string dispatcher::assign_server(slice_record& slice)
{
    worker_view* best = nullptr;
    const auto rank = [&](const worker_view& worker)
    {
        const auto busy = static_cast<double>(worker.running + worker.queue.size());
        return std::pair(busy / static_cast<double>(worker.usable_slots(m_spec.slots)),
                         worker.last_assigned);
    };
    for (auto& [id, worker] : m_workers)
        if (worker.condition == worker_condition::ready &&
            (best == nullptr || rank(worker) < rank(*best)))
            best = &worker;
    if (best != nullptr)
    {
        best->last_assigned = ++m_assignments;
        slice.server = best->spec.id;
    }
    return slice.server;
}

void dispatcher::begin_move(slice_index index, const std::string& server, const std::string& reason,
                            instant now)
{
    auto& slice = m_slices[index];
    if (server.empty() || slice.commit_delta != 0 ||
        (slice.server == server && slice.moving_to.empty()))
        return;
    if (slice.moving_to.empty())
        m_moving.push_back(index);
    slice.moving_to = server;
    if (!reason.empty())
        m_outputs.events.push_back("Moves slice " + std::to_string(index) + " of " +
                                   to_text(m_pool) + " from " + slice.server + " to " + server +
                                   ": " + reason + ".");
    const auto old = m_workers.find(slice.server);
    if (old == m_workers.end())
        return;
    old->second.grant_due = true;
    for (const auto id : old->second.queue.pop_all())
    {
        auto& item = m_requests.at(id);
        if (item.slice == index)
            enqueue(item, now);
        else
            item.position = old->second.queue.push(id, item.priority);
    }
}

void dispatcher::evacuate(const std::string& server, const std::string& reason, instant now)
{
    auto& worker = m_workers.at(server);
    for (slice_index n = 0; n < m_slices.size(); ++n)
    {
        auto& slice = m_slices[n];
        const bool is_target = slice.moving_to == server && slice.commit_delta == 0;
        if (slice.server != server && !is_target)
            continue;
        const bool is_idle = slice.active == 0 && slice.busy_until <= now;
        if (!m_spec.keyed && is_idle)
            slice.server.clear();
        else if (m_spec.keyed ? slice.owned : slice.active > 0)
            begin_move(n, least_loaded(server), {}, now);
    }
    for (const auto id : worker.queue.pop_all())
        finish(id, refusal(error_kind::no_server), now);
    m_outputs.events.push_back("Takes " + server + " out of " + to_text(m_pool) + ": " + reason +
                               ".");
}

bool dispatcher::is_drained(slice_index index, const slice_record& slice, instant now) const
{
    if (slice.running > 0 || now < slice.busy_until || now < m_predecessor_busy_until)
        return false;
    if (!m_spec.checks_tokens || !m_spec.keyed || slice.server.empty())
        return true;
    const auto worker = m_workers.find(slice.server);
    if (worker == m_workers.end())
        return now >= m_epoch_start + grant_duration;
    const auto& view = worker->second;
    return now >= view.granted_until ||
           (!view.grant_unknown && !view.granted_slices.contains(index));
}

void dispatcher::advance_moves(instant now)
{
    std::erase_if(m_moving, [&](slice_index n)
                  { return m_slices[n].moving_to.empty() && !m_slices[n].leaving_pool; });
    const auto moving = m_moving;
    for (const auto n : moving)
    {
        auto& slice = m_slices[n];
        if (slice.running == 0 && m_spec.checks_tokens)
            if (const auto it = m_workers.find(slice.server);
                it != m_workers.end() && it->second.granted_slices.contains(n))
                it->second.grant_due = true;
        if (slice.moving_to.empty() || slice.commit_delta != 0 || !is_drained(n, slice, now))
            continue;
        if (!m_spec.keyed)
        {
            finish_move(n, slice, now);
            continue;
        }
        m_delta.owners.push_back({n, slice.moving_to});
        m_delta_needs_ack = true;
        slice.commit_delta = m_delta_number + 1;
    }
}

void dispatcher::finish_move(slice_index index, slice_record& slice, instant now)
{
    slice.server = std::exchange(slice.moving_to, {});
    slice.commit_delta = 0;
    ++m_counters.moved_slices;
    const auto worker = m_workers.find(slice.server);
    if (worker != m_workers.end())
        worker->second.grant_due = true;
    if (worker != m_workers.end() && !worker->second.accepts_work())
        begin_move(index, least_loaded(slice.server), {}, now);
    const auto held = m_held_back.find(index);
    if (held == m_held_back.end())
        return;
    const auto ids = std::move(held->second);
    m_held_back.erase(held);
    for (const auto id : ids)
        enqueue(m_requests.at(id), now);
}

void dispatcher::report_released(instant now)
{
    if (!m_release_offset || now < m_epoch_start + millis(max_class_run_ms(m_spec)))
        return;
    for (slice_index n = 0; n < m_slices.size(); ++n)
    {
        const auto& slice = m_slices[n];
        if (!slice.owned && !slice.server.empty() && !is_drained(n, slice, now))
            return;
    }
    for (auto& slice : m_slices)
        slice.leaving_pool = false;
    m_outputs.released = std::exchange(m_release_offset, std::nullopt);
}

void dispatcher::flush_delta()
{
    if (m_delta.entries.empty() && m_delta.owners.empty() && !m_delta_needs_ack)
        return;
    m_delta.pool = m_pool;
    m_delta.epoch = m_epoch;
    m_delta.number = ++m_delta_number;
    m_delta_needs_ack = false;
    m_outputs.deltas.push_back(std::exchange(m_delta, {}));
}

pool_delta dispatcher::full_state(instant /*now*/) const
{
    pool_delta result{m_pool, m_epoch, m_delta_number, 0, true, m_history.entries(), {}};
    for (slice_index n = 0; m_spec.keyed && n < m_slices.size(); ++n)
    {
        // A slice whose move is being committed has drained, so its new server may own it already.
        const auto& slice = m_slices[n];
        const auto& server = slice.commit_delta != 0 ? slice.moving_to : slice.server;
        if (!server.empty())
            result.owners.push_back({n, server});
    }
    return result;
}

std::optional<std::string> dispatcher::owner_of(slice_index slice) const
{
    if (slice >= m_slices.size() || !m_slices[slice].owned || m_slices[slice].server.empty())
        return std::nullopt;
    return m_slices[slice].server;
}

std::vector<dispatcher::slice_load> dispatcher::collect_loads()
{
    std::vector<slice_load> result;
    for (slice_index n = 0; n < m_slices.size(); ++n)
        if (m_slices[n].owned)
            result.push_back(
                slice_load{n, m_slices[n].server, std::exchange(m_slices[n].work_ms, 0.0)});
    return result;
}

} // namespace eelgrassrail
