/// The ownership stream: reads the owners from it, claims the coordinator role in it, watches it
/// for a successor and appends records.
#include "router_timeouts.hpp"
#include <eelgrassrail/core/stream_position.hpp>
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

constexpr millis retry_backoff{300};

/// Between two claims while the record can not be read.
constexpr millis unreadable_backoff{2'000};

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

std::uint64_t key_coordinator::epoch() const
{
    return m_state.ownership_version >> epoch_shift;
}

/// Whether this process holds the role as far as it knows; it may have learned of a successor since
/// the last tick.
bool key_coordinator::holds_role() const
{
    return m_term.is_active() && m_state.is_coordinator() && epoch() == m_term.epoch();
}

bool key_coordinator::may_grant(instant now) const
{
    return holds_role() && m_term.may_grant(now);
}

ownership_record key_coordinator::make_record(const service_maps& owners, instant now) const
{
    auto record = m_state.make_record(owners);
    record.set_lease_times(m_term.times(now, m_grants.longest_lease()));
    record.set_grant_hold(m_term.grant_hold(now));
    return record;
}

/// @param is_readable false if there is a record that can not be decoded
/// @return the record of the stream; empty if there is none or it can not be decoded
std::optional<recorded_ownership> key_coordinator::read_recorded(const stream_page& newest,
                                                                 bool& is_readable) const
{
    is_readable = true;
    if (newest.records.empty() || newest.records.back().value.empty())
        return std::nullopt;
    auto value = read_message<ownership_record>(newest.records.back().value);
    is_readable = value.has_value();
    if (!value)
        return std::nullopt;
    return recorded_ownership{std::move(*value), boot_clock::now()};
}

/// Reads the latest record and the stream end, then appends a record that names this process, on
/// the condition that the end has not changed.
asio::awaitable<void> key_coordinator::claim()
{
    const auto call_start = boot_clock::now();
    m_next_claim = call_start + retry_backoff;
    const auto known = m_state.ownership_version;
    const auto newest = co_await m_state.calls.newest(platform_stream::ownership);
    // A later epoch that was received meanwhile may not have been on record when it was read.
    if (!newest || epoch() != known >> epoch_shift)
        co_return;
    bool is_readable = false;
    const auto base = read_recorded(*newest, is_readable);
    const bool is_lost =
        !base && era_of(newest->end) == 0 && (known != 0 || offset_of(newest->end) > 0);
    if (!base && (!is_readable || is_lost))
    {
        // Without the owners on record any grant could give a key to a second worker.
        m_next_claim = boot_clock::now() + unreadable_backoff;
        m_state.counters.count("ownership_records_malformed");
        log_error(log_part::ownership, is_readable
                                           ? "no claim: the stream has no ownership record any more"
                                           : "no claim: the ownership record can not be decoded");
        co_return;
    }
    if (base)
    {
        log_info(log_part::ownership,
                 "claim reads record version=" + std::to_string(base->record.version) +
                     " coordinator=" + base->record.coordinator.address +
                     " born=" + std::to_string(base->record.coordinator.born_ms) +
                     " end=" + std::to_string(newest->end) + " known=" + std::to_string(known));
        if (continue_own_claim(*base, *newest, call_start))
            co_return;
        // The record takes precedence over the received state updates: the version of a push may be
        // ahead of changes that the push does not contain. In a restored store it may be of an
        // earlier coordinator than the one known, which is no reason to wait for that one.
        const bool is_current = epoch_era(base->record.version) == era_of(newest->end) ||
                                base->record.version > m_state.ownership_version;
        const bool is_new = is_current && (base->record.version > known ||
                                           !(base->record.coordinator == m_state.coordinator));
        if (is_current)
            m_state.adopt_record(base->record);
        // Another process may hold the role, and will send a push soon.
        if (is_new && m_state.coordinator.address != m_state.self.address && known != 0)
            m_state.last_push = boot_clock::now();
    }
    // The record may be new here, and pushes may have arrived while it was read.
    const auto now = boot_clock::now();
    if (should_claim(evidence(now), now))
        co_await append_claim(base, newest->end);
}

/// Starts the role if the newest record is a claim of this process whose outcome was unknown: there
/// is no successor. A record of an earlier term does not count, as its tokens may have been used.
/// @param call_start start of the call that read the record
bool key_coordinator::continue_own_claim(const recorded_ownership& base, const stream_page& newest,
                                         instant call_start)
{
    const auto claimed_epoch = base.record.version >> epoch_shift;
    const auto times = base.record.find_lease_times();
    if (!(base.record.coordinator == m_state.self) || !times || claimed_epoch <= m_term.epoch() ||
        claimed_epoch < m_state.max_ownership_version >> epoch_shift)
        return false;
    // In a restored store the record of a successor may be gone.
    if (epoch_era(base.record.version) != era_of(newest.end))
        return false;
    m_state.counters.count("claims");
    log_info(log_part::ownership, "claim found on record epoch=" + std::to_string(claimed_epoch));
    m_stream_end = newest.end;
    const auto hold = base.record.find_grant_hold();
    start_coordinating(base.record, {}, call_start, base.read_at + times->earlier,
                       hold > millis(0) ? base.read_at + hold : instant());
    return true;
}

asio::awaitable<void> key_coordinator::append_claim(std::optional<recorded_ownership> base,
                                                    std::uint64_t stream_end)
{
    const auto call_start = boot_clock::now();
    claimant who;
    who.is_restored = use_known_owners(base, stream_end);
    who.era = era_of(stream_end);
    who.self = m_state.self;
    who.started = m_state.started;
    who.max_version = m_state.max_ownership_version;
    who.lease = m_grants.longest_lease();
    who.members = m_state.recorded_members();
    const role_claim claim(base, who, call_start);
    // A record can not be taken back: if the outcome is unknown, the next attempt reads it.
    const auto end =
        co_await m_state.calls.append_ownership(write_message(claim.record()), stream_end);
    const auto claimed_epoch = claim.record().version >> epoch_shift;
    if (end != append_outcome::done || epoch() >= claimed_epoch)
    {
        m_state.counters.count("claims_failed");
        log_info(log_part::ownership, std::string("claim failed end=") +
                                          (end == append_outcome::done        ? "superseded"
                                           : end == append_outcome::lost_race ? "race"
                                                                              : "unknown") +
                                          " epoch=" + std::to_string(claimed_epoch) +
                                          " ms=" + elapsed_text(call_start));
        co_return;
    }
    m_state.counters.count("claims");
    log_info(log_part::ownership,
             "claimed before=" + claim.before().address +
                 " epoch=" + std::to_string(claimed_epoch) + " heard_ms_ago=" +
                 std::to_string(
                     std::chrono::duration_cast<millis>(call_start - m_state.last_push).count()) +
                 " ms=" + elapsed_text(call_start));
    m_stream_end = stream_end + 1;
    start_coordinating(claim.record(), claim.before(), call_start,
                       claim.leases_until(boot_clock::now()), claim.grants_from());
}

/// Reads the ownership stream while this process is active, to detect a successor.
asio::awaitable<void> key_coordinator::watch_stream()
{
    for (;;)
    {
        if (!m_term.is_active())
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
        if (page->has_gap)
        {
            m_state.counters.count("ownership_gaps");
            log_warning(log_part::ownership,
                        "records deleted before they were read from=" + std::to_string(from));
            co_await verify_role();
            continue;
        }
        // A page with records may end before the stream does, so it confirms nothing.
        if (page->records.empty())
            m_term.confirm(call_start);
        for (const auto& record : page->records)
        {
            const auto value = read_message<ownership_record>(record.value);
            if (!m_term.is_active())
                break;
            if (value && value->version >> epoch_shift < m_term.epoch())
                continue; // read on behalf of an earlier term
            if (!value || !(value->coordinator == m_state.self))
            {
                step_down("successor on record");
                if (value)
                    m_state.apply_ownership(*value);
                break;
            }
            if (record.offset >= from)
                m_stream_end = std::max(m_stream_end, record.offset + 1);
        }
    }
}

/// Checks with the newest record that there is no successor, after records could not be read.
asio::awaitable<void> key_coordinator::verify_role()
{
    const auto term = m_term.epoch();
    const auto call_start = boot_clock::now();
    const auto newest = co_await m_state.calls.newest(platform_stream::ownership);
    if (!newest)
    {
        co_await delay(retry_backoff);
        co_return;
    }
    bool is_readable = false;
    const auto base = read_recorded(*newest, is_readable);
    if (!m_term.is_active() || term != m_term.epoch())
        co_return;
    if (era_of(newest->end) > era_of(m_stream_end))
    {
        co_await record_after_restore(*newest, base);
        co_return;
    }
    if (base && base->record.coordinator == m_state.self &&
        base->record.version >> epoch_shift == m_term.epoch())
    {
        m_stream_end = std::max(m_stream_end, newest->end);
        m_term.confirm(call_start);
        co_return;
    }
    step_down("the newest record is not of this term");
    if (base)
        m_state.apply_ownership(base->record);
}

/// Appends a full ownership record. If the outcome of an append is unknown, it is repeated with the
/// same expected stream end.
/// @return whether the record is in the stream; false also if the role ended meanwhile
asio::awaitable<bool> key_coordinator::append_record(ownership_record record, const char* why)
{
    const auto text = write_message(record);
    constexpr int max_attempts = 20;
    bool was_unknown = false;
    const auto term = m_term.epoch();
    // The role may end and be claimed again while this task waits; the record is then of an earlier
    // epoch.
    for (int n = 0; n < max_attempts && holds_role() && term == m_term.epoch(); ++n)
    {
        const auto call_start = boot_clock::now();
        const auto at = m_stream_end;
        const auto end = co_await m_state.calls.append_ownership(text, at);
        if (term != m_term.epoch())
            co_return false;
        if (end == append_outcome::done)
        {
            // `watch_stream` may have read the record already.
            m_stream_end = std::max(m_stream_end, at + 1);
            on_recorded(record);
            m_term.confirm(call_start);
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
            if (page->has_gap)
            {
                co_await verify_role();
                continue;
            }
            if (term != m_term.epoch())
                co_return false;
            const auto first = page->records.empty()
                                   ? std::nullopt
                                   : read_message<ownership_record>(page->records.front().value);
            const bool is_own = first && first->coordinator == m_state.self &&
                                first->version >> epoch_shift == term;
            if (is_own)
                m_stream_end = std::max(m_stream_end, at + 1);
            if (was_unknown && is_own && first->version == record.version)
            {
                on_recorded(record);
                co_return true;
            }
            if (is_own)
                continue; // an earlier record of this process, whose outcome was unknown
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

void key_coordinator::on_recorded(const ownership_record& record)
{
    m_recorded_version = record.version;
    m_recorded_earlier = record.find_lease_times().value_or(lease_times{}).earlier;
}

/// Appends the record that ends the term. Other processes learn of it only once it is on record, as
/// the coordinator before them otherwise remains in force.
asio::awaitable<append_outcome> key_coordinator::append_resignation(ownership_record record)
{
    constexpr millis timeout{1'500}; // a planned stop waits for it
    const auto until = boot_clock::now() + timeout;
    const auto text = write_message(record);
    auto at = m_stream_end;
    auto end = append_outcome::unknown;
    while (end != append_outcome::done && boot_clock::now() < until)
    {
        end = co_await m_state.calls.append_ownership(text, at);
        if (end == append_outcome::unknown)
            co_await delay(retry_backoff);
        if (end != append_outcome::lost_race)
            continue;
        // An append of this term was under way, or an attempt was executed without an answer.
        const auto page = co_await m_state.calls.read(platform_stream::ownership, at, millis(0));
        if (!page)
            continue;
        const auto first = page->records.empty()
                               ? std::nullopt
                               : read_message<ownership_record>(page->records.front().value);
        if (first && first->version == record.version && first->coordinator.address.empty())
            co_return append_outcome::done;
        if (!first || !(first->coordinator == m_state.self) ||
            first->version >> epoch_shift != m_term.epoch())
            break;
        ++at;
    }
    co_return end;
}

} // namespace eelgrassrail
