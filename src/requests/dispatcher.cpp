/// Dispatcher: admission, history lookup, queueing and start of requests.
#include <eelgrassrail/requests/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
dispatcher::dispatcher(dispatcher_state start, instant now)
    : m_pool(std::move(start.pool))
    , m_epoch(start.epoch)
    , m_history_complete(start.history_complete)
    , m_epoch_start(now)
    , m_history(start.limits)
    , m_previous_owners(std::move(start.owners))
    , m_history_window(start.limits.window)
{
    for (auto& entry : start.entries)
    {
        if (entry.state == run_state::running)
        {
            // The previous holder may have sent it: the slice stays with that server until the
            // request can no longer be running.
            if (entry.slice >= m_slices.size())
                m_slices.resize(entry.slice + 1);
            auto& slice = m_slices[entry.slice];
            slice.server = entry.server;
            slice.busy_until = std::max(slice.busy_until, now + millis(entry.remaining_ms));
            entry.state = run_state::unknown;
        }
        m_history.record(std::move(entry), now);
    }
}

void dispatcher::submit(request_number id, const request& value, instant now)
{
    const auto* spec = find_class(m_spec, value.request_class);
    pending_request item;
    item.id = id;
    item.request_class = value.request_class;
    item.tenant = value.tenant + '\n' + value.request_class;
    item.fingerprint = fingerprint(value);
    item.deadline = now + millis(value.budget_ms);
    if (spec == nullptr || m_stopped)
    {
        m_outputs.answers.push_back(
            {id, refusal(spec == nullptr ? error_kind::unknown_class : error_kind::not_holder)});
        return;
    }
    item.priority = spec->priority;
    item.idempotent = spec->idempotent;
    item.max_run_ms = spec->max_run_ms;
    item.scope = spec->idempotent ? std::string() : history_scope(value);
    item.slice = slice_of(value.key, m_spec.slices);
    item.queue_until = std::min(item.deadline, now + millis(spec->queue_ms));
    if (auto result = answer_without_run(item, value, now))
    {
        m_outputs.answers.push_back({id, std::move(*result)});
        return;
    }
    if (const auto first = m_scopes.find(item.scope);
        !item.scope.empty() && first != m_scopes.end())
    {
        m_requests.at(first->second).duplicates.push_back(id);
        m_duplicates.emplace(id, first->second);
        schedule(item.deadline, id);
        return;
    }
    ++m_tenants[item.tenant];
    ++m_slices[item.slice].active;
    if (!item.scope.empty())
        m_scopes.emplace(item.scope, id);
    m_budget.on_attempt();
    schedule(item.queue_until, id);
    enqueue(m_requests.emplace(id, std::move(item)).first->second, now);
}

std::optional<answer> dispatcher::answer_without_run(const pending_request& item,
                                                     const request& value, instant now)
{
    if (m_quarantine.is_refused(item.fingerprint, now))
        return refusal(error_kind::quarantined);
    if (item.slice >= m_slices.size() || !m_slices[item.slice].owned)
        return refusal(error_kind::not_holder);
    if (!item.idempotent)
    {
        const auto* earlier = m_history.find(item.scope);
        if (earlier != nullptr && earlier->fingerprint != item.fingerprint)
            return refusal(error_kind::idempotency_key_reused);
        if (earlier != nullptr && earlier->state == run_state::done)
        {
            auto result = earlier->result;
            result.replayed = true;
            return result;
        }
        if (earlier != nullptr && !m_scopes.contains(item.scope))
            return refusal(error_kind::earlier_outcome_unknown);
        const auto first = m_scopes.find(item.scope);
        if (first != m_scopes.end())
            return m_requests.at(first->second).fingerprint == item.fingerprint
                       ? std::nullopt
                       : std::optional(refusal(error_kind::idempotency_key_reused));
        if (!m_history_complete && value.attempt != 1 && now < m_epoch_start + m_history_window)
            return refusal(error_kind::history_incomplete);
        if (!m_history.has_capacity())
            return refusal(error_kind::overloaded, "the at-most-once table is full");
    }
    const auto* spec = find_class(m_spec, value.request_class);
    const auto tenant = m_tenants.find(item.tenant);
    if (tenant != m_tenants.end() && tenant->second >= spec->tenant_limit)
        return refusal(error_kind::tenant_limit);
    auto& slice = m_slices[item.slice];
    const bool can_reassign =
        !m_spec.keyed && slice.active == 0 && slice.busy_until <= now && slice.moving_to.empty();
    if (can_reassign)
        assign_server(slice);
    if (slice.moving_to.empty())
    {
        const auto worker = m_workers.find(slice.server);
        if (worker == m_workers.end() || worker->second.condition == worker_condition::lost)
            return refusal(error_kind::no_server);
        if (worker->second.expected_wait_ms(m_spec.slots, item.priority) > spec->queue_ms)
            return refusal(error_kind::overloaded);
    }
    if (item.deadline <= now)
        return refusal(error_kind::deadline_passed);
    return std::nullopt;
}

void dispatcher::enqueue(pending_request& item, instant now)
{
    auto& slice = m_slices[item.slice];
    const auto worker = m_workers.find(slice.server);
    if (!slice.moving_to.empty() || worker == m_workers.end())
    {
        item.state = progress::held_back;
        item.queue_until = item.deadline;
        schedule(item.deadline, item.id);
        m_held_back[item.slice].push_back(item.id);
        return;
    }
    item.state = progress::queued;
    item.server = slice.server;
    item.position = worker->second.queue.push(item.id, item.priority);
    start_queued(worker->second, now);
}

void dispatcher::start_queued(worker_view& worker, instant now)
{
    if (m_stopped || now >= m_lease_expiry || now < m_predecessor_busy_until ||
        now < worker.not_before || worker.condition != worker_condition::ready)
        return;
    if (m_spec.checks_tokens && now >= worker.acknowledged_until)
        return;
    while (worker.running < worker.usable_slots(m_spec.slots))
    {
        const auto id = worker.queue.pop();
        if (!id)
            return;
        auto& item = m_requests.at(*id);
        if (m_spec.checks_tokens && m_spec.keyed && !worker.granted_slices.contains(item.slice))
        {
            item.position = worker.queue.push(*id, item.priority);
            return;
        }
        reserve(item, worker, now);
    }
}

void dispatcher::reserve(pending_request& item, worker_view& worker, instant now)
{
    ++worker.running;
    ++m_slices[item.slice].running;
    ++item.attempts;
    if (item.idempotent)
    {
        start(item, now);
        return;
    }
    // Write-ahead: the standbys must have the intent before the first byte is sent to the server.
    item.state = progress::replicating;
    history_entry entry{item.scope, item.fingerprint, run_state::running,
                        item.slice, worker.spec.id,   item.max_run_ms,
                        {}};
    m_history.record(entry, now);
    m_delta.entries.push_back(std::move(entry));
    m_delta_needs_ack = true;
    m_replicating[m_delta_number + 1].push_back(item.id);
}

void dispatcher::start(pending_request& item, instant now)
{
    const auto& worker = m_workers.at(item.server);
    item.state = progress::running;
    item.started = now;
    item.run_until = std::min(item.deadline, now + millis(item.max_run_ms));
    schedule(item.run_until, item.id);
    ++m_counters.started;
    const auto token = m_spec.checks_tokens ? worker.granted : fencing_token{m_epoch, 0};
    m_outputs.starts.push_back({item.id, item.server, token, item.slice, item.run_until});
}

void dispatcher::on_replicated(std::uint64_t number, instant now)
{
    for (auto& slice : m_slices)
        if (slice.commit_delta != 0 && slice.commit_delta <= number)
            finish_move(static_cast<slice_index>(&slice - m_slices.data()), slice, now);
    while (!m_replicating.empty() && m_replicating.begin()->first <= number)
    {
        const auto ids = std::move(m_replicating.begin()->second);
        m_replicating.erase(m_replicating.begin());
        for (const auto id : ids)
        {
            const auto it = m_requests.find(id);
            if (it == m_requests.end() || it->second.state != progress::replicating)
                continue;
            auto& item = it->second;
            if (!m_stopped && now < m_lease_expiry && now < item.deadline)
            {
                start(item, now);
                continue;
            }
            release_slot(item, now);
            withdraw(item);
            finish(
                id,
                refusal(now < item.deadline ? error_kind::not_holder : error_kind::deadline_passed),
                now);
        }
    }
}

void dispatcher::refuse_waiting(error_kind kind, instant now)
{
    std::vector<request_number> waiting;
    for (const auto& [id, item] : m_requests)
        if (item.state == progress::queued || item.state == progress::held_back)
            waiting.push_back(id);
    std::ranges::sort(waiting);
    for (const auto id : waiting)
    {
        auto& item = m_requests.at(id);
        if (item.state == progress::queued)
            m_workers.at(item.server).queue.remove(item.position);
        else
            std::erase(m_held_back[item.slice], id);
        withdraw(item);
        finish(id, refusal(kind), now);
    }
}

void dispatcher::stop(instant now)
{
    m_stopped = true;
    refuse_waiting(error_kind::not_holder, now);
    const auto replicating = std::exchange(m_replicating, {});
    for (const auto& [number, ids] : replicating)
        for (const auto id : ids)
            if (const auto it = m_requests.find(id);
                it != m_requests.end() && it->second.state == progress::replicating)
            {
                release_slot(it->second, now);
                withdraw(it->second);
                finish(id, refusal(error_kind::not_holder), now);
            }
}

void dispatcher::tick(instant lease_expiry, instant now)
{
    m_lease_expiry = lease_expiry;
    expire_requests(now);
    if (now >= lease_expiry)
        refuse_waiting(error_kind::no_owner, now);
    m_history.expire(now);
    m_quarantine.expire(now);
    advance_moves(now);
    report_released(now);
    send_probes(now);
    if (m_spec.checks_tokens && now < lease_expiry)
        send_grants(now);
    for (auto& [id, worker] : m_workers)
        start_queued(worker, now);
}

dispatch_outputs dispatcher::take_outputs()
{
    flush_delta();
    return std::exchange(m_outputs, {});
}

} // namespace eelgrassrail
