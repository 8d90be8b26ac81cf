/// Periodic work of the ownership agent as holder, as standby and as claimer of pools that are not
/// held or whose holder is gone.
#include <eelgrassrail/ownership/agent.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// Rendezvous hashing weight of a VM for a pool.
std::uint64_t rendezvous_weight(const pool_id& pool, const std::string& vm)
{
    const auto text = to_text(pool) + "|" + vm;
    return XXH64(text.data(), text.size(), 0);
}

std::vector<process_id> without(std::vector<process_id> processes, const process_id& id)
{
    std::erase(processes, id);
    return processes;
}

} // namespace

void ownership_agent::tick(instant now)
{
    m_heartbeat_due = now >= m_next_heartbeat;
    if (m_heartbeat_due)
        m_next_heartbeat = now + m_timing.heartbeat_interval;
    for (auto& [id, held] : m_held)
        tick_held(held, now);
    for (auto& [id, role] : m_standby_roles)
        tick_standby(id, role, now);
    if (m_has_read_log && !m_stopping)
        tick_zone(now);
    if (now >= m_next_hello)
        send_hellos(now);
    retry_appends(now);
}

void ownership_agent::tick_held(held_pool& held, instant now)
{
    const auto* pool = find_pool(m_state, held.id);
    if (!held.started && now >= held.starts_at)
    {
        held.started = true;
        if (!pool->active)
            append(activation{held.id, held.epoch}, now);
    }
    if (held.handing_over)
        return;
    if (const auto number = held.lease.relinquish_number(now); number && m_heartbeat_due)
        for (const auto& standby : held.lease.unrelinquished())
            m_outputs.messages.push_back(
                {standby.address, relinquish_request{m_self, held.id, held.epoch, *number}});
    if (m_heartbeat_due)
        for (const auto& standby : pool->standbys)
            m_outputs.messages.push_back({standby.address, heartbeat{m_self, held.id, held.epoch}});
    maintain_standbys(held, *pool, now);
    const auto is_failed = [&](const process_id& id) { return held.failed_standbys.contains(id); };
    // A standby that lacks history must be dropped before the resumption lets it claim again.
    if (held.resumption_number && !held.pending_appointment &&
        std::ranges::none_of(pool->standbys, is_failed))
        append(
            resumption{held.id, held.epoch, *std::exchange(held.resumption_number, std::nullopt)},
            now);
}

void ownership_agent::maintain_standbys(held_pool& held, const pool_state& pool, instant now)
{
    if (held.pending_appointment || held.sync_candidate || held.lease.is_without_log())
        return;
    auto live = pool.standbys;
    std::erase_if(live,
                  [&](const process_id& id)
                  {
                      const auto peer = m_neighbours.find(id.vm);
                      const bool is_stopping = peer != m_neighbours.end() &&
                                               peer->second.id == id && peer->second.stopping;
                      return is_stopping || held.failed_standbys.contains(id) ||
                             now - held.standby_last_seen.at(id) > m_timing.standby_timeout;
                  });
    if (live.size() < pool.standbys.size())
    {
        held.pending_appointment =
            append(appointment{held.id, held.epoch, pool.appointed, live}, now);
        m_pending_appends.at(*held.pending_appointment).appointment_pool = held.id;
        return;
    }
    if (live.size() >= m_timing.standby_count)
        return;
    if (const auto candidate = choose_candidate(held, pool, now))
    {
        held.sync_candidate = candidate;
        m_outputs.syncs.push_back({held.id, held.epoch, *candidate});
    }
}

std::optional<process_id>
ownership_agent::choose_candidate(const held_pool& held, const pool_state& pool, instant now) const
{
    std::optional<process_id> best;
    std::uint64_t best_weight = 0;
    for (const auto& [vm, peer] : m_neighbours)
    {
        const auto back_off = held.failed_candidates.find(vm);
        const bool is_standby = std::ranges::find(pool.standbys, peer.id) != pool.standbys.end();
        if (peer.id == m_self || peer.stopping || is_standby || peer.id.zone != pool.id.zone ||
            now - peer.last_seen > 3 * m_timing.hello_interval ||
            (back_off != held.failed_candidates.end() && now < back_off->second))
            continue;
        const auto weight = rendezvous_weight(pool.id, vm);
        if (!best || weight > best_weight)
        {
            best = peer.id;
            best_weight = weight;
        }
    }
    return best;
}

void ownership_agent::on_synced(const sync_request& request, bool succeeded, instant now)
{
    const auto it = m_held.find(request.pool);
    if (it == m_held.end() || it->second.epoch != request.epoch ||
        it->second.sync_candidate != request.candidate)
        return;
    auto& held = it->second;
    held.sync_candidate.reset();
    const auto* pool = find_pool(m_state, request.pool);
    if (!succeeded || held.handing_over || held.pending_appointment)
    {
        held.failed_candidates[request.candidate.vm] = now + 4 * m_timing.hello_interval;
        return;
    }
    held.failed_standbys.erase(request.candidate);
    auto standbys = pool->standbys;
    standbys.push_back(request.candidate);
    held.lease.add_candidates(standbys);
    held.standby_last_seen[request.candidate] = now;
    held.pending_appointment =
        append(appointment{held.id, held.epoch, pool->appointed, standbys}, now);
    m_pending_appends.at(*held.pending_appointment).appointment_pool = held.id;
}

void ownership_agent::tick_standby(const pool_id& id, standby_role& role, instant now)
{
    const auto* pool = find_pool(m_state, id);
    const auto it = std::ranges::find(pool->standbys, m_self);
    if (it == pool->standbys.end())
        return;
    const auto rank = it - pool->standbys.begin();
    if (!m_stopping &&
        role.should_claim(now, m_timing.holder_timeout + rank * m_timing.claim_stagger))
    {
        role.on_claim_sent();
        append_claim(*pool, claim_evidence::silence, now);
    }
}

void ownership_agent::append_claim(const pool_state& pool, claim_evidence evidence, instant now)
{
    // Only standbys of the ended epoch are appointed, since they have its history.
    auto standbys = evidence == claim_evidence::silence ? without(pool.standbys, m_self)
                                                        : std::vector<process_id>{};
    const auto id = append(claim{pool.id, pool.epoch, m_self, std::move(standbys), evidence}, now);
    m_pending_appends.at(id).claimed_pool = pool.id;
}

bool ownership_agent::has_pending_claim(const pool_id& pool) const
{
    return std::ranges::any_of(m_pending_appends, [&](const auto& entry)
                               { return entry.second.claimed_pool == pool; });
}

std::vector<std::string> ownership_agent::zone_vms() const
{
    std::vector<std::string> result{m_self.vm};
    for (const auto& vm : m_vms)
        if (vm.zone == m_self.zone && !vm.leaving && vm.vm != m_self.vm)
            result.push_back(vm.vm);
    std::ranges::sort(result);
    return result;
}

int ownership_agent::rank_in_zone(const pool_id& pool) const
{
    const auto own = rendezvous_weight(pool, m_self.vm);
    return static_cast<int>(std::ranges::count_if(zone_vms(), [&](const std::string& vm)
                                                  { return rendezvous_weight(pool, vm) > own; }));
}

void ownership_agent::tick_zone(instant now)
{
    claim_unheld(now);
    for (const auto& pool : m_state.pools)
        if (pool.id.zone == m_self.zone && pool.holder && pool.holder != m_self)
            claim_abandoned(pool, now);
    release_evacuated(now);
}

void ownership_agent::claim_unheld(instant now)
{
    std::map<std::string, std::size_t> load;
    for (const auto& vm : zone_vms())
        load[vm] = 0;
    for (const auto& pool : m_state.pools)
        if (pool.holder && load.contains(pool.holder->vm))
            ++load[pool.holder->vm];
    for (const auto& pool : m_state.pools)
    {
        if (pool.holder || pool.id.zone != m_self.zone)
            continue;
        // The VM with the fewest pools claims first. Every process of the zone computes the same
        // result.
        const auto it =
            std::ranges::min_element(load,
                                     [&](const auto& a, const auto& b)
                                     {
                                         return a.second != b.second
                                                    ? a.second < b.second
                                                    : rendezvous_weight(pool.id, a.first) >
                                                          rendezvous_weight(pool.id, b.first);
                                     });
        ++it->second;
        const auto since = m_unheld_since.try_emplace(pool.id, now).first->second;
        const auto rank = it->first == m_self.vm ? 0 : 1 + rank_in_zone(pool.id);
        const auto delay = rank * m_timing.claim_stagger;
        if (now - since >= delay && !has_pending_claim(pool.id))
            append_claim(pool, claim_evidence::unheld, now);
    }
}

/// Whether the platform's VM list proves that a VM is gone. An outdated list is no evidence, as it
/// says nothing about the time since it was read.
bool ownership_agent::is_gone(const std::string& vm, instant now) const
{
    const auto it = m_absent_since.find(vm);
    if (it == m_absent_since.end() || now - m_listed_at > m_timing.max_vm_list_age)
        return false;
    return m_ever_listed.contains(vm) || m_listed_at - it->second >= m_timing.vm_list_lag;
}

void ownership_agent::claim_abandoned(const pool_state& pool, instant now)
{
    if (has_pending_claim(pool.id))
        return;
    if (pool.holder->vm == m_self.vm && pool.holder->address == m_self.address)
    {
        append_claim(pool, claim_evidence::same_address, now);
        return;
    }
    const bool gone = is_gone(pool.holder->vm, now) &&
                      std::ranges::all_of(pool.standbys, [&](const process_id& id)
                                          { return is_gone(id.vm, now); });
    const auto* service = find_service(m_state, pool.id.service);
    const auto delay = rank_in_zone(pool.id) * m_timing.claim_stagger;
    if (!gone)
        m_abandoned_since.erase(pool.id);
    else if (service->spec.trust_vm_list &&
             now - m_abandoned_since.try_emplace(pool.id, now).first->second >= delay)
    {
        append_claim(pool, claim_evidence::vm_gone, now);
        return;
    }
    const auto it = m_unreachable_since.find(pool.id);
    if (it != m_unreachable_since.end() && now - it->second >= m_timing.isolation_timeout + delay)
    {
        m_unreachable_since.erase(it);
        append_claim(pool, claim_evidence::isolation, now);
    }
}

void ownership_agent::release_evacuated(instant now)
{
    for (const auto& [id, held] : m_held)
    {
        const auto* service = find_service(m_state, id.service);
        if (service->pending.empty())
            continue;
        const auto wait = millis(service->spec.lease_ms + lease_margin_ms) +
                          millis(max_class_run_ms(service->spec));
        const auto [it, is_new] = m_evacuation_deadlines.try_emplace(service->offset, now + wait);
        if (is_new || now < it->second)
            continue;
        for (const auto& pool : m_state.pools)
        {
            const auto& zones = service->spec.evacuated_zones;
            const bool has_pending =
                std::ranges::find(service->pending, pool.id.index, &pending_slice::from) !=
                service->pending.end();
            if (pool.id.service == id.service && has_pending &&
                std::ranges::find(zones, pool.id.zone) != zones.end())
                append(slice_release{pool.id, pool.epoch, service->offset + 1, true}, now);
        }
        it->second = now + 4 * wait;
    }
}

void ownership_agent::release_slices(const pool_id& pool, log_offset as_of, instant now)
{
    if (const auto it = m_held.find(pool); it != m_held.end())
        append(slice_release{pool, it->second.epoch, as_of, false}, now);
}

bool ownership_agent::hand_over(const pool_id& id, instant now)
{
    const auto it = m_held.find(id);
    const auto* pool = find_pool(m_state, id);
    if (it == m_held.end() || it->second.handing_over || !pool->active || pool->standbys.empty())
        return false;
    const auto successor = std::ranges::max_element(pool->standbys, {},
                                                    [&](const process_id& s)
                                                    { return it->second.standby_last_seen.at(s); });
    it->second.handing_over = true;
    append(handover{id, it->second.epoch, *successor, without(pool->standbys, *successor)}, now);
    return true;
}

void ownership_agent::send_hellos(instant now)
{
    m_next_hello = now + m_timing.hello_interval;
    std::vector<const listed_vm*> ring;
    for (const auto& vm : m_vms)
        if (vm.zone == m_self.zone && vm.vm != m_self.vm)
            ring.push_back(&vm);
    std::ranges::sort(ring, {}, [](const listed_vm* vm) { return vm->vm; });
    const auto after =
        std::ranges::upper_bound(ring, m_self.vm, {}, [](const listed_vm* vm) { return vm->vm; });
    std::rotate(ring.begin(), after, ring.end());
    for (const auto* vm : std::span(ring).first(std::min(ring.size(), m_timing.hello_targets)))
        m_outputs.messages.push_back({vm->address, hello{m_self, m_stopping}});
}

} // namespace eelgrassrail
