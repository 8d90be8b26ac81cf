/// Dissemination by the coordinator: merges the reports of all processes and sends pushes.
#include "router_timeouts.hpp"
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// Changes are repeated in all pushes within this window, so that lost datagrams do no harm.
constexpr millis repeat_window{1'000};

/// The requests in flight of a process without a report for this time are discarded: it has ended,
/// or reports through another process.
constexpr millis reporter_timeout{1'200};

/// Intervals, in pushes, at which the list of members is sent: if it has changed since it was last
/// sent, and otherwise (some seconds).
constexpr std::uint64_t changed_members_interval = 8;
constexpr std::uint64_t members_interval = 64;

/// Interval, in pushes, at which the load of each worker is repeated, since pushes may be lost.
constexpr std::uint64_t use_repeat_interval = 16;

/// A coordinator whose state is older than this fetches a copy from a process with a fresher one.
constexpr millis stale_age{700};

constexpr millis crash_retention{10'000};

/// Minimum interval between two fetches of a copy by the coordinator.
constexpr millis min_copy_interval{250};

/// Maximum changes in a push; a process that misses more fetches a copy.
constexpr std::size_t max_changes = 200;

} // namespace

void key_coordinator::push_state(instant now)
{
    update_evacuations(now);
    start_paces(now);
    update_paces(now);
    m_last_push = now;
    m_next_push = now + push_interval;
    while (!m_changes.empty() &&
           (m_changes.front().first < now - repeat_window || m_changes.size() > max_changes))
    {
        m_push_base = m_changes.front().second.version;
        m_changes.pop_front();
    }
    while (m_revisions.size() > 1 && m_revisions.front().first < now - repeat_window)
        m_revisions.pop_front();
    m_revisions.emplace_back(now, m_state.workers.revision());
    for (auto it = m_reporters.begin(); it != m_reporters.end();)
    {
        const bool has_timed_out = it->second.last_report < now - reporter_timeout;
        if (has_timed_out)
            set_in_flight(it->second, {});
        it = has_timed_out ? m_reporters.erase(it) : std::next(it);
    }
    std::erase_if(m_crashes,
                  [now](const auto& item) { return item.first < now - crash_retention; });
    coordinator_push push;
    push.sender = m_state.self;
    push.ownership_version = m_state.ownership_version;
    push.ownership_base = m_push_base;
    for (const auto& [at, change] : m_changes)
        push.ownership.push_back(change);
    push.routes_version = m_state.routes ? m_state.routes->version : 0;
    push.workers_revision = m_state.workers.revision();
    push.workers_base = m_revisions.front().second;
    push.workers = m_state.workers.changes_since(push.workers_base);
    if (push.workers.size() > max_changes)
    {
        push.workers.clear();
        push.workers_base = push.workers_revision;
    }
    push.workers_end = m_state.workers.end_offset();
    push.age_ms = m_state.age_ms(now);
    push.lacks_store = m_state.store_unreachable_since != instant{};
    push.use = collect_worker_loads(++m_push_count, now);
    m_members.remove_expired(now);
    m_state.members = live_members(now);
    const bool is_changed = m_state.members != m_pushed_members;
    if (m_push_count % (is_changed ? changed_members_interval : members_interval) == 0)
    {
        push.members = m_state.members;
        m_pushed_members = m_state.members;
    }
    for (const auto& [at, crash] : m_crashes)
        push.crashes.push_back(crash);
    const auto tree = m_push_count % 2 == 0 ? relay_choice::gathering : relay_choice::other;
    m_channels.push(m_members.plan(tree, now), tree == relay_choice::gathering, push);
    for (const auto& item : push.use)
        m_state.worker_loads[item.id] = item;
    announce_limits(now);
    announce_paces(now);
    announce_evacuations(now);
    announce_leaving(now);
    announce_crashes(now);
}

/// The load of the workers that has changed since the last push, and of a share of the others,
/// which are repeated in turn since pushes may be lost.
std::vector<worker_load> key_coordinator::collect_worker_loads(std::uint64_t push_count,
                                                               instant now)
{
    std::vector<worker_load> result;
    std::uint64_t n = 0;
    for (auto& [id, worker] : m_workers)
    {
        worker_load load;
        load.id = id;
        load.in_flight = worker.in_flight;
        // Processes of earlier versions ask for no permits, but send nothing to a full worker.
        constexpr std::uint32_t full = 1'000;
        if (m_permits.is_overdrawn(id, worker.in_flight, now))
            load.in_flight += full;
        load.typical_ms = static_cast<std::uint32_t>(worker.speed.typical_ms());
        const bool is_repeated = ++n % use_repeat_interval == push_count % use_repeat_interval;
        constexpr double per_mille = 1'000.0;
        load.room = static_cast<std::uint32_t>(
            per_mille * std::min(worker.admission.ratio(), worker.admissible));
        if (is_repeated || !(load == worker.last_pushed))
            result.push_back(load);
        worker.last_pushed = load;
    }
    return result;
}

void key_coordinator::set_in_flight(reporter& sender, const std::vector<worker_report>& workers)
{
    for (const auto& [id, n] : sender.in_flight)
        m_workers[id].in_flight -= n;
    sender.in_flight.clear();
    for (const auto& item : workers)
    {
        sender.in_flight[item.id] = item.in_flight;
        m_workers[item.id].in_flight += item.in_flight;
    }
}

void key_coordinator::handle_report(const entry_report& report, instant now)
{
    if (!m_term.is_active())
        return;
    auto& sender = m_reporters[report.sender.address];
    sender.last_report = now;
    set_in_flight(sender, report.workers);
    for (const auto& item : report.members)
        if (item.member.address != m_state.self.address && m_members.on_member_report(item, now))
        {
            // A process that has just started knows no crashes.
            m_announces_crashes = true;
            schedule_push();
        }
    for (const auto& item : report.workers)
    {
        auto& worker = m_workers[item.id];
        for (const auto time : item.times_ms)
            worker.speed.add(time);
        m_permits.on_completed(item.id, item.answers + item.failures, now);
        m_pace_permits.on_completed(item.id, item.answers + item.failures, now);
        add_to_pace(item);
        constexpr double smoothing_factor = 0.1;
        const auto* known = m_state.workers.find(item.id);
        worker.speed.on_answers(item.answers, worker.in_flight, known ? known->entry.slots : 1,
                                now);
        const std::size_t good = item.answers;
        for (std::size_t n = 0; n < good + item.failures; ++n)
            worker.failure_rate +=
                ((n < good ? 0.0 : 1.0) - worker.failure_rate) * smoothing_factor;
    }
    for (const auto& sample : report.keys)
    {
        auto& load = m_loads.try_emplace(sample.service, now).first->second;
        for (const auto key : sample.keys)
            load.add(key);
    }
    // The store may answer others while this process is cut off from it.
    if (const auto read_at = now - millis(report.age_ms); !(report.freshest == m_state.self))
        m_state.feed.on_store_answered(read_at, read_at);
    fetch_fresher_copy(report, now);
    handle_crashes(report.crashes, now);
}

/// This process and all other live ones, in claim order.
std::vector<cluster_member> key_coordinator::live_members(instant now) const
{
    std::vector<cluster_member> result{own_member()};
    const auto others = m_members.live_members(now);
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

cluster_member key_coordinator::own_member() const
{
    return {m_state.self.address, m_state.self.zone,
            static_cast<float>(m_state.settings.processor)};
}

/// Schedules a push at the minimum interval after the last one, so that changes are batched.
void key_coordinator::schedule_push()
{
    m_next_push = std::min(m_next_push, m_last_push + min_push_interval);
}

/// While the store does not answer the coordinator, it fetches the state from a process that can
/// read the store.
void key_coordinator::fetch_fresher_copy(const entry_report& report, instant now)
{
    const bool is_newer = m_state.routes && report.routes_version > m_state.routes->version;
    const bool is_fresher = m_state.age_ms(now) > stale_age.count() &&
                            report.age_ms + stale_age.count() / 2 < m_state.age_ms(now);
    if ((!is_newer && !is_fresher) || now < m_next_copy)
        return;
    m_next_copy = now + min_copy_interval;
    asio::co_spawn(
        m_executor,
        [this, from = report.freshest.address]() -> asio::awaitable<void>
        { co_await m_channels.fetch_copy(from); },
        asio::detached);
}

} // namespace eelgrassrail
