/// Dispatcher: answers, failures, retries, deadlines and disconnected callers.
#include <eelgrassrail/requests/dispatcher.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

constexpr unsigned max_attempts = 4;
constexpr millis refusal_backoff{10};
constexpr double share_decrease_factor = 0.7;
constexpr double share_increment = 0.05;
constexpr double mean_run_smoothing = 0.1;
constexpr unsigned suspect_timeout_count = 2;

double to_ms(boot_clock::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

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
    const auto run_ms = to_ms(now - item.started);
    worker.mean_run_ms += mean_run_smoothing * (run_ms - worker.mean_run_ms);
    worker.slot_share = std::min(1.0, worker.slot_share + share_increment);
    worker.consecutive_timeouts = 0;
    m_slices[item.slice].work_ms += run_ms;
    m_quarantine.on_success(item.fingerprint);
    release_slot(item, now);
    if (!item.scope.empty())
    {
        history_entry entry{
            item.scope, item.fingerprint, run_state::done, item.slice, item.server, 0, result};
        m_history.record(entry, now);
        m_delta.entries.push_back(std::move(entry));
    }
    finish(id, std::move(result), now);
    start_queued(worker, now);
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
        m_slices[item.slice].work_ms += to_ms(now - item.started);
        auto& busy = m_slices[item.slice].busy_until;
        busy = std::max(busy, item.run_until);
    }
    if (failure == run_failure::lost_after_write)
        record_incident(item, now);
    release_slot(item, now);
    if (failure == run_failure::refused_before_run)
    {
        worker.slot_share = std::max(worker.slot_share * share_decrease_factor, 0.0);
        worker.not_before = now + refusal_backoff;
    }
    else if (failure == run_failure::draining)
        set_leaving(worker.spec.id, now);
    else if (failure != run_failure::invalid_answer)
        mark_suspect(worker, now);

    if (!may_have_run)
    {
        if (retry(item, false, now))
            return;
        withdraw(item);
        finish(id, refusal(error_kind::server_refused), now);
        return;
    }
    const bool is_suspicious = m_quarantine.has_incident(item.fingerprint, now);
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

void dispatcher::record_incident(const pending_request& item, instant now)
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
    if (item.attempts >= max_attempts || now >= item.deadline || m_stopped ||
        (needs_budget && !m_budget.try_consume()))
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
    m_history.erase(item.scope);
    m_delta.entries.push_back({item.scope, item.fingerprint, run_state::withdrawn, 0, {}, 0, {}});
}

void dispatcher::release_slot(pending_request& item, instant /*now*/)
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
    for (const auto duplicate : item.duplicates)
    {
        m_duplicates.erase(duplicate);
        auto copy = result;
        copy.replayed = result.kind == error_kind::none;
        m_outputs.answers.push_back({duplicate, std::move(copy)});
    }
    m_outputs.answers.push_back({id, std::move(result)});
}

void dispatcher::cancel(request_number id, instant now)
{
    if (const auto duplicate = m_duplicates.find(id); duplicate != m_duplicates.end())
    {
        std::erase(m_requests.at(duplicate->second).duplicates, id);
        m_duplicates.erase(duplicate);
        return;
    }
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    auto& item = it->second;
    // Not aborted: a request with waiting duplicates, and a non-idempotent one that is not queued,
    // since its run cannot be undone and a retry may ask for its answer.
    if (!item.duplicates.empty() || (!item.idempotent && item.state != progress::queued))
        return;
    if (item.state == progress::queued)
        m_workers.at(item.server).queue.remove(item.position);
    if (item.state == progress::held_back)
        std::erase(m_held_back[item.slice], id);
    withdraw(item);
    if (item.state == progress::running)
    {
        m_outputs.cancels.push_back({id, item.server});
        auto& busy = m_slices[item.slice].busy_until;
        busy = std::max(busy, item.run_until);
        release_slot(item, now);
        start_queued(m_workers.at(item.server), now);
    }
    finish(id, refusal(error_kind::deadline_passed), now);
}

void dispatcher::expire_requests(instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const auto id = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        if (const auto duplicate = m_duplicates.find(id); duplicate != m_duplicates.end())
        {
            std::erase(m_requests.at(duplicate->second).duplicates, id);
            m_duplicates.erase(duplicate);
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
            m_slices[item.slice].work_ms += to_ms(now - item.started);
            release_slot(item, now);
            if (!item.scope.empty())
            {
                history_entry entry{item.scope, item.fingerprint, run_state::unknown,
                                    item.slice, item.server,      0,
                                    {}};
                m_history.record(entry, now);
                m_delta.entries.push_back(std::move(entry));
            }
            if (++worker.consecutive_timeouts >= suspect_timeout_count)
                mark_suspect(worker, now);
            finish(id, refusal(error_kind::deadline_while_running), now);
            start_queued(worker, now);
            continue;
        }
        if (item.state == progress::replicating || now < item.queue_until)
            continue;
        if (item.state == progress::queued)
            m_workers.at(item.server).queue.remove(item.position);
        else
            std::erase(m_held_back[item.slice], id);
        withdraw(item);
        finish(id,
               refusal(now < item.deadline ? error_kind::overloaded : error_kind::deadline_passed),
               now);
    }
}

} // namespace eelgrassrail
