/// A request's life at its lease holder: admission, history, queue, run, answer.
#include <eelgrassrail/requests/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

constexpr unsigned most_attempts = 4;
constexpr millis refusal_pause{10};
constexpr double share_after_refusal = 0.7;
constexpr double share_gain = 0.05;
constexpr double mean_weight = 0.1;
constexpr unsigned timeouts_for_suspicion = 2;

double in_ms(boot_clock::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

dispatcher::dispatcher(dispatch_start start, instant now)
    : m_pool(std::move(start.pool))
    , m_epoch(start.epoch)
    , m_history_complete(start.history_complete)
    , m_history_known_from(now)
    , m_history(start.limits)
    , m_inherited(std::move(start.owners))
    , m_history_window(start.limits.window)
{
    for (auto& entry : start.entries)
    {
        if (entry.state == run_state::running)
        {
            // The former holder may have sent it: the slice stays with that server until it ends.
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
        m_requests.at(first->second).followers.push_back(id);
        m_followers.emplace(id, first->second);
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
        if (!m_history_complete && value.attempt != 1 &&
            now < m_history_known_from + m_history_window)
            return refusal(error_kind::history_incomplete);
        if (!m_history.has_room())
            return refusal(error_kind::overloaded, "the at-most-once table is full");
    }
    const auto* spec = find_class(m_spec, value.request_class);
    const auto tenant = m_tenants.find(item.tenant);
    if (tenant != m_tenants.end() && tenant->second >= spec->tenant_limit)
        return refusal(error_kind::tenant_limit);
    auto& slice = m_slices[item.slice];
    const bool can_rebind =
        !m_spec.keyed && slice.active == 0 && slice.busy_until <= now && slice.moving_to.empty();
    if (can_rebind)
        bind(slice);
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
    item.place = worker->second.queue.push(item.id, item.priority);
    pump(worker->second, now);
}

void dispatcher::pump(worker_view& worker, instant now)
{
    if (m_stopped || now >= m_acts_until || now < m_hold_until || now < worker.not_before ||
        worker.condition != worker_condition::ready)
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
            item.place = worker.queue.push(*id, item.priority);
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
    // The intent is told to the standbys before the first byte goes to the server.
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
        if (slice.committing != 0 && slice.committing <= number)
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
            if (!m_stopped && now < m_acts_until && now < item.deadline)
            {
                start(item, now);
                continue;
            }
            leave_server(item, now);
            withdraw(item);
            finish(
                id,
                refusal(now < item.deadline ? error_kind::not_holder : error_kind::deadline_passed),
                now);
        }
    }
}

void dispatcher::on_answer(request_number id, answer result, instant now)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.state != progress::running)
    {
        ++m_counters.late_answers;
        return;
    }
    auto& item = it->second;
    auto& worker = m_workers.at(item.server);
    const auto run_ms = in_ms(now - item.started);
    worker.mean_run_ms += mean_weight * (run_ms - worker.mean_run_ms);
    worker.share = std::min(1.0, worker.share + share_gain);
    worker.failures = 0;
    m_slices[item.slice].work_ms += run_ms;
    m_quarantine.on_success(item.fingerprint);
    leave_server(item, now);
    if (!item.scope.empty())
    {
        history_entry entry{
            item.scope, item.fingerprint, run_state::done, item.slice, item.server, 0, result};
        m_history.record(entry, now);
        m_delta.entries.push_back(std::move(entry));
    }
    finish(id, std::move(result), now);
    pump(worker, now);
}

void dispatcher::on_failure(request_number id, run_failure failure, instant now)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.state != progress::running)
        return;
    auto& item = it->second;
    auto& worker = m_workers.at(item.server);
    const bool may_have_run =
        failure == run_failure::lost_after_write || failure == run_failure::invalid_answer;
    if (may_have_run)
    {
        m_slices[item.slice].work_ms += in_ms(now - item.started);
        auto& busy = m_slices[item.slice].busy_until;
        busy = std::max(busy, item.run_until);
    }
    if (failure == run_failure::lost_after_write)
        strike(item, now);
    leave_server(item, now);
    if (failure == run_failure::refused_before_run)
    {
        worker.share = std::max(worker.share * share_after_refusal, 0.0);
        worker.not_before = now + refusal_pause;
    }
    else if (failure == run_failure::draining)
        set_leaving(worker.spec.id, now);
    else if (failure != run_failure::invalid_answer)
        suspect(worker, now);

    if (!may_have_run)
    {
        if (retry(item, false, now))
            return;
        withdraw(item);
        finish(id, refusal(error_kind::server_refused), now);
        return;
    }
    const bool is_suspicious = m_quarantine.has_strike(item.fingerprint, now);
    if (item.idempotent && !is_suspicious && retry(item, true, now))
        return;
    if (!item.scope.empty())
    {
        history_entry entry{
            item.scope, item.fingerprint, run_state::unknown, item.slice, worker.spec.id, 0, {}};
        m_history.record(entry, now);
        m_delta.entries.push_back(std::move(entry));
    }
    finish(id,
           refusal(failure == run_failure::lost_after_write ? error_kind::server_lost
                                                            : error_kind::invalid_server_answer),
           now);
}

void dispatcher::strike(const pending_request& item, instant now)
{
    const auto& worker = m_workers.at(item.server);
    const auto incident = item.server + "#" + std::to_string(worker.incident);
    if (!m_quarantine.on_server_lost(item.fingerprint, incident, now))
        return;
    m_outputs.quarantined.push_back(item.fingerprint);
    m_outputs.events.push_back("Put a request of " + to_text(m_pool) + " into quarantine after " +
                               incident + ".");
}

bool dispatcher::retry(pending_request& item, bool needs_budget, instant now)
{
    if (item.attempts >= most_attempts || now >= item.deadline || m_stopped ||
        (needs_budget && !m_budget.take()))
        return false;
    ++m_counters.retried;
    item.queue_until = item.deadline;
    schedule(item.deadline, item.id);
    enqueue(item, now);
    return true;
}

void dispatcher::withdraw(pending_request& item)
{
    if (item.scope.empty() || m_history.find(item.scope) == nullptr)
        return;
    m_history.forget(item.scope);
    m_delta.entries.push_back({item.scope, item.fingerprint, run_state::withdrawn, 0, {}, 0, {}});
}

void dispatcher::leave_server(pending_request& item, instant /*now*/)
{
    --m_workers.at(item.server).running;
    --m_slices[item.slice].running;
}

void dispatcher::finish(request_number id, answer result, instant /*now*/)
{
    const auto it = m_requests.find(id);
    const auto item = std::move(it->second);
    m_requests.erase(it);
    --m_slices[item.slice].active;
    if (!item.scope.empty())
        m_scopes.erase(item.scope);
    if (const auto tenant = m_tenants.find(item.tenant); --tenant->second == 0)
        m_tenants.erase(tenant);
    for (const auto follower : item.followers)
    {
        m_followers.erase(follower);
        auto copy = result;
        copy.replayed = result.kind == error_kind::none;
        m_outputs.answers.push_back({follower, std::move(copy)});
    }
    m_outputs.answers.push_back({id, std::move(result)});
}

void dispatcher::cancel(request_number id, instant now)
{
    if (const auto follower = m_followers.find(id); follower != m_followers.end())
    {
        std::erase(m_requests.at(follower->second).followers, id);
        m_followers.erase(follower);
        return;
    }
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    auto& item = it->second;
    // A run that a repeat may ask for, or that can not be undone, goes on to its end.
    if (!item.followers.empty() || (!item.idempotent && item.state != progress::queued))
        return;
    if (item.state == progress::queued)
        m_workers.at(item.server).queue.remove(item.place);
    if (item.state == progress::held_back)
        std::erase(m_held_back[item.slice], id);
    withdraw(item);
    if (item.state == progress::running)
    {
        m_outputs.cancels.push_back({id, item.server});
        auto& busy = m_slices[item.slice].busy_until;
        busy = std::max(busy, item.run_until);
        leave_server(item, now);
        pump(m_workers.at(item.server), now);
    }
    finish(id, refusal(error_kind::deadline_passed), now);
}

void dispatcher::expire_requests(instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const auto id = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        if (const auto follower = m_followers.find(id); follower != m_followers.end())
        {
            std::erase(m_requests.at(follower->second).followers, id);
            m_followers.erase(follower);
            m_outputs.answers.push_back({id, refusal(error_kind::deadline_while_running)});
            continue;
        }
        const auto it = m_requests.find(id);
        if (it == m_requests.end())
            continue;
        auto& item = it->second;
        if (item.state == progress::running)
        {
            if (now < item.run_until)
                continue;
            m_outputs.cancels.push_back({id, item.server});
            auto& worker = m_workers.at(item.server);
            m_slices[item.slice].work_ms += in_ms(now - item.started);
            leave_server(item, now);
            if (!item.scope.empty())
            {
                history_entry entry{item.scope, item.fingerprint, run_state::unknown,
                                    item.slice, item.server,      0,
                                    {}};
                m_history.record(entry, now);
                m_delta.entries.push_back(std::move(entry));
            }
            if (++worker.failures >= timeouts_for_suspicion)
                suspect(worker, now);
            finish(id, refusal(error_kind::deadline_while_running), now);
            pump(worker, now);
            continue;
        }
        if (item.state == progress::replicating || now < item.queue_until)
            continue;
        if (item.state == progress::queued)
            m_workers.at(item.server).queue.remove(item.place);
        else
            std::erase(m_held_back[item.slice], id);
        withdraw(item);
        finish(id,
               refusal(now < item.deadline ? error_kind::overloaded : error_kind::deadline_passed),
               now);
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
            m_workers.at(item.server).queue.remove(item.place);
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
                leave_server(it->second, now);
                withdraw(it->second);
                finish(id, refusal(error_kind::not_holder), now);
            }
}

void dispatcher::tick(instant acts_until, instant now)
{
    m_acts_until = acts_until;
    expire_requests(now);
    if (now >= acts_until)
        refuse_waiting(error_kind::no_owner, now);
    m_history.expire(now);
    m_quarantine.expire(now);
    advance_moves(now);
    report_released(now);
    send_probes(now);
    if (m_spec.checks_tokens && now < acts_until)
        send_grants(now);
    for (auto& [id, worker] : m_workers)
        pump(worker, now);
}

dispatch_outputs dispatcher::take_outputs()
{
    flush_delta();
    return std::exchange(m_outputs, {});
}

} // namespace eelgrassrail
