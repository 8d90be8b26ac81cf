/// Lookups in the folded state and its conversion to and from a snapshot.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/core/json_reader.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <algorithm>

namespace eelgrassrail
{

const service_state* find_service(const deployment_state& state, std::string_view name) noexcept
{
    const auto it = std::ranges::find(state.services, name,
                                      [](const service_state& service)
                                      { return std::string_view(service.spec.name); });
    return it == state.services.end() ? nullptr : &*it;
}

const pool_state* find_pool(const deployment_state& state, const pool_id& id) noexcept
{
    const auto it = std::ranges::lower_bound(state.pools, id, {}, &pool_state::id);
    return it == state.pools.end() || it->id != id ? nullptr : &*it;
}

const pool_state* find_owning_pool(const deployment_state& state, const service_state& service,
                                   slice_index slice) noexcept
{
    if (slice >= service.slice_pools.size())
        return nullptr;
    const auto index = service.slice_pools[slice];
    const auto it = std::ranges::find_if(
        state.pools, [&](const pool_state& pool)
        { return pool.id.index == index && pool.id.service == service.spec.name; });
    return it == state.pools.end() ? nullptr : &*it;
}

const pending_slice* find_pending_slice(const service_state& service, slice_index slice) noexcept
{
    const auto it = std::ranges::lower_bound(service.pending, slice, {}, &pending_slice::slice);
    return it == service.pending.end() || it->slice != slice ? nullptr : &*it;
}

snapshot make_snapshot(const deployment_state& state)
{
    snapshot result;
    result.as_of = state.next;
    result.state = boost::json::serialize(boost::json::value_from(state));
    result.hash = XXH64(result.state.data(), result.state.size(), 0);
    return result;
}

deployment_state read_snapshot(const snapshot& value)
{
    if (XXH64(value.state.data(), value.state.size(), 0) != value.hash)
        throw ticket_error(230, "snapshot: the hash does not match the state");
    boost::json::error_code ec;
    const auto parsed = boost::json::parse(value.state, ec);
    if (ec.failed())
        throw ticket_error(221, "snapshot: not valid JSON: " + ec.message());
    return json_reader("snapshot").read<deployment_state>(parsed);
}

} // namespace eelgrassrail
