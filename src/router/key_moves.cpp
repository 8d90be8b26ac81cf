/// Planning of key moves, and the release, grant and renewal calls of the coordinator.
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis grant_timeout{400};

/// A worker answers a release when the work on the keys has ended. The longest runs end only at
/// their deadlines, so the call times out earlier and is repeated.
constexpr millis release_timeout{2'500};

constexpr millis retry_backoff{150};

/// Time after the last move until the final ownership is recorded, for processes that start later.
constexpr millis settle_interval{700};

/// The lease times are recorded again once they have fallen by this much.
constexpr millis lease_times_step{4'000};

/// Limits of the concurrent moves between live workers, over all services: one move for this many
/// workers, but not less than the minimum. A zone that returns, or workers that are added, take a
/// share of all keys, so more workers need more moves.
constexpr std::size_t min_balance_moves = 12;
constexpr std::size_t workers_per_move = 4;
constexpr int max_grant_attempts = 8;

constexpr unsigned status_ok = 200;

/// Whether an answer to a release is of a process that can not hold the keys: a worker that holds
/// some never refuses to release them. A worker of a service without keys answers 400.
bool refuses_releases(unsigned status)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned not_found = 404;
    return status == other_worker_status || status == bad_request || status == not_found;
}

std::string range_text(const key_slice& slice)
{
    return std::to_string(slice.first) + "-" + std::to_string(slice.last);
}

} // namespace

/// @param options deadline, and which connections are used
/// @param may_write asked right before the call is written, as opening a connection takes time
asio::awaitable<http_exchange> key_coordinator::call_worker(const worker_entry& worker,
                                                            http_call call,
                                                            exchange_options options,
                                                            std::function<bool(instant)> may_write)
{
    // Another process may use the address by now; it must not accept this worker's grants.
    call.fields.push_back({m_state.format.expected_worker, worker.life.id});
    options.may_write = [may_write = std::move(may_write)] { return may_write(boot_clock::now()); };
    auto result = co_await m_channels.call_worker(worker, std::move(call), std::move(options));
    record_exchange(worker, result, boot_clock::now());
    co_return result;
}

/// Whether a slice is still owned as it was.
bool key_coordinator::is_unchanged(const std::string& service, const key_slice& slice) const
{
    const auto map = m_state.maps.find(service);
    return map != m_state.maps.end() && map->second.find(slice.first) == slice;
}

/// Plans the moves of all services and starts them once they are recorded. Until then the previous
/// owners continue to serve, so keys stay available while the store does not answer.
asio::awaitable<void> key_coordinator::plan_all()
{
    const auto now = boot_clock::now();
    const auto moves = plan_moves(now);
    if (!moves.empty())
    {
        // Distinguishes the record from the previous one.
        m_state.set_ownership_version(m_state.ownership_version + 1);
        auto planned = m_state.maps;
        for (const auto& move : moves)
            planned[move.service].assign_slice(move.slice);
        auto record = make_record(planned, now);
        if (co_await append_record(std::move(record), "moves"))
            std::ranges::for_each(moves, [this](const key_move& move) { start_move(move); });
        else
            log_warning(log_part::ownership, "moves dropped: ownership record not written moves=" +
                                                 std::to_string(moves.size()));
        schedule_push();
    }
    else if (may_grant(now) && m_recorded_version < m_changed_version &&
             now > m_last_move + settle_interval)
        co_await append_record(make_record(m_state.maps, now), "settled");
    else if (may_grant(now) && states_old_lease_times(now))
    {
        // A successor would wait for these leases as if the record were new.
        m_state.set_ownership_version(m_state.ownership_version + 1);
        co_await append_record(make_record(m_state.maps, now), "lease times");
    }
    // After the moves, so that a push contains a new owner together with its admission ratio.
    update_admission();
    m_is_planning = false;
}

/// Whether the last record states leases of earlier epochs for much longer than they last.
bool key_coordinator::states_old_lease_times(instant now) const
{
    const auto left = m_term.times(now, m_grants.longest_lease()).earlier;
    return m_recorded_earlier - left >= lease_times_step ||
           (left == millis(0) && m_recorded_earlier > left);
}

std::vector<key_coordinator::key_move> key_coordinator::plan_moves(instant now)
{
    std::vector<key_move> moves;
    const auto routes = m_state.routes;
    if (!routes || !may_grant(now))
        return moves;
    for (const auto& settings : routes->services)
    {
        if (!settings.is_sharded)
            continue;
        auto& load = m_loads.try_emplace(settings.name, now).first->second;
        load.settle(now);
        balance_limits limits;
        const auto workers = eligible_workers(settings.name, now);
        const auto max_moves = std::max(min_balance_moves, workers.size() / workers_per_move);
        limits.moves = m_balancing_moves < max_moves ? max_moves - m_balancing_moves : 0;
        for (const auto& planned :
             plan_key_moves(m_state.maps[settings.name], load, workers, limits))
        {
            key_move move;
            move.service = settings.name;
            move.slice.first = planned.first;
            move.slice.last = planned.last;
            move.slice.owner = planned.target;
            move.slice.previous = planned.source;
            move.epoch = epoch();
            const auto* source = m_state.workers.find(planned.source.id);
            move.is_balancing = source != nullptr && source->entry.life == planned.source &&
                                source->accepts_work() &&
                                !m_state.evacuations.since(source->entry.zone);
            moves.push_back(std::move(move));
        }
    }
    return moves;
}

/// Starts a recorded move. Its fencing token is higher than those of all earlier renewals.
void key_coordinator::start_move(key_move move)
{
    if (!is_current(move))
        return;
    assign_slice(move.service, move.slice);
    move.fence = m_state.ownership_version;
    asio::co_spawn(m_executor, move_keys(move), asio::detached);
}

/// Continues the moves that the previous coordinator has started.
void key_coordinator::resume_moves()
{
    // A move may complete at once and change the map, so all are collected before the first starts.
    std::vector<key_move> moves;
    for (const auto& [service, map] : m_state.maps)
        for (const auto& slice : map.slices())
        {
            if (slice.is_ready || slice.owner.id.empty())
                continue;
            key_move move;
            move.service = service;
            move.slice = slice;
            move.fence = m_state.ownership_version;
            move.epoch = epoch();
            moves.push_back(std::move(move));
        }
    for (auto& move : moves)
        asio::co_spawn(m_executor, move_keys(std::move(move)), asio::detached);
}

bool key_coordinator::is_current(const key_move& move) const
{
    return holds_role() && move.epoch == epoch();
}

asio::awaitable<void> key_coordinator::move_keys(key_move move)
{
    const std::size_t balancing = move.is_balancing ? 1 : 0;
    ++m_active_moves;
    m_balancing_moves += balancing;
    const auto start = boot_clock::now();
    const auto source = co_await release_source(move);
    const bool is_granted = is_current(move) && co_await grant_to_target(move, source.handover);
    --m_active_moves;
    m_balancing_moves -= balancing;
    if (!is_current(move))
        co_return;
    auto slice = move.slice;
    if (is_granted)
    {
        slice.is_ready = true;
        slice.previous = {};
    }
    else
    {
        // The target may hold the keys; the next move of the slice releases them there first.
        slice.previous = slice.owner;
        slice.owner = {};
        m_next_plan = {};
    }
    log_info(
        log_part::ownership,
        std::string(is_granted ? "moved" : "not moved") + " service=" + move.service + " keys=" +
            range_text(slice) + " from=" + move.slice.previous.id + " to=" + move.slice.owner.id +
            " source=" + source.why + " fence=" + std::to_string(move.fence) + " ms=" +
            std::to_string(std::chrono::duration_cast<millis>(boot_clock::now() - start).count()));
    assign_slice(move.service, slice);
    m_last_move = boot_clock::now();
    schedule_push();
}

/// Whether an address is beyond doubt that of the entry of a worker.
bool key_coordinator::is_registered_at(const worker_incarnation& worker,
                                       const std::string& address) const
{
    const auto* known = m_state.workers.find(worker.id);
    return known != nullptr && known->entry.life == worker && known->entry.address == address &&
           known->has_settled_address(boot_clock::now(), 2 * m_state.settings.worker_heartbeat);
}

/// Releases the keys at the previous owner, or waits until its lease has expired.
asio::awaitable<key_coordinator::released_source>
key_coordinator::release_source(const key_move& move)
{
    released_source result;
    const auto& source = move.slice.previous;
    // A worker of the same id may have restarted, and a renewal for its previous incarnation may
    // have reached the new one, so that one is released as well.
    while (is_current(move) && m_grants.may_hold(source, boot_clock::now()))
    {
        result.why = "expired";
        const auto* worker = m_state.workers.find(source.id);
        // An entry that is older than the source says nothing about it. Without the right to grant,
        // a release would only take the keys out of service.
        if (worker == nullptr || worker->entry.life.born_ms < source.born_ms ||
            !may_grant(boot_clock::now()))
        {
            co_await delay(retry_backoff);
            continue;
        }
        const auto entry = worker->entry;
        key_grant release;
        release.first = move.slice.first;
        release.last = move.slice.last;
        release.fence = move.fence;
        auto exchange = co_await call_worker(
            entry, m_state.format.release(release),
            make_unnamed_exchange(boot_clock::now() + release_timeout),
            [this, &move](instant at) { return is_current(move) && may_grant(at); });
        const bool is_answered = exchange.result == exchange_result::complete;
        if (is_answered && refuses_releases(exchange.reply.status) &&
            m_grants.on_answer_of_another(source, entry.address,
                                          is_registered_at(source, entry.address)))
        {
            m_state.counters.count("key_owners_replaced");
            result.why = "replaced";
            break;
        }
        if (is_answered && exchange.reply.status == status_ok)
        {
            result.handover =
                find_field(exchange.reply.fields, m_state.format.handover).value_or("");
            result.why = "released";
            break;
        }
        log_debug(log_part::ownership,
                  "release refused worker=" + source.id + " keys=" + range_text(move.slice) +
                      " status=" + std::to_string(is_answered ? exchange.reply.status : 0) +
                      " refused=" + std::to_string(exchange.refused ? 1 : 0) + " registered=" +
                      std::to_string(is_registered_at(source, entry.address) ? 1 : 0));
        co_await delay(retry_backoff);
    }
    co_return result;
}

/// Grants the keys to the new owner, with retries while it does not answer.
/// @return whether it has accepted the grant
asio::awaitable<bool> key_coordinator::grant_to_target(const key_move& move,
                                                       const std::string& handover)
{
    for (int n = 0; n < max_grant_attempts && is_current(move); ++n)
    {
        const auto* worker = m_state.workers.find(move.slice.owner.id);
        if (worker == nullptr || worker->entry.life != move.slice.owner ||
            !worker->accepts_work() || m_grants.has_ended(move.slice.owner))
            co_return false;
        const auto now = boot_clock::now();
        if (!may_grant(now))
            co_return false;
        const auto entry = worker->entry;
        key_grant grant;
        grant.first = move.slice.first;
        grant.last = move.slice.last;
        grant.fence = move.fence;
        grant.lease_duration = m_grants.bounds().lease_duration;
        grant.handover = handover;
        const auto exchange = co_await call_worker(entry, m_state.format.grant(grant),
                                                   make_unnamed_exchange(now + grant_timeout),
                                                   [this, &move](instant at)
                                                   {
                                                       if (!is_current(move) || !may_grant(at))
                                                           return false;
                                                       // A grant that was not written can not be
                                                       // applied, so it counts only from here on.
                                                       m_grants.on_grant_sent(move.slice.owner, at);
                                                       return true;
                                                   });
        if (exchange.result == exchange_result::complete)
        {
            if (exchange.reply.status == status_ok)
            {
                m_grants.on_grant_accepted(move.slice.owner, entry.address);
                co_return true;
            }
            log_warning(log_part::ownership,
                        "grant refused worker=" + entry.life.id + " keys=" +
                            range_text(move.slice) + " fence=" + std::to_string(move.fence) +
                            " status=" + std::to_string(exchange.reply.status));
            co_return false;
        }
        co_await delay(retry_backoff);
    }
    co_return false;
}

void key_coordinator::renew_all(instant now)
{
    if (!may_grant(now))
        return;
    // Each round has a higher token: a renewal may reach an incarnation that has started under the
    // id of the one that it is for.
    m_state.set_ownership_version(m_state.ownership_version + 1);
    for (const auto& [service, map] : m_state.maps)
    {
        std::set<worker_incarnation> owners;
        for (const auto& slice : map.slices())
            if (slice.is_ready && !slice.owner.id.empty())
                owners.insert(slice.owner);
        for (const auto& owner : owners)
        {
            const auto* worker = m_state.workers.find(owner.id);
            if (worker != nullptr && worker->entry.life == owner && worker->accepts_work())
                asio::co_spawn(m_executor, renew(worker->entry, service), asio::detached);
        }
    }
}

/// Renews the grants of one worker for all its ranges of a service. A range that moves meanwhile is
/// skipped.
asio::awaitable<void> key_coordinator::renew(worker_entry worker, std::string service)
{
    const auto initial_epoch = epoch();
    const auto slices = m_state.maps[service].owned_by(worker.life);
    for (const auto& slice : slices)
    {
        const auto now = boot_clock::now();
        if (!may_grant(now) || initial_epoch != epoch())
            co_return;
        if (!slice.is_ready || !is_unchanged(service, slice))
            continue;
        key_grant grant;
        grant.first = slice.first;
        grant.last = slice.last;
        grant.fence = m_state.ownership_version;
        grant.lease_duration = m_grants.bounds().lease_duration;
        // Nothing follows from the reply to a renewal but that the process answers, so a repeated
        // one on a kept connection does no harm. While a connection is opened the lease may expire
        // and the keys be granted elsewhere.
        exchange_options options{.until = now + grant_timeout};
        const auto exchange = co_await call_worker(
            worker, m_state.format.grant(grant), std::move(options),
            [&](instant at)
            {
                if (!may_grant(at) || initial_epoch != epoch() || !is_unchanged(service, slice))
                    return false;
                m_grants.on_grant_sent(worker.life, at);
                return true;
            });
        if (exchange.cancelled && !is_unchanged(service, slice))
            continue;
        const bool is_answered = exchange.result == exchange_result::complete;
        if (is_answered && exchange.reply.status == status_ok)
            m_grants.on_grant_accepted(worker.life, worker.address);
        else if (is_answered)
            log_debug(log_part::ownership, "renewal refused worker=" + worker.life.id +
                                               " keys=" + range_text(slice) +
                                               " status=" + std::to_string(exchange.reply.status));
        if (!is_answered)
            co_return;
    }
}

} // namespace eelgrassrail
