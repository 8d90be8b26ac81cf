/// Claiming, following the stream, and what is told to all processes.
#include "router_times.hpp"
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis tick{50};

/// A turn that takes longer than this is logged: a fifth of the silence after which others claim.
constexpr millis held_up_time{200};

constexpr millis plan_interval{250};

constexpr millis renewal_interval{2'000};

/// Time that a grant gives, if the deployment allows as much. The keys of a worker that is lost
/// without a sign are granted elsewhere only after it; a zone that is cut off goes on serving its
/// own keys until then. Cuts of five to six seconds decide: 10 s measured better than 4 s on both
/// sites.
constexpr millis grant_hold{10'000};

/// A read of the ownership stream waits this long at the store for a record.
constexpr millis ownership_wait{2'000};

/// Without news of the stream for this time no grant is sent. A successor counts on it.
constexpr millis duty_lease{8'000};

constexpr millis pause_after_failure{300};

std::string whole_ms(boot_clock::duration length)
{
    return std::to_string(std::chrono::duration_cast<millis>(length).count());
}

hold_bounds bounds_of(const router_settings& settings)
{
    hold_bounds bounds;
    bounds.hold = std::min(settings.longest_hold, grant_hold);
    bounds.latest_arrival =
        millis(500);             // a grant call is given up and its connection reset by then
    bounds.margin = millis(250); // timers, and rounding at the worker
    return bounds;
}

} // namespace

key_coordinator::key_coordinator(asio::any_io_executor executor, router_state& state,
                                 worker_links& links, peer_link& peers)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_links(links)
    , m_peers(peers)
    , m_book(bounds_of(state.settings))
{
}

void key_coordinator::start()
{
    asio::co_spawn(m_executor, run(), asio::detached);
    asio::co_spawn(m_executor, follow_stream(), asio::detached);
}

asio::awaitable<void> key_coordinator::pause(millis time)
{
    asio::steady_timer timer(m_executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::uint64_t key_coordinator::epoch() const
{
    return m_state.ownership_version >> epoch_shift;
}

/// A process that starts while others run, or after all were lost, takes the owners from the record
/// before it hears of them: the workers hold their keys meanwhile.
asio::awaitable<void> key_coordinator::learn_owners()
{
    while (m_state.ownership_version == 0)
    {
        const auto newest = co_await m_state.calls.newest(platform_stream::ownership);
        if (newest)
        {
            for (const auto& record : newest->records)
                if (const auto value = read_message<ownership_record>(record.value))
                    m_state.take_ownership(*value);
            co_return;
        }
        co_await pause(pause_after_failure);
    }
}

asio::awaitable<void> key_coordinator::run()
{
    // At the first start of all there is no record yet.
    if (!m_state.settings.is_first_start)
        co_await learn_owners();
    auto last_turn = boot_clock::now();
    for (;;)
    {
        co_await pause(tick);
        const auto now = boot_clock::now();
        const auto before = std::exchange(last_turn, now);
        if (now - before > held_up_time)
            log_warning(log_part::ownership, "held up ms=" + whole_ms(now - before) +
                                                 " coordinates=" + (m_is_active ? "1" : "0"));
        if (!m_is_active)
        {
            if (!m_state.is_leaving && now >= m_next_claim && should_claim(evidence(now), now))
                co_await claim();
            continue;
        }
        if (!m_state.is_coordinator())
        {
            step_down("a successor was heard");
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
            push_news(now);
    }
}

coordinator_evidence key_coordinator::evidence(instant) const
{
    coordinator_evidence result;
    const auto& on_record = m_state.coordinator;
    result.is_on_record = !on_record.address.empty();
    result.was_own_address = on_record.address == m_state.self.address;
    result.last_heard = std::max({m_state.last_push, m_state.started, m_state.coordinator_since});
    // Only a process that the store serves can succeed.
    if (m_state.store_served_at > m_state.successor_wanted)
        result.successor_wanted = m_state.successor_wanted;
    // The list is in the order in which processes are to claim.
    const auto own = std::ranges::find(m_state.peers, m_state.self.address);
    if (own != m_state.peers.end())
    {
        const auto is_other = [&](const std::string& address)
        { return address != on_record.address; };
        result.rank = static_cast<std::size_t>(std::count_if(m_state.peers.begin(), own, is_other));
        return result;
    }
    // A process that is not on the list draws its rank, behind those with more processor time.
    constexpr std::size_t drawn_ranks = 4;
    constexpr double large_vm = 0.4; // cores
    constexpr double medium_vm = 0.2;
    const std::size_t behind = m_state.settings.processor >= large_vm    ? 0
                               : m_state.settings.processor >= medium_vm ? drawn_ranks
                                                                         : 2 * drawn_ranks;
    result.rank = behind + std::hash<std::string>{}(m_state.self.address) % drawn_ranks;
    return result;
}

/// Reads the end of the stream, then tries to append a record that names this process.
asio::awaitable<void> key_coordinator::claim()
{
    m_next_claim = boot_clock::now() + pause_after_failure;
    const auto version = m_state.ownership_version;
    const auto newest = co_await m_state.calls.newest(platform_stream::ownership);
    if (!newest)
        co_return;
    // What is on record is taken in place of what was heard: a push may run ahead of changes that
    // it does not carry.
    for (const auto& record : newest->records)
        if (const auto value = read_message<ownership_record>(record.value))
            m_state.adopt_record(*value);
    m_stream_end = newest->end;
    m_has_stream_end = true;
    if (m_state.ownership_version > version && !(m_state.coordinator == m_state.self))
    {
        // There is news: another process may have the duty, and is heard soon.
        const auto now = boot_clock::now();
        if (m_state.coordinator.address != m_state.self.address && version != 0)
        {
            m_state.last_push = now;
            co_return;
        }
        if (!should_claim(evidence(now), now))
            co_return;
    }
    const auto before = m_state.coordinator;
    const auto old_version = m_state.ownership_version;
    m_state.coordinator = m_state.self;
    m_state.ownership_version = next_epoch(old_version);
    const auto asked = boot_clock::now();
    const auto end = co_await m_state.calls.append_ownership(
        write_message(m_state.make_record(m_state.maps)), m_stream_end);
    if (end != append_end::done)
    {
        // If it was executed after all, the stream shows this process's address, and it claims
        // again.
        if (m_state.coordinator == m_state.self)
        {
            m_state.coordinator = before;
            m_state.ownership_version = old_version;
        }
        m_has_stream_end = false;
        log_info(log_part::ownership, std::string("claim failed end=") +
                                          (end == append_end::lost_race ? "race" : "unknown"));
        co_return;
    }
    ++m_stream_end;
    m_written = m_state.ownership_version;
    log_info(
        log_part::ownership,
        "claimed before=" + before.address + " epoch=" + std::to_string(epoch()) +
            " heard_ms_ago=" +
            std::to_string(std::chrono::duration_cast<millis>(asked - m_state.last_push).count()));
    m_confirmed_at = asked;
    if (before.address == m_state.self.address)
        take_duty(before, m_state.started);
    else
        take_duty(before, boot_clock::now() + (before.address.empty() ? millis(0) : duty_lease));
}

/// @param before the coordinator until now
/// @param last_grants instant up to which others may have sent grants
void key_coordinator::take_duty(const coordinator_identity& before, instant last_grants)
{
    m_is_active = true;
    m_state.successor_wanted = {};
    m_push_base = m_state.ownership_version;
    m_changes.clear();
    m_revisions.clear();
    const auto now = boot_clock::now();
    // The processes that reported to the one before are told at once; they report here from then
    // on.
    m_reporters.clear();
    for (const auto& address : m_state.peers)
        if (address != m_state.self.address && address != before.address)
            m_reporters[address].last_heard = now;
    for (auto& [id, worker] : m_workers)
        worker.in_flight = 0;
    for (const auto& [service, map] : m_state.maps)
        for (const auto& slice : map.slices())
            for (const auto& life : {slice.owner, slice.previous})
                if (!life.id.empty())
                    m_book.on_unknown_grants(life, last_grants);
    m_next_renewal = now + renewal_interval;
    m_next_push = now;
    // The new process first hears reports, so that it does not plan without loads.
    m_next_plan = now + 2 * push_interval;
    renew_all(now);
    resume_moves();
    push_news(now);
}

void key_coordinator::step_down(const char* why)
{
    if (!m_is_active)
        return;
    m_is_active = false;
    m_state.last_push = boot_clock::now();
    log_info(log_part::ownership, std::string("duty ended why=") + why);
}

asio::awaitable<void> key_coordinator::resign()
{
    if (!m_is_active)
        co_return;
    m_is_active = false;
    m_state.coordinator = {};
    m_state.ownership_version = next_epoch(m_state.ownership_version);
    push_news(boot_clock::now());
    const auto end = co_await m_state.calls.append_ownership(
        write_message(m_state.make_record(m_state.maps)), m_stream_end);
    log_info(log_part::ownership,
             end == append_end::done ? "duty given up" : "duty given up without a record");
}

/// The coordinator watches for a successor.
asio::awaitable<void> key_coordinator::follow_stream()
{
    for (;;)
    {
        if (!m_is_active)
        {
            co_await pause(tick * 2);
            continue;
        }
        const auto asked = boot_clock::now();
        const auto from = m_stream_end;
        const auto page =
            co_await m_state.calls.read(platform_stream::ownership, from, ownership_wait);
        if (!page)
        {
            co_await pause(pause_after_failure);
            continue;
        }
        if (!m_is_active)
            continue;
        m_confirmed_at = std::max(m_confirmed_at, asked);
        for (const auto& record : page->records)
        {
            const auto value = read_message<ownership_record>(record.value);
            if (!value)
                continue;
            if (record.offset >= from)
                m_stream_end = std::max(m_stream_end, record.offset + 1);
            if (!(value->coordinator == m_state.self))
            {
                step_down("successor on record");
                m_state.take_ownership(*value);
                break;
            }
        }
    }
}

bool key_coordinator::may_grant(instant now) const
{
    return m_is_active && now < m_confirmed_at + duty_lease;
}

/// Appends the whole ownership. A record of unknown fate is written again under the same condition.
asio::awaitable<bool> key_coordinator::write_record(ownership_record record, const char* why)
{
    const auto text = write_message(record);
    constexpr int most_tries = 20;
    bool was_unknown = false;
    const auto began = epoch();
    // The duty may end and come back while this task waits; the record is of the epoch before then.
    for (int n = 0; n < most_tries && m_is_active && began == epoch(); ++n)
    {
        const auto asked = boot_clock::now();
        const auto at = m_stream_end;
        const auto end = co_await m_state.calls.append_ownership(text, at);
        if (end == append_end::done)
        {
            // The task that follows the stream may have met the record already.
            m_stream_end = std::max(m_stream_end, at + 1);
            m_written = record.version;
            m_confirmed_at = std::max(m_confirmed_at, asked);
            m_state.counters.count("ownership_records");
            log_debug(log_part::ownership, std::string("record written why=") + why);
            co_return true;
        }
        if (end == append_end::lost_race)
        {
            const auto page =
                co_await m_state.calls.read(platform_stream::ownership, at, millis(0));
            if (!page)
                continue;
            const auto first = page->records.empty()
                                   ? std::nullopt
                                   : read_message<ownership_record>(page->records.front().value);
            if (was_unknown && first && first->coordinator == m_state.self &&
                first->version == record.version)
            {
                m_stream_end = std::max(m_stream_end, at + 1);
                m_written = record.version;
                co_return true;
            }
            if (first && first->coordinator == m_state.self)
            {
                // An earlier record of this process, of unknown fate then.
                m_stream_end = std::max(m_stream_end, at + 1);
                continue;
            }
            if (began == epoch())
                step_down("lost the race for a record");
            if (first)
                m_state.take_ownership(*first);
            co_return false;
        }
        was_unknown = true;
        co_await pause(pause_after_failure);
    }
    co_return false;
}

void key_coordinator::paint(const std::string& service, const key_slice& slice)
{
    slice_change change;
    change.version = ++m_state.ownership_version;
    change.service = service;
    change.slice = slice;
    m_state.take_slice(change);
    m_changes.emplace_back(boot_clock::now(), change);
    m_state.changed.notify();
}

} // namespace eelgrassrail
