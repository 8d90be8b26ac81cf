/// Faults, checks and complete sessions of the simulation.
#include "ownership_world.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassrail::fakes
{
namespace
{

constexpr millis step{10};
constexpr millis fault_time{12'000};
constexpr millis healing_time{14'000};
constexpr millis takeover_time{2'000}; ///< maximum time until all slices are served again

} // namespace

void ownership_world::crash(std::size_t n)
{
    note("crash " + m_processes[n]->vm);
    m_processes[n]->crashed = true;
    update_vm_lists();
}

void ownership_world::restart(std::size_t n)
{
    note("restart " + m_processes[n]->vm);
    start(n);
    update_vm_lists();
}

void ownership_world::replace(std::size_t n)
{
    m_processes[n]->vm = "vm" + std::to_string(m_vms++);
    note("new vm " + m_processes[n]->vm);
    m_processes[n]->cut_from.clear();
    start(n);
    update_vm_lists();
}

void ownership_world::pause(std::size_t n, millis length)
{
    auto& process = *m_processes[n];
    note("pause " + process.vm + " for " + std::to_string(length.count()) + " ms");
    process.paused_until = m_now + length;
    schedule(length, [this, n] { m_processes[n]->paused_until.reset(); });
}

void ownership_world::set_log_down(bool down)
{
    note(down ? "log down" : "log up");
    m_log_down = down;
}

void ownership_world::cut(std::size_t n, const std::string& other)
{
    note("cut " + m_processes[n]->vm + " from " + other);
    m_processes[n]->cut_from.insert(other);
}

void ownership_world::retain_last(std::size_t records)
{
    while (m_log.size() > records)
    {
        m_log.erase(m_log.begin());
        ++m_start;
    }
}

void ownership_world::heal()
{
    note("heal");
    m_log_down = false;
    m_lose_replies = false;
    for (std::size_t n = 0; n < m_processes.size(); ++n)
    {
        m_processes[n]->cut_from.clear();
        if (m_processes[n]->crashed)
            replace(n);
    }
}

void ownership_world::random_ticket()
{
    auto value = m_services;
    auto& workers = value.services[0].workers;
    const auto count = std::uniform_int_distribution<std::size_t>(1, workers.size())(m_random);
    std::ranges::shuffle(workers, m_random);
    workers.resize(count);
    // Two operators publish concurrently: both tickets are based on the state of one process.
    const auto base = m_processes[0]->agent->state().in_force;
    note("two tickets based on " + std::to_string(base));
    publish(value, base);
    publish(m_services, base);
}

void ownership_world::random_fault()
{
    const auto n = std::uniform_int_distribution<std::size_t>(0, m_processes.size() - 1)(m_random);
    auto& process = *m_processes[n];
    switch (std::uniform_int_distribution<int>(0, 8)(m_random))
    {
    case 0:
        if (m_faults.crash && !process.crashed)
            crash(n);
        break;
    case 1:
        if (process.crashed)
            chance(50) ? restart(n) : replace(n);
        break;
    case 2:
        if (m_faults.pause && is_up(process))
            pause(n, random_delay(100, 2'500));
        break;
    case 3:
        if (m_faults.cut)
            cut(n, m_processes[(n + 1) % m_processes.size()]->vm);
        break;
    case 4:
        if (m_faults.cut)
            cut(n, "log");
        break;
    case 5:
        process.cut_from.clear();
        break;
    case 6:
        if (m_faults.log_outage)
            set_log_down(!m_log_down);
        break;
    case 7:
        if (m_faults.tickets)
            random_ticket();
        break;
    default:
        if (m_faults.retention && is_up(process) && !process.agent->held().empty())
            process.agent->append_snapshot(local_now(process));
        break;
    }
    schedule(random_delay(50, 900),
             [this]
             {
                 if (m_now < instant() + std::chrono::seconds(100) + fault_time)
                     random_fault();
             });
}

void ownership_world::check()
{
    std::map<slice_index, std::string> senders;
    for (const auto& process : m_processes)
    {
        if (!is_up(*process))
            continue;
        const auto& state = process->agent->state();
        if (state.in_force < m_highest_in_force && state.next == m_hashes.rbegin()->first)
            m_violation = "the number of the ticket in force decreased";
        m_highest_in_force = std::max(m_highest_in_force, state.in_force);
        if (std::exchange(process->checked, state.next) != state.next)
        {
            const auto hash = make_snapshot(state).hash;
            if (const auto [it, is_new] = m_hashes.try_emplace(state.next, hash);
                !is_new && it->second != hash)
                m_violation = "two processes folded different states";
        }
        const auto* service = find_service(state, "orders");
        if (service == nullptr)
            continue;
        for (slice_index slice = 0; slice < slice_count; ++slice)
        {
            const auto* pool = find_owning_pool(state, *service, slice);
            const bool sends = pool != nullptr && find_pending_slice(*service, slice) == nullptr &&
                               process->agent->has_valid_lease(pool->id, local_now(*process));
            if (!sends)
                continue;
            const auto [it, is_new] = senders.try_emplace(slice, process->vm);
            if (!is_new)
                m_violation = "slice " + std::to_string(slice) + " has two senders, " + it->second +
                              " and " + process->vm;
        }
    }
    m_unserved_ms += (slice_count - senders.size()) * static_cast<std::uint64_t>(step.count());
    if (!m_violation.empty())
        note("VIOLATION " + m_violation);
}

std::optional<std::size_t> ownership_world::acting(const pool_id& pool) const
{
    for (std::size_t n = 0; n < m_processes.size(); ++n)
        if (is_up(*m_processes[n]) &&
            m_processes[n]->agent->has_valid_lease(pool, local_now(*m_processes[n])))
            return n;
    return std::nullopt;
}

bool ownership_world::is_all_served() const
{
    const auto& state = m_processes[0]->agent->state();
    const auto* service = find_service(state, "orders");
    if (service == nullptr || !service->pending.empty())
        return false;
    for (slice_index slice = 0; slice < slice_count; ++slice)
    {
        const auto* pool = find_owning_pool(state, *service, slice);
        if (pool == nullptr || !acting(pool->id))
            return false;
    }
    return true;
}

std::string ownership_world::run()
{
    advance(millis(1'500));
    random_fault();
    advance(fault_time);
    if (!m_violation.empty())
        return m_violation;
    heal();
    advance(healing_time);
    if (!m_violation.empty())
        return m_violation;
    // Messages can still be lost, so a takeover may be in progress at any time.
    for (millis waited{0}; waited < takeover_time && !is_all_served(); waited += step)
        advance(step);
    if (!m_violation.empty())
        return m_violation;
    return is_all_served() ? "" : "after healing not every slice is served";
}

} // namespace eelgrassrail::fakes
