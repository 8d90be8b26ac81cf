/// Application of an accepted ticket: worker pools and the assignment of slices to pools.
#include <eelgrassrail/tickets/fold.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace eelgrassrail
{
namespace
{

std::vector<pool_state*> pools_of(deployment_state& state, const std::string& service)
{
    std::vector<pool_state*> result;
    for (auto& pool : state.pools)
        if (pool.id.service == service)
            result.push_back(&pool);
    return result;
}

/// Removes workers that left and adds new ones to the smallest pool of their zone, or to a new pool
/// if all are full.
void update_pool_members(deployment_state& state, const service_spec& spec)
{
    std::set<std::string> assigned;
    std::uint32_t next_index = 0;
    for (auto* pool : pools_of(state, spec.name))
    {
        std::erase_if(pool->workers,
                      [&](const std::string& id)
                      {
                          const auto it = std::ranges::find(spec.workers, id, &worker_spec::id);
                          return it == spec.workers.end() || it->zone != pool->id.zone;
                      });
        assigned.insert(pool->workers.begin(), pool->workers.end());
        next_index = std::max(next_index, pool->id.index + 1);
    }
    for (const auto& worker : spec.workers)
    {
        if (assigned.contains(worker.id))
            continue;
        auto pools = pools_of(state, spec.name);
        std::erase_if(
            pools, [&](const pool_state* pool)
            { return pool->id.zone != worker.zone || pool->workers.size() >= max_pool_workers; });
        const auto it = std::ranges::min_element(
            pools, {}, [](const pool_state* pool) { return pool->workers.size(); });
        if (it != pools.end())
        {
            (*it)->workers.push_back(worker.id);
            continue;
        }
        pool_state new_pool;
        new_pool.id = {spec.name, worker.zone, next_index++};
        new_pool.workers = {worker.id};
        new_pool.longest_lease_ms = spec.lease_ms;
        state.pools.push_back(std::move(new_pool));
    }
    std::ranges::sort(state.pools, {}, &pool_state::id);
}

std::vector<pool_share> shares_of(deployment_state& state, const service_spec& spec)
{
    std::vector<pool_share> shares;
    for (const auto* pool : pools_of(state, spec.name))
    {
        const bool evacuated =
            std::ranges::find(spec.evacuated_zones, pool->id.zone) != spec.evacuated_zones.end();
        std::uint64_t weight = 0;
        for (const auto& worker : spec.workers)
            if (!evacuated && std::ranges::find(pool->workers, worker.id) != pool->workers.end())
                weight += worker.weight;
        shares.push_back({pool->id.index, weight});
    }
    return shares;
}

/// Records for each moved slice which pool must release it before the new pool may serve it.
void update_pending(service_state& service, std::span<const std::uint32_t> after, log_offset offset)
{
    std::vector<pending_slice> pending;
    for (slice_index slice = 0; slice < after.size(); ++slice)
    {
        const auto before = service.slice_pools[slice];
        const auto* existing = find_pending_slice(service, slice);
        const auto releaser = existing != nullptr ? existing->from : before;
        const auto since = existing != nullptr && before == after[slice] ? existing->since : offset;
        if (releaser != after[slice])
            pending.push_back({slice, releaser, since});
    }
    service.pending = std::move(pending);
}

void update_slices(deployment_state& state, service_state& service, log_offset offset)
{
    const auto shares = shares_of(state, service.spec);
    const bool is_new = service.slice_pools.empty();
    std::vector<std::uint32_t> current = service.slice_pools;
    constexpr std::uint32_t no_pool = UINT32_MAX;
    if (is_new)
        current.assign(service.spec.slices, no_pool);
    auto after = assign_slices(current, shares);
    if (!is_new)
        update_pending(service, after, offset);
    service.slice_pools = std::move(after);
}

void remove_service(deployment_state& state, const std::string& name)
{
    std::erase_if(state.services, [&](const service_state& s) { return s.spec.name == name; });
    std::erase_if(state.pools, [&](const pool_state& pool) { return pool.id.service == name; });
    state.retired_services.push_back(name);
}

void set_service(deployment_state& state, log_offset offset, const ticket& value,
                 const service_spec& spec)
{
    const auto it = std::ranges::lower_bound(state.services, spec.name, {},
                                             [](const service_state& s) { return s.spec.name; });
    auto& service = it != state.services.end() && it->spec.name == spec.name
                        ? *it
                        : *state.services.insert(it, service_state{});
    service.spec = spec;
    service.number = state.in_force;
    service.author = value.author;
    service.reason = value.reason;
    service.offset = offset;
    update_pool_members(state, spec);
    for (auto* pool : pools_of(state, spec.name))
        pool->longest_lease_ms = std::max(pool->longest_lease_ms, spec.lease_ms);
    update_slices(state, service, offset);
}

/// Number of slices for each pool in proportion to the weights, by the largest remainder method.
std::map<std::uint32_t, std::size_t> quotas(std::size_t slices, std::span<const pool_share> shares)
{
    std::uint64_t total = 0;
    for (const auto& share : shares)
        total += share.weight;
    std::map<std::uint32_t, std::size_t> result;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> remainders;
    std::size_t assigned = 0;
    for (const auto& share : shares)
    {
        const auto exact = slices * share.weight;
        result[share.index] = exact / total;
        assigned += exact / total;
        if (share.weight > 0)
            remainders.emplace_back(exact % total, share.index);
    }
    std::ranges::sort(remainders, [](const auto& a, const auto& b)
                      { return a.first != b.first ? a.first > b.first : a.second < b.second; });
    for (std::size_t n = 0; assigned < slices; ++n, ++assigned)
        ++result[remainders[n % remainders.size()].second];
    return result;
}

} // namespace

std::vector<std::uint32_t> assign_slices(std::span<const std::uint32_t> current,
                                         std::span<const pool_share> shares)
{
    auto remaining = quotas(current.size(), shares);
    std::vector<std::uint32_t> result(current.begin(), current.end());
    std::vector<slice_index> unassigned;
    for (slice_index slice = 0; slice < result.size(); ++slice)
    {
        const auto it = remaining.find(result[slice]);
        if (it == remaining.end() || it->second == 0)
            unassigned.push_back(slice);
        else
            --it->second;
    }
    auto target = remaining.begin();
    for (const auto slice : unassigned)
    {
        while (target->second == 0)
            ++target;
        result[slice] = target->first;
        --target->second;
    }
    return result;
}

void apply_ticket(deployment_state& state, log_offset offset, const ticket& value)
{
    for (const auto& name : value.removed_services)
        remove_service(state, name);
    for (const auto& spec : value.services)
        set_service(state, offset, value, spec);
}

} // namespace eelgrassrail
