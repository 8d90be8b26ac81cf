/// Periodic work of the coordinator; start and end of the coordinator role.
#include "router_timeouts.hpp"
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/boot_timer.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis tick_interval{50};

/// A longer tick is logged: a fifth of the silence after which other processes claim the role.
constexpr millis slow_tick_time{200};

constexpr millis plan_interval{250};

constexpr millis renewal_interval{2'000};

/// Lease duration of a grant, unless the deployment sets a lower maximum. The keys of a worker that
/// fails undetected are granted to another one only after the lease has expired; a partitioned zone
/// continues to serve its own keys until then. 10 s suits partitions of five to six seconds better
/// than 4 s.
constexpr millis grant_lease{10'000};

std::string ms_text(boot_clock::duration length)
{
    return std::to_string(std::chrono::duration_cast<millis>(length).count());
}

lease_bounds make_lease_bounds(const router_settings& settings)
{
    lease_bounds bounds;
    bounds.lease_duration = std::min(settings.max_lease_duration, grant_lease);
    bounds.latest_arrival =
        millis(500);             // a grant call has timed out and its connection is reset by then
    bounds.margin = millis(250); // timer precision, and rounding at the worker
    return bounds;
}

} // namespace

key_coordinator::key_coordinator(asio::any_io_executor executor, router_state& state,
                                 coordinator_channels channels)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_channels(std::move(channels))
    , m_grants(make_lease_bounds(state.settings))
{
}

void key_coordinator::start()
{
    asio::co_spawn(m_executor, run(), asio::detached);
    asio::co_spawn(m_executor, watch_stream(), asio::detached);
}

asio::awaitable<void> key_coordinator::delay(millis time)
{
    boot_timer timer(m_executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> key_coordinator::run()
{
    // At the first start of the deployment there is no ownership record yet.
    if (!m_state.settings.is_first_start)
    {
        if (m_state.settings.processor < small_vm_cores)
            co_await m_state.changed.wait(initial_push_timeout);
        co_await load_owners();
    }
    auto last_tick = boot_clock::now();
    for (;;)
    {
        co_await delay(tick_interval);
        const auto now = boot_clock::now();
        const auto before = std::exchange(last_tick, now);
        if (now - before > slow_tick_time)
            log_warning(log_part::ownership,
                        "event loop delayed ms=" + ms_text(now - before) +
                            " coordinates=" + (m_term.is_active() ? "1" : "0"));
        if (!m_term.is_active())
        {
            if (!m_state.is_leaving && now >= m_next_claim && should_claim(evidence(now), now))
            {
                co_await claim();
                last_tick = boot_clock::now(); // the wait for the store is no delay of the loop
            }
            continue;
        }
        if (!holds_role())
        {
            step_down("state update from a successor");
            continue;
        }
        if (now >= m_next_renewal)
        {
            m_next_renewal = now + renewal_interval;
            renew_all(now);
        }
        if (now >= m_next_plan && !m_is_planning)
        {
            m_next_plan = now + plan_interval;
            m_is_planning = true;
            asio::co_spawn(m_executor, plan_all(), asio::detached);
        }
        if (now >= m_next_push)
            push_state(now);
    }
}

coordinator_evidence key_coordinator::evidence(instant) const
{
    coordinator_evidence result;
    const auto& on_record = m_state.coordinator;
    result.is_on_record = !on_record.address.empty();
    result.was_own_address = on_record.address == m_state.self.address;
    result.last_push_at = std::max({m_state.last_push, m_state.started, m_state.coordinator_since});
    // Only a process that can reach the store can succeed the coordinator.
    if (m_state.store_answered_at > m_state.store_lost_since)
        result.store_lost_since = m_state.store_lost_since;
    // `members` is in claim order.
    const auto own =
        std::ranges::find(m_state.members, m_state.self.address, &cluster_member::address);
    if (own != m_state.members.end())
    {
        const auto is_other = [&](const cluster_member& member)
        { return member.address != on_record.address; };
        result.rank =
            static_cast<std::size_t>(std::count_if(m_state.members.begin(), own, is_other));
        return result;
    }
    // A process that is not listed derives its rank from a hash of its address, after those with
    // more processor time. There are many small VMs, and each one that claims reads the store, so
    // their ranks are spread over a wider range.
    constexpr std::size_t hashed_ranks = 4;
    constexpr std::size_t small_vm_ranks = 24;
    constexpr double large_vm = 0.4; // cores
    const double processor = m_state.settings.processor;
    const bool is_small = processor < small_vm_cores;
    const std::size_t first_rank = processor >= large_vm ? 0
                                   : is_small            ? 2 * hashed_ranks
                                                         : hashed_ranks;
    result.rank = first_rank + std::hash<std::string>{}(m_state.self.address) %
                                   (is_small ? small_vm_ranks : hashed_ranks);
    return result;
}

/// Starts the coordinator role after a claim is on record.
/// @param before the coordinator that the claim supersedes; no address: none, or not known
/// @param confirmed_at start of the call that showed the record
/// @param earlier_until when all leases granted in earlier epochs have ended
/// @param grants_from nothing is granted before; none: the owners on record are the latest. A later
/// instant of an earlier term stays in force.
void key_coordinator::start_coordinating(const ownership_record& record,
                                         const coordinator_identity& before, instant confirmed_at,
                                         instant earlier_until, instant grants_from)
{
    const auto now = boot_clock::now();
    m_state.adopt_record(record);
    on_recorded(record);
    m_term.begin(epoch(), confirmed_at, earlier_until);
    m_term.hold_grants(grants_from);
    m_state.store_lost_since = {};
    m_push_base = m_state.ownership_version;
    m_changes.clear();
    m_revisions.clear();
    // The processes that reported to the previous coordinator get a push at once; they report here
    // from then on.
    m_reporters.clear();
    m_members.clear();
    for (const auto& member : m_state.members)
        if (member.address != m_state.self.address)
            // The previous coordinator may have ended, so it relays nothing until it reports.
            m_members.add(member, member.address == before.address ? now - suspect_timeout : now);
    for (auto& [id, worker] : m_workers)
        worker.in_flight = 0;
    std::size_t unfinished = 0;
    for (const auto& [service, map] : m_state.maps)
        for (const auto& slice : map.slices())
        {
            unfinished += !slice.is_ready && !slice.owner.id.empty() ? 1 : 0;
            for (const auto& incarnation : {slice.owner, slice.previous})
                if (!incarnation.id.empty())
                    m_grants.on_earlier_leases(incarnation, earlier_until);
        }
    log_info(
        log_part::ownership,
        "leases of earlier coordinators end in_ms=" + ms_text(std::max(earlier_until, now) - now) +
            " no_grants_ms=" + std::to_string(m_term.grant_hold(now).count()) +
            " unfinished_moves=" + std::to_string(unfinished));
    m_next_renewal = now + renewal_interval;
    m_next_push = now;
    // Reports are collected first, so that the first plan is based on measured loads.
    m_next_plan = now + 2 * plan_interval;
    restart_permits(now);
    renew_all(now);
    resume_moves();
    push_state(now);
}

void key_coordinator::step_down(const char* why)
{
    if (!m_term.is_active())
        return;
    m_term.end();
    m_state.last_push = boot_clock::now();
    log_info(log_part::ownership, std::string("coordinator role ended why=") + why);
}

asio::awaitable<void> key_coordinator::resign()
{
    if (!m_term.is_active())
        co_return;
    const bool was_superseded = !holds_role();
    m_term.end();
    if (was_superseded)
        co_return;
    auto record = make_record(m_state.maps, boot_clock::now());
    record.coordinator = {};
    record.version = next_epoch(m_state.ownership_version);
    const auto end = co_await append_resignation(record);
    if (end == append_outcome::done && record.version > m_state.ownership_version)
    {
        m_state.apply_ownership(record);
        push_state(boot_clock::now());
    }
    log_info(log_part::ownership, end == append_outcome::done
                                      ? "coordinator role resigned"
                                      : "coordinator role resigned without a record");
}

void key_coordinator::assign_slice(const std::string& service, const key_slice& slice)
{
    slice_change change;
    change.version = m_state.ownership_version + 1;
    m_changed_version = change.version;
    change.service = service;
    change.slice = slice;
    m_state.apply_slice(change);
    m_changes.emplace_back(boot_clock::now(), change);
    m_state.changed.notify();
}

} // namespace eelgrassrail
