/// Worker selection and admission of a request.
#include "router_timeouts.hpp"
#include <eelgrassrail/router/request_forwarder.hpp>
#include <eelgrassrail/router/routed_request.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace eelgrassrail
{
namespace
{

/// Wait of a request whose key has had no owner for longer than `owner_wait_timeout`.
constexpr millis min_owner_wait{50};

/// Expected times below this share of the objective count as equal: they leave enough headroom for
/// runs that take longer than expected.
constexpr double equal_time_share = 0.45;

/// After this many denied permits a request is only sent to workers without a rate limit. If most
/// workers have one, further permits are unlikely, and each takes a round trip.
constexpr unsigned max_permit_denials = 3;

/// Time after which a caller may return if only workers of an evacuated zone could serve it.
constexpr double evacuated_retry_ms = 1'000.0;

} // namespace

/// Instant until which a request waits for an owner of its key.
instant request_forwarder::owner_wait_deadline(const routed_request& request) const
{
    const auto map = m_state.maps.find(request.service);
    auto wait_start = m_state.started;
    if (map != m_state.maps.end())
    {
        const auto& slice = map->second.find(*request.key);
        wait_start = slice.changed;
        // The move of its keys starts with the notice that it is leaving.
        if (const auto* owner = m_state.workers.find(slice.owner.id);
            owner != nullptr && owner->entry.life == slice.owner)
            wait_start =
                std::max({wait_start, owner->leaving_since,
                          m_state.evacuations.since(owner->entry.zone).value_or(instant{})});
    }
    return std::max(wait_start + owner_wait_timeout, request.arrived + min_owner_wait);
}

const known_worker* request_forwarder::select_worker(routed_request& request, double& wait_ms)
{
    if (request.settings->is_sharded)
        return select_owner(request, wait_ms);
    const auto now = boot_clock::now();
    const auto workers = m_state.workers.ready(request.service);
    std::vector<worker_option> options;
    options.reserve(workers.size());
    double min_wait_ms = 0;
    double min_pause_ms = std::numeric_limits<double>::max();
    bool is_evacuated = false;
    for (const auto* worker : workers)
    {
        if (!m_state.may_use(*worker, false, now))
        {
            is_evacuated = true;
            options.emplace_back().is_excluded = true;
            continue;
        }
        if (worker->is_cold(now))
            m_state.presume_pace(worker->entry.life.id, *request.settings, now);
        auto option = make_worker_option(*worker, now);
        min_pause_ms = std::min(min_pause_ms, m_pauses.remaining_ms(worker->entry.life, now));
        const double closed_ms = remaining_backoff_ms(worker->entry, now);
        const auto denial = m_state.last_denial(worker->entry.life.id, now);
        const double blocked_ms = std::max(closed_ms, denial.retry_after_ms);
        option.is_excluded = request.refused_by.contains(worker->entry.life.id) || blocked_ms > 0 ||
                             (request.permit_denials >= max_permit_denials &&
                              m_state.rate_limit_of(worker->entry.life.id));
        if (blocked_ms > 0)
            min_wait_ms = min_wait_ms > 0 ? std::min(min_wait_ms, blocked_ms) : blocked_ms;
        if (!option.is_excluded)
        {
            const auto decision = admit(option, make_admission_inputs(request, *worker, now));
            option.is_excluded = !decision.is_admitted;
            if (!decision.is_admitted)
                min_wait_ms = min_wait_ms > 0 ? std::min(min_wait_ms, decision.retry_after_ms)
                                              : decision.retry_after_ms;
        }
        options.push_back(option);
    }
    std::uniform_real_distribution<double> sample(0, 1);
    const auto best =
        choose_worker(options, ms(request.matched_route->objective) * equal_time_share,
                      {sample(m_random), sample(m_random)});
    if (best)
        return workers[best->index];
    if (is_evacuated && min_wait_ms == 0)
        min_wait_ms = evacuated_retry_ms;
    wait_ms = request.refused_by.empty() ? min_wait_ms
                                         : std::max(min_wait_ms, typical_ms(request.service));
    request.paused_ms = workers.empty() ? 0.0 : min_pause_ms;
    return nullptr;
}

const known_worker* request_forwarder::select_owner(routed_request& request, double& wait_ms)
{
    request.paused_ms = 0;
    const auto map = m_state.maps.find(request.service);
    if (map == m_state.maps.end())
        return nullptr;
    const auto& slice = map->second.find(*request.key);
    if (!slice.is_ready || slice.owner.id.empty())
        return nullptr;
    const auto* worker = m_state.workers.find(slice.owner.id);
    const auto now = boot_clock::now();
    if (worker == nullptr || !m_state.may_use(*worker, true, now) ||
        worker->entry.life != slice.owner)
        return nullptr;
    request.paused_ms = m_pauses.remaining_ms(worker->entry.life, now);
    if (worker->is_cold(now))
        m_state.presume_pace(worker->entry.life.id, *request.settings, now);
    wait_ms = std::max({remaining_backoff_ms(worker->entry, now),
                        m_state.limits.queue_caller(worker->entry.life.id, now),
                        m_state.paces.queue_caller(worker->entry.life.id, now)});
    if (wait_ms > 0)
        return nullptr;
    const auto decision =
        admit(make_worker_option(*worker, now), make_admission_inputs(request, *worker, now));
    constexpr double ms_in_s = 1'000.0;
    constexpr double min_per_s = 0.1; // bounds Retry-After to 10 s
    wait_ms = decision.retry_after_ms;
    if (const auto limit = m_state.rate_limit_of(worker->entry.life.id))
        wait_ms = std::max(wait_ms, ms_in_s / std::max(*limit, min_per_s));
    return decision.is_admitted ? worker : nullptr;
}

/// Whether an incarnation of a worker accepts requests of this process.
bool request_forwarder::accepts_requests(const worker_incarnation& worker, instant now) const
{
    const auto* known = m_state.workers.find(worker.id);
    if (known == nullptr || known->entry.life != worker)
        return false;
    const auto* service =
        m_state.routes ? m_state.routes->find_service(known->entry.service) : nullptr;
    return m_state.may_use(*known, service != nullptr && service->is_sharded, now) &&
           m_pauses.remaining_ms(worker, now) == 0;
}

/// Whether a worker that was selected before a wait can still get the request.
bool request_forwarder::can_still_send(const routed_request& request,
                                       const worker_incarnation& worker) const
{
    const auto now = boot_clock::now();
    if (!accepts_requests(worker, now) || now >= request.deadline || request.watch->is_gone() ||
        !may_pass_on(request, now))
        return false;
    if (!request.settings->is_sharded)
        return true;
    const auto map = m_state.maps.find(request.service);
    return map != m_state.maps.end() && map->second.find(*request.key).is_ready &&
           map->second.find(*request.key).owner == worker;
}

/// Whether the process does not end before the request is answered.
bool request_forwarder::may_pass_on(const routed_request& request, instant now) const
{
    return !m_stop || m_stop->may_pass_on(now, request.deadline,
                                          millis(std::llround(typical_ms(request.service))));
}

/// Whether there are routes of lower priority, whose requests leave room for this one.
bool request_forwarder::is_urgent(const routed_request& request)
{
    return std::ranges::any_of(request.table->routes, [&](const auto& other)
                               { return other.priority > request.matched_route->priority; });
}

/// Remaining time, in ms, for which nothing is sent to a worker that rejects requests or has named
/// a time, or whose zone is unreachable; 0: open.
double request_forwarder::remaining_backoff_ms(const worker_entry& worker, instant now) const
{
    const auto link = m_links.find(worker.life.id);
    const double worker_ms = std::max(link ? link->backoff.remaining_backoff_ms(now) : 0.0,
                                      m_pauses.remaining_ms(worker.life, now));
    const auto zone = m_zone_backoffs.find(worker.zone);
    return zone == m_zone_backoffs.end()
               ? worker_ms
               : std::max(worker_ms, zone->second.remaining_backoff_ms(now));
}

admission_inputs request_forwarder::make_admission_inputs(const routed_request& request,
                                                          const known_worker& worker,
                                                          instant now) const
{
    admission_inputs inputs;
    inputs.objective_ms = ms(request.matched_route->objective);
    inputs.remaining_ms = ms(request.deadline - now);
    inputs.entries = m_state.members.size();
    if (const auto link = m_links.find(worker.entry.life.id))
        inputs.own_in_flight = link->in_flight();
    const auto load = m_state.worker_loads.find(worker.entry.life.id);
    if (request.settings->is_sharded && load != m_state.worker_loads.end())
    {
        constexpr double admission_ratio_scale = 1'000.0;
        inputs.admission_ratio = load->second.room / admission_ratio_scale;
        inputs.admission_sample = request.admission_sample;
        inputs.is_urgent = is_urgent(request);
    }
    return inputs;
}

worker_option request_forwarder::make_worker_option(const known_worker& worker, instant now) const
{
    constexpr double cold_factor = 2.0; // a request takes about twice as long right after a start
    worker_option option;
    option.slots = worker.entry.slots;
    option.is_same_zone = worker.entry.zone == m_state.self.zone;
    option.run_ms = typical_ms(worker.entry.service);
    const auto load = m_state.worker_loads.find(worker.entry.life.id);
    if (load != m_state.worker_loads.end())
    {
        // Permits bound the requests to a worker with a rate limit. Its load is only for processes
        // that do not ask for them.
        if (!m_state.rate_limit_of(worker.entry.life.id))
            option.in_flight = load->second.in_flight;
        if (load->second.typical_ms > 0)
            option.run_ms = load->second.typical_ms;
    }
    // A pace bounds the requests to a cold worker by how it responds, and its run times show how
    // slow it is.
    if (worker.is_cold(now) && !m_state.paces.find(worker.entry.life.id))
        option.run_ms *= cold_factor;
    if (const auto link = m_links.find(worker.entry.life.id))
    {
        // The coordinator's sum includes this process's last report.
        option.in_flight -= std::min(option.in_flight, link->reported());
        option.in_flight += link->in_flight();
        option.failing = link->failure_rate(now);
    }
    return option;
}

bool request_forwarder::may_retry(routed_request& request)
{
    if (request.may_have_run && !request.matched_route->is_idempotent)
        return false;
    return request.attempts < request.matched_route->max_attempts &&
           retry_budget_of(request.service).try_consume();
}

} // namespace eelgrassrail
