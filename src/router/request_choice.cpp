/// Which worker a request goes to, and whether it is taken in.
#include "router_times.hpp"
#include <eelgrassrail/router/request_path.hpp>
#include <eelgrassrail/router/routed_request.hpp>

#include <algorithm>
#include <random>

namespace eelgrassrail
{
namespace
{

/// Wait of a request whose key has no owner for longer than that.
constexpr millis shortest_owner_wait{50};

/// Part of the objective up to which an expected time leaves room for runs that take longer.
constexpr double comfort = 0.45;

} // namespace

/// Until when a request waits for an owner of its key.
instant request_path::owner_expected_by(const routed_request& request) const
{
    const auto map = m_state.maps.find(request.service);
    const auto moving_since =
        map == m_state.maps.end() ? m_state.started : map->second.find(*request.key).changed;
    return std::max(moving_since + longest_owner_wait, request.arrived + shortest_owner_wait);
}

const known_worker* request_path::pick(routed_request& request, double& wait_ms)
{
    if (request.terms->divided_by_key)
        return pick_owner(request, wait_ms);
    const auto now = boot_clock::now();
    const auto workers = m_state.workers.ready(request.service);
    std::vector<worker_option> options;
    options.reserve(workers.size());
    double soonest_ms = 0;
    for (const auto* worker : workers)
    {
        auto option = describe_worker(*worker, now);
        const double closed_ms = closed_for_ms(worker->entry, now);
        option.is_excluded = request.refused_by.contains(worker->entry.life.id) || closed_ms > 0;
        if (closed_ms > 0)
            soonest_ms = soonest_ms > 0 ? std::min(soonest_ms, closed_ms) : closed_ms;
        if (!option.is_excluded)
        {
            const auto decision = admit(option, terms_of(request, *worker, now));
            option.is_excluded = !decision.is_admitted;
            if (!decision.is_admitted)
                soonest_ms = soonest_ms > 0 ? std::min(soonest_ms, decision.come_back_ms)
                                            : decision.come_back_ms;
        }
        options.push_back(option);
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const auto best = choose_worker(options, ms(request.way->objective) * comfort,
                                    {draw(m_random), draw(m_random)});
    if (best)
        return workers[best->index];
    wait_ms =
        request.refused_by.empty() ? soonest_ms : std::max(soonest_ms, typical_ms(request.service));
    return nullptr;
}

const known_worker* request_path::pick_owner(routed_request& request, double& wait_ms) const
{
    const auto map = m_state.maps.find(request.service);
    if (map == m_state.maps.end())
        return nullptr;
    const auto& slice = map->second.find(*request.key);
    if (!slice.is_ready || slice.owner.id.empty())
        return nullptr;
    const auto* worker = m_state.workers.find(slice.owner.id);
    if (worker == nullptr || !worker->takes_work() || worker->entry.life != slice.owner)
        return nullptr;
    const auto now = boot_clock::now();
    wait_ms = closed_for_ms(worker->entry, now);
    if (wait_ms > 0)
        return nullptr;
    const auto decision = admit(describe_worker(*worker, now), terms_of(request, *worker, now));
    wait_ms = decision.come_back_ms;
    return decision.is_admitted ? worker : nullptr;
}

/// For how long nothing is sent to a worker that turns requests away, or to one in a zone that can
/// not be reached.
double request_path::closed_for_ms(const worker_entry& worker, instant now) const
{
    const auto link = m_links.find(worker.life.id);
    const double own = link ? link->window.closed_for_ms(now) : 0;
    const auto zone = m_zones.find(worker.zone);
    return zone == m_zones.end() ? own : std::max(own, zone->second.closed_for_ms(now));
}

admission_terms request_path::terms_of(const routed_request& request, const known_worker& worker,
                                       instant now) const
{
    admission_terms terms;
    terms.objective_ms = ms(request.way->objective);
    terms.left_ms = ms(request.give_up - now);
    terms.entries = m_state.members.size();
    if (const auto link = m_links.find(worker.entry.life.id))
        terms.own = link->in_flight();
    const auto use = m_state.use.find(worker.entry.life.id);
    if (request.terms->divided_by_key && use != m_state.use.end())
    {
        constexpr double whole = 1'000.0;
        terms.room = use->second.room / whole;
        terms.draw = request.draw;
        terms.is_urgent = std::ranges::any_of(request.table->routes, [&](const auto& other)
                                              { return other.priority > request.way->priority; });
    }
    return terms;
}

worker_option request_path::describe_worker(const known_worker& worker, instant now) const
{
    constexpr double cold_factor = 2.0; // a worker that has just started takes about twice as long
    worker_option option;
    option.slots = worker.entry.slots;
    option.is_near = worker.entry.zone == m_state.self.zone;
    option.run_ms = typical_ms(worker.entry.service);
    const auto use = m_state.use.find(worker.entry.life.id);
    if (use != m_state.use.end())
    {
        option.in_flight = use->second.in_flight;
        if (use->second.typical_ms > 0)
            option.run_ms = use->second.typical_ms;
    }
    if (worker.is_cold(now))
        option.run_ms *= cold_factor;
    if (const auto link = m_links.find(worker.entry.life.id))
    {
        // What the coordinator has summed up contains this process's last report.
        option.in_flight -= std::min(option.in_flight, link->reported());
        option.in_flight += link->in_flight();
        option.failing = link->failing(now);
    }
    return option;
}

bool request_path::may_retry(routed_request& request)
{
    if (request.may_have_run && !request.way->is_idempotent)
        return false;
    return request.sent < request.way->max_attempts && budget(request.service).take();
}

} // namespace eelgrassrail
