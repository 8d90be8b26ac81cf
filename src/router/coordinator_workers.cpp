/// Assessment of the workers by the coordinator: eligibility, capacity and admission ratio.
#include <eelgrassrail/router/key_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// A worker without an answer to a grant for this time, two renewals, gets no more keys.
constexpr millis renewal_timeout{4'500};

/// A worker gets no keys for this time after another one has answered at its address.
constexpr millis other_worker_backoff{5'000};

constexpr double cold_capacity_ratio = 0.5; ///< share of the capacity of a worker that just started

/// Assumed run time until answers have been observed.
constexpr double default_run_ms = 200.0;

/// Ratio of mean to median run time, for the distribution that the users state.
constexpr double mean_over_median = 1.1;

} // namespace

void key_coordinator::record_exchange(const worker_entry& worker, const http_exchange& exchange,
                                      instant now)
{
    auto& record = m_workers[worker.life.id];
    if (std::exchange(record.called_born_ms, worker.life.born_ms) != worker.life.born_ms)
    {
        record.last_answer = {};
        record.other_answered = {};
        record.consecutive_refusals = 0;
    }
    if (exchange.result == exchange_result::complete &&
        exchange.reply.status == other_worker_status)
        record.other_answered = now;
    else if (exchange.result == exchange_result::complete)
    {
        record.last_answer = now;
        record.consecutive_refusals = 0;
        m_state.observe_leaving(worker.life, exchange.reply, now);
    }
    else if (exchange.refused)
    {
        // A network partition may refuse connections too, so the process may still run.
        ++record.consecutive_refusals;
    }
}

std::vector<key_worker> key_coordinator::eligible_workers(const std::string& service, instant now)
{
    const auto ready = m_state.workers.ready(service);
    std::vector<double> times;
    for (const auto* worker : ready)
        if (const double ms = m_workers[worker->entry.life.id].speed.typical_ms(); ms > 0)
            times.push_back(ms);
    std::ranges::sort(times);
    const double median_ms = times.empty() ? default_run_ms : times[times.size() / 2];
    m_usual_ms.insert_or_assign(service, median_ms);
    std::vector<key_worker> result;
    for (const auto* worker : ready)
    {
        const auto& record = m_workers[worker->entry.life.id];
        if (m_state.evacuations.since(worker->entry.zone))
            continue;
        if (m_grants.has_ended(worker->entry.life) ||
            (record.other_answered != instant{} &&
             now - record.other_answered < other_worker_backoff))
            continue;
        const auto pace = m_paces.find(worker->entry.life.id);
        key_worker usable;
        usable.incarnation = worker->entry.life;
        const double known = record.speed.typical_ms();
        const double run_ms = (known > 0 ? known : median_ms) * mean_over_median;
        constexpr double ms_in_s = 1'000.0;
        constexpr double min_success_ratio = 0.1;
        constexpr double min_failure_rate = 0.25; // lower rates are mostly noise
        const double failing = record.failure_rate > min_failure_rate ? record.failure_rate : 0.0;
        usable.capacity =
            worker->entry.slots * ms_in_s / run_ms * std::max(min_success_ratio, 1.0 - failing) *
            (worker->is_cold(now) && pace == m_paces.end() ? cold_capacity_ratio : 1.0);
        // The pace may be above what a slow worker can run.
        if (pace != m_paces.end())
            usable.capacity = std::min(usable.capacity, pace->second.pace.per_s());
        // A part of the keys stays, so that there are answers that show whether the limit holds.
        constexpr double min_limited_part = 0.1;
        if (const auto limit = m_permits.find_confirmed(worker->entry.life.id, now))
            usable.capacity =
                std::min(usable.capacity, std::max(*limit, usable.capacity * min_limited_part));
        // A new incarnation without keys has not been called yet.
        usable.may_change =
            record.called_born_ms != worker->entry.life.born_ms ||
            (record.consecutive_refusals == 0 &&
             (record.last_answer == instant{} || now - record.last_answer < renewal_timeout));
        m_workers[usable.incarnation.id].capacity = usable.capacity;
        result.push_back(usable);
    }
    return result;
}

/// Updates the admission ratio of each worker from the demand for its keys and its capacity.
void key_coordinator::update_admission()
{
    constexpr double unlimited = 1e9; // for a worker of unknown speed
    std::map<std::string, double, std::less<>> demand;
    for (const auto& [service, load] : m_loads)
        if (load.is_settled())
            for (const auto& slice : m_state.maps[service].slices())
                demand[slice.owner.id] += load.rate(slice.first, slice.last);
    for (auto& [id, record] : m_workers)
    {
        const auto it = demand.find(id);
        const auto* known = m_state.workers.find(id);
        // Permits decide on each request; this only spares the coordinator most of the others.
        constexpr double limit_margin = 2.0;
        const auto limit = m_permits.find(id);
        record.admissible = limit && it != demand.end() && it->second > 0
                                ? std::min(1.0, limit_margin * *limit / it->second)
                                : 1.0;
        record.admission.update({it != demand.end() ? it->second : 0.0,
                                 record.speed.typical_ms() > 0 ? record.capacity : unlimited,
                                 record.in_flight, known != nullptr ? known->entry.slots : 1});
    }
}

} // namespace eelgrassrail
