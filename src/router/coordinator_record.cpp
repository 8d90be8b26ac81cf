/// The ownership stream: reads the owners from it, claims the coordinator role in it, watches it
/// for a successor and appends records.
#include "router_timeouts.hpp"
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// Time that a read of the ownership stream waits at the store for a new record.
constexpr millis stream_wait{2'000};

/// No grant is sent if the stream was last confirmed longer ago than this. A successor relies on
/// it.
constexpr millis role_lease{8'000};

constexpr millis retry_backoff{300};

/// Interval at which an inactive process checks whether it has become the coordinator.
constexpr millis idle_interval{100};

std::string elapsed_text(instant since)
{
    return std::to_string(std::chrono::duration_cast<millis>(boot_clock::now() - since).count());
}

} // namespace

/// A process that starts while others run, or after all have stopped, reads the owners from the
/// latest record instead of waiting for a push: the workers still hold leases on their keys.
asio::awaitable<void> key_coordinator::load_owners()
{
    while (m_state.ownership_version == 0)
    {
        const auto newest = co_await m_state.calls.newest(platform_stream::ownership);
        if (newest)
        {
            for (const auto& record : newest->records)
                if (const auto value = read_message<ownership_record>(record.value))
                    m_state.apply_ownership(*value);
            co_return;
        }
        co_await delay(retry_backoff);
    }
}

/// Reads the latest record and the stream end, then appends a record that names this process, on
/// the condition that the end has not changed.
asio::awaitable<void> key_coordinator::claim()
{
    m_next_claim = boot_clock::now() + retry_backoff;
    const auto version = m_state.ownership_version;
    const auto newest = co_await m_state.calls.newest(platform_stream::ownership);
    if (!newest)
        co_return;
    // The record takes precedence over the received state updates: the version of a push may be
    // ahead of changes that the push does not contain.
    for (const auto& record : newest->records)
        if (const auto value = read_message<ownership_record>(record.value))
        {
            log_info(log_part::ownership,
                     "claim reads record version=" + std::to_string(value->version) +
                         " coordinator=" + value->coordinator.address +
                         " born=" + std::to_string(value->coordinator.born_ms) +
                         " end=" + std::to_string(newest->end) +
                         " known=" + std::to_string(m_state.ownership_version));
            m_state.adopt_record(*value);
        }
    m_stream_end = newest->end;
    m_has_stream_end = true;
    if (m_state.ownership_version > version && !(m_state.coordinator == m_state.self))
    {
        // The record is new here: another process may hold the role, and will send a push soon.
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
    const auto call_start = boot_clock::now();
    const auto end = co_await m_state.calls.append_ownership(
        write_message(m_state.make_record(m_state.maps)), m_stream_end);
    if (end != append_outcome::done)
    {
        // If the append took effect nevertheless, the record names this process's address, and the
        // process claims again.
        if (m_state.coordinator == m_state.self)
        {
            m_state.coordinator = before;
            m_state.ownership_version = old_version;
        }
        m_has_stream_end = false;
        m_state.counters.count("claims_failed");
        log_info(log_part::ownership,
                 std::string("claim failed end=") +
                     (end == append_outcome::lost_race ? "race" : "unknown") +
                     " epoch=" + std::to_string(next_epoch(old_version) >> epoch_shift) +
                     " ms=" + elapsed_text(call_start));
        co_return;
    }
    ++m_stream_end;
    m_recorded_version = m_state.ownership_version;
    log_info(log_part::ownership,
             "claimed before=" + before.address + " epoch=" + std::to_string(epoch()) +
                 " heard_ms_ago=" +
                 std::to_string(
                     std::chrono::duration_cast<millis>(call_start - m_state.last_push).count()) +
                 " ms=" + elapsed_text(call_start));
    m_state.counters.count("claims");
    m_confirmed_at = call_start;
    if (before.address == m_state.self.address)
        start_coordinating(before, m_state.started);
    else
        start_coordinating(before,
                           boot_clock::now() + (before.address.empty() ? millis(0) : role_lease));
}

/// Reads the ownership stream while this process is active, to detect a successor.
asio::awaitable<void> key_coordinator::watch_stream()
{
    for (;;)
    {
        if (!m_is_active)
        {
            co_await delay(idle_interval);
            continue;
        }
        const auto call_start = boot_clock::now();
        const auto from = m_stream_end;
        const auto page =
            co_await m_state.calls.read(platform_stream::ownership, from, stream_wait);
        if (!page)
        {
            co_await delay(retry_backoff);
            continue;
        }
        if (!m_is_active)
            continue;
        if (page->has_gap)
        {
            m_state.counters.count("ownership_gaps");
            log_warning(log_part::ownership,
                        "records deleted before they were read from=" + std::to_string(from));
        }
        m_confirmed_at = std::max(m_confirmed_at, call_start);
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
                m_state.apply_ownership(*value);
                break;
            }
        }
    }
}

bool key_coordinator::may_grant(instant now) const
{
    return m_is_active && now < m_confirmed_at + role_lease;
}

/// Appends a full ownership record. If the outcome of an append is unknown, it is repeated with the
/// same expected stream end.
/// @return whether the record is in the stream; false also if the role ended meanwhile
asio::awaitable<bool> key_coordinator::append_record(ownership_record record, const char* why)
{
    const auto text = write_message(record);
    constexpr int max_attempts = 20;
    bool was_unknown = false;
    const auto initial_epoch = epoch();
    // The role may end and be claimed again while this task waits; the record is then of an earlier
    // epoch.
    for (int n = 0; n < max_attempts && m_is_active && initial_epoch == epoch(); ++n)
    {
        const auto call_start = boot_clock::now();
        const auto at = m_stream_end;
        const auto end = co_await m_state.calls.append_ownership(text, at);
        if (end == append_outcome::done)
        {
            // `watch_stream` may have read the record already.
            m_stream_end = std::max(m_stream_end, at + 1);
            m_recorded_version = record.version;
            m_confirmed_at = std::max(m_confirmed_at, call_start);
            m_state.counters.count("ownership_records");
            log_debug(log_part::ownership, std::string("record written why=") + why);
            co_return true;
        }
        if (end == append_outcome::lost_race)
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
                m_recorded_version = record.version;
                co_return true;
            }
            if (first && first->coordinator == m_state.self)
            {
                // An earlier record of this process, whose outcome was unknown.
                m_stream_end = std::max(m_stream_end, at + 1);
                continue;
            }
            if (initial_epoch == epoch())
                step_down("append rejected, stream end has moved");
            if (first)
                m_state.apply_ownership(*first);
            co_return false;
        }
        was_unknown = true;
        co_await delay(retry_backoff);
    }
    co_return false;
}

} // namespace eelgrassrail
