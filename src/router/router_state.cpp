/// Merges pushes, state copies and ownership records into the local view of the cluster state.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/limits/pace_controller.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <algorithm>
#include <chrono>

namespace eelgrassrail
{
namespace
{

/// State older than this does not prove that a route does not exist. Several pushes and one read of
/// the store fit into this time.
constexpr millis freshness_limit{1'500};

/// Maximum members in an ownership record; they take about 20 KB.
constexpr std::size_t max_recorded_members = 512;

} // namespace

router_state::router_state(const boost::asio::any_io_executor& executor, router_settings given,
                           platform_calls store, wire_format names)
    : settings(std::move(given))
    , calls(std::move(store))
    , format(std::move(names))
    , self{settings.peer_address, settings.zone, unix_ms()}
    , started(boot_clock::now())
    , feed(workers, settings.worker_heartbeat)
    , changed(executor)
{
}

bool router_state::apply_routes(const std::string& text)
{
    try
    {
        auto table = calls.decode_routes(text);
        if (routes && table.version <= routes->version)
            return table.version == routes->version;
        log_info(log_part::entry, "routes in force version=" + std::to_string(table.version) +
                                      " routes=" + std::to_string(table.routes.size()));
        routes = std::make_shared<const route_table>(std::move(table));
        routes_text = text;
        changed.notify();
        return true;
    }
    catch (const exception& e)
    {
        log_error(log_part::platform, std::string("desired state ignored: ") + e.what());
        counters.count("desired_states_ignored");
        return false;
    }
}

void router_state::apply_ownership(const ownership_record& record)
{
    if (record.version <= ownership_version)
        return;
    set_ownership_version(record.version);
    if (!(coordinator == record.coordinator))
        log_info(log_part::ownership,
                 "coordinator on record address=" + record.coordinator.address +
                     " version=" + std::to_string(record.version));
    if (!(coordinator == record.coordinator))
    {
        coordinator_since = boot_clock::now();
        store_lost_since = {};
        if (is_coordinator())
        {
            // What this process has read in its term is not of the next coordinator.
            unconfirmed_end = feed.position();
            push_sender = {};
        }
    }
    coordinator = record.coordinator;
    if (members.empty())
        members = record.members;
    maps.clear();
    for (const auto& service : record.services)
        for (auto slice : service.slices)
        {
            slice.changed = coordinator_since;
            maps[service.service].assign_slice(slice);
        }
    changed.notify();
}

void router_state::adopt_record(const ownership_record& record)
{
    ownership_version = 0;
    apply_ownership(record);
}

void router_state::set_ownership_version(std::uint64_t version)
{
    ownership_version = version;
    max_ownership_version = std::max(max_ownership_version, version);
}

void router_state::assign(const slice_change& change)
{
    auto slice = change.slice;
    slice.changed = boot_clock::now();
    maps[change.service].assign_slice(slice);
}

void router_state::apply_slice(const slice_change& change)
{
    assign(change);
    set_ownership_version(std::max(ownership_version, change.version));
}

bool router_state::apply_push(const coordinator_push& push, instant now)
{
    const auto epoch = ownership_version >> epoch_shift;
    const auto sender_epoch = push.ownership_version >> epoch_shift;
    if (sender_epoch < epoch || (sender_epoch == epoch && !(push.sender == coordinator)))
        return true; // from a superseded coordinator that does not know it yet
    last_push = now;
    if (!push.lacks_store)
    {
        store_lost_since = {};
        feed.on_store_answered(now, now);
    }
    else if (store_lost_since == instant{})
        store_lost_since = now;
    if (!push.members.empty())
        members = push.members;
    for (const auto& item : push.use)
        worker_loads[item.id] = item;
    bool is_complete = sender_epoch == epoch && push.ownership_base <= ownership_version;
    bool has_changes = false;
    if (is_complete)
    {
        for (const auto& change : push.ownership)
            if (change.version > ownership_version)
            {
                assign(change);
                has_changes = true;
            }
        set_ownership_version(std::max(ownership_version, push.ownership_version));
    }
    const bool same_sender = push_sender == push.sender;
    if (same_sender && push.workers_base <= push_revision)
    {
        for (const auto& change : push.workers)
            if (unconfirmed_end == 0 || !workers.is_outdated(change, feed.position()))
                has_changes = workers.apply(change, now) || has_changes;
        push_revision = std::max(push_revision, push.workers_revision);
        if (unconfirmed_end == 0)
            workers.advance(push.workers_end);
        else if (push.workers_end >= unconfirmed_end)
            is_complete = false;
    }
    else if (!same_sender || push.workers_revision > push_revision)
        is_complete = false;
    if (!routes || push.routes_version > routes->version)
        is_complete = false;
    if (is_complete)
        fresh_at = std::max(fresh_at, now - millis(push.age_ms));
    if (has_changes)
        changed.notify();
    return is_complete;
}

void router_state::observe_leaving(const worker_incarnation& worker, const http_reply& answer,
                                   instant now)
{
    if (find_field(answer.fields, format.leaving) != std::string_view("1") ||
        !workers.mark_leaving(worker, now))
        return;
    counters.count("workers_seen_leaving");
    log_info(log_part::dispatch, "worker says it is leaving worker=" + worker.id +
                                     " born=" + std::to_string(worker.born_ms));
    changed.notify();
}

void router_state::apply_leaving(std::span<const worker_incarnation> announced, instant now)
{
    const auto added = workers.mark_announced_leaving(announced, now);
    for (const auto& worker : added)
        log_info(log_part::dispatch, "worker announced as leaving worker=" + worker.id +
                                         " born=" + std::to_string(worker.born_ms));
    counters.count("workers_announced_leaving", added.size());
    if (!added.empty())
        changed.notify();
}

void router_state::on_workers_read()
{
    unconfirmed_end = is_coordinator() ? 0 : feed.position();
}

void router_state::merge_copy(const state_copy& copy, instant now)
{
    apply_ownership(copy.ownership);
    if (!copy.routes_text.empty() && (!routes || copy.routes_version > routes->version))
        apply_routes(copy.routes_text);
    if (copy.workers_end > 0)
    {
        const auto known_until = std::max(unconfirmed_end, workers.newest_end());
        if (copy.revision_of.address.empty())
        {
            unconfirmed_end = std::max(known_until, copy.workers_end);
            for (const auto& change : copy.workers)
                unconfirmed_end = std::max(unconfirmed_end, change.offset + 1);
        }
        else
            unconfirmed_end = copy.workers_end < known_until ? known_until : 0;
        feed.on_store_answered(now - millis(copy.age_ms), now - millis(copy.age_ms));
        if (is_coordinator())
            feed.apply_listing(copy.workers, copy.workers_end, now);
        else
        {
            // It may list a worker that this process has read to be removed; that is read again.
            feed.reset();
            workers.replace(copy.workers, copy.workers_end, now);
        }
        workers_unknown = false;
    }
    // Pushes continue what a copy contains, so one without the workers is not enough.
    const bool has_workers = copy.workers_end > 0 || workers.newest_end() == 0;
    push_sender = has_workers ? copy.revision_of : coordinator_identity();
    push_revision = copy.workers_revision;
    fresh_at = std::max(fresh_at, now - millis(copy.age_ms));
    changed.notify();
}

void router_state::apply_crashes(std::span<const aged_crash> announced, instant now)
{
    for (const auto& crash : announced)
        crashes.on_server_lost(crash.fingerprint, crash.worker, now - millis(crash.age_ms));
}

void router_state::apply_evacuations(std::span<const zone_evacuation> changes, instant now)
{
    for (const auto& change : changes)
        if (evacuations.apply(change, now))
            on_evacuation_changed(change.zone, now);
}

void router_state::apply_evacuation_listing(std::span<const zone_evacuation> listing,
                                            std::uint64_t end, instant now)
{
    for (const auto& zone : evacuations.apply_listing(listing, end, now))
        on_evacuation_changed(zone, now);
}

/// The workers of a zone that is taken back may be cold, whatever their last entries say.
void router_state::on_evacuation_changed(const std::string& zone, instant now)
{
    const bool is_evacuated = evacuations.since(zone).has_value();
    log_info(log_part::platform,
             "evacuation " + std::string(is_evacuated ? "begins" : "ends") + " zone=" + zone);
    counters.count(is_evacuated ? "evacuations_begun" : "evacuations_ended");
    if (!is_evacuated && routes)
        workers.for_each(
            [&](const known_worker& worker)
            {
                const auto* service = routes->find_service(worker.entry.service);
                if (worker.is_listed && worker.entry.zone == zone && service != nullptr)
                    presume_pace(worker.entry.life.id, *service, now);
            });
    changed.notify();
}

bool router_state::may_use(const known_worker& worker, bool is_sharded, instant now) const
{
    // The rest of the time is for requests that are on their way, and for the delay until this
    // process has learned of the evacuation.
    constexpr int move_part = 2;
    const auto move_time = is_sharded ? settings.evacuate_timeout / move_part : millis(0);
    return worker.accepts_work() && evacuations.may_serve_keys(worker.entry.zone, move_time, now);
}

std::optional<double> router_state::rate_limit_of(std::string_view worker) const
{
    const auto limit = limits.find(worker);
    const auto pace = paces.find(worker);
    return limit && pace ? std::min(limit, pace) : limit ? limit : pace;
}

permit_decision router_state::last_denial(std::string_view worker, instant now) const
{
    const auto limit = limits.last_denial(worker, now);
    const auto pace = paces.last_denial(worker, now);
    return limit.is_granted || (!pace.is_granted && pace.next_ms > limit.next_ms) ? pace : limit;
}

void router_state::presume_pace(const std::string& worker, const service_settings& service,
                                instant now)
{
    if (service.cold_per_s <= 0 || paces.find(worker))
        return;
    const auto bounds =
        make_pace_bounds(service.cold_per_s, settings.cold_overage, settings.cold_slack);
    paces.presume({worker, bounds.initial_per_s}, now);
}

state_copy router_state::make_copy(instant now) const
{
    state_copy copy;
    copy.ownership = make_record(maps);
    copy.routes_version = routes ? routes->version : 0;
    copy.routes_text = routes_text;
    copy.workers = workers.changes_since(0);
    if (is_coordinator())
        copy.revision_of = self;
    else if (unconfirmed_end == 0)
        copy.revision_of = push_sender;
    copy.workers_revision = is_coordinator() ? workers.revision() : push_revision;
    copy.workers_end = workers.end_offset();
    copy.age_ms = age_ms(now);
    return copy;
}

ownership_record router_state::make_record(const service_maps& owners) const
{
    ownership_record record;
    record.coordinator = coordinator;
    record.version = ownership_version;
    record.members = recorded_members();
    for (const auto& [service, map] : owners)
        record.services.push_back({service, {map.slices().begin(), map.slices().end()}});
    return record;
}

std::vector<cluster_member> router_state::recorded_members() const
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(members.size(), max_recorded_members));
    return {members.begin(), members.begin() + count};
}

bool router_state::reads_for_zone() const
{
    constexpr std::ptrdiff_t readers = 4; // of each zone
    const auto own = std::ranges::find(members, self.address, &cluster_member::address);
    return own == members.end() ||
           std::ranges::count(members.begin(), own, self.zone, &cluster_member::zone) < readers;
}

std::uint32_t router_state::age_ms(instant now) const
{
    constexpr std::int64_t max_age_ms = 1'000'000'000;
    const auto age = std::chrono::duration_cast<millis>(now - fresh_at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, max_age_ms));
}

bool router_state::is_fresh(instant now) const
{
    return routes && now - fresh_at < freshness_limit;
}

} // namespace eelgrassrail
