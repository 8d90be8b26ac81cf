/// What the results of attempts say about workers, and the log lines and refusals that follow.
#include "request_fields.hpp"
#include "router_timeouts.hpp"
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/request_forwarder.hpp>
#include <eelgrassrail/router/routed_request.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// A new connection that is reset within this time was rejected by the worker. It covers a round
/// trip and the scheduling delays of a small VM.
constexpr millis immediate_reset_threshold{50};

/// Consecutive workers of one zone that may fail to accept a connection because they have ended.
/// More of them, with no answer from the zone in between, mean that the zone is unreachable.
constexpr std::size_t max_unreached_workers = 5;

} // namespace

/// Records the rate limit that an answer names, or that it names none any more.
void request_forwarder::record_rate_limit(const std::string& worker, const http_reply& reply,
                                          bool is_run_answer, instant sent_at)
{
    limit_observation seen{{}, is_run_answer, sent_at};
    const auto text = find_field(reply.fields, m_state.format.rate_limit);
    if (text)
    {
        seen.per_s = parse_rate_limit(*text);
        if (!seen.per_s)
        {
            // The last valid limit stays in force.
            m_state.counters.count("worker_limits_malformed");
            log_warning(log_part::dispatch, "worker limit ignored worker=" + worker +
                                                " why=not a decimal number: " + std::string(*text));
            return;
        }
    }
    const auto before = m_state.limits.find(worker);
    const auto change = m_state.limits.observe(worker, seen, boot_clock::now());
    m_permits.notify(worker);
    if (change == limit_change::none)
        return;
    const bool is_named = change == limit_change::named;
    m_state.counters.count(is_named ? "worker_limits_named" : "worker_limits_withdrawn");
    log_info(log_part::dispatch, "worker limit worker=" + worker +
                                     " per_s=" + (is_named ? std::string(*text) : "none") +
                                     " was=" + (before ? std::to_string(*before) : "none"));
}

/// Records the time for which a worker that turned a request away wants no other one.
/// @return whether the reply names a time
bool request_forwarder::record_retry_after(const worker_incarnation& worker,
                                           const http_reply& reply, instant now)
{
    constexpr unsigned unavailable = 503;
    const auto text = find_field(reply.fields, "Retry-After");
    if (reply.status != unavailable || !text)
        return false;
    const auto seconds = parse_retry_after(*text);
    m_state.counters.count(seconds ? "worker_pauses" : "worker_pauses_malformed");
    if (seconds && m_pauses.start(worker, *seconds, now))
        log_info(log_part::dispatch,
                 "worker wants no requests worker=" + worker.id + " named_s=" + std::string(*text) +
                     " ms=" + std::to_string(static_cast<int>(m_pauses.remaining_ms(worker, now))));
    return seconds.has_value();
}

/// Updates the send backoffs of the worker and its zone.
void request_forwarder::record_result(const worker_entry& worker, worker_link& link,
                                      const attempt_result& result)
{
    const auto now = boot_clock::now();
    const auto sample = [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); };
    auto& zone = m_zone_backoffs.try_emplace(worker.zone, max_unreached_workers).first->second;
    const bool is_unreached = result.kind == reply_kind::not_sent && !result.is_cancelled;
    // A worker with a long queue resets new connections before it reads from them.
    const bool is_immediate_reset = result.kind == reply_kind::lost && !result.is_reused &&
                                    result.took < immediate_reset_threshold;
    if (is_unreached && result.took >= immediate_reset_threshold)
        zone.on_rejected(now, sample());
    else if (!is_unreached && result.kind != reply_kind::lost)
        zone.on_answered();
    if (result.kind == reply_kind::not_executed && result.has_free_owner)
        link.backoff.on_rejected_by_chance(now, sample());
    else if (result.kind == reply_kind::not_executed || is_unreached || is_immediate_reset)
        link.backoff.on_rejected(now, sample());
    else if (result.kind == reply_kind::answer)
        link.backoff.on_answered();
}

/// A lost connection does not prove that the worker was lost; a refused connection afterwards does.
asio::awaitable<void> request_forwarder::check_lost_worker(std::uint64_t fingerprint,
                                                           worker_entry worker)
{
    constexpr millis probe_delay{100};
    constexpr millis connect_timeout{300};
    asio::steady_timer timer(m_executor, probe_delay);
    co_await timer.async_wait(asio::use_awaitable);
    if (!co_await is_connection_refused(m_executor, worker.address, connect_timeout))
        co_return;
    log_warning(log_part::dispatch,
                "worker " + worker.life.id +
                    " was lost during a run fingerprint=" + std::to_string(fingerprint));
    m_state.crashes.on_server_lost(fingerprint, worker.life.id, boot_clock::now());
    m_crash_reports.push_back({fingerprint, worker.life.id});
}

/// Log fields that identify a request and its result.
std::string request_forwarder::request_log_fields(const routed_request& request) const
{
    return "attempt=" + request.attempt_id + " route=" +
           (request.matched_route != nullptr ? request.matched_route->name : std::string("-")) +
           " service=" + request.service +
           " key=" + (request.key ? std::to_string(*request.key) : std::string("-")) +
           " worker=" + request.last_worker +
           (m_state.limits.find(request.last_worker) ? " limited=1" : "") +
           (m_state.paces.find(request.last_worker) ? " paced=1" : "") +
           " sent=" + std::to_string(request.attempts) +
           " ms=" + std::to_string(static_cast<int>(ms(boot_clock::now() - request.arrived)));
}

/// Log fields with the state that a refusal was based on, its versions and its age.
std::string request_forwarder::decision_log_fields(const routed_request& request) const
{
    const auto now = boot_clock::now();
    std::string text = " routes=" + std::to_string(m_state.routes ? m_state.routes->version : 0) +
                       " ownership=" + std::to_string(m_state.ownership_version) +
                       " age_ms=" + std::to_string(m_state.age_ms(now));
    std::string id = request.last_worker;
    const auto map = m_state.maps.find(request.service);
    if (request.key && map != m_state.maps.end())
    {
        const auto& slice = map->second.find(*request.key);
        id = slice.owner.id;
        text += " owner=" + id + " ready=" + std::to_string(slice.is_ready ? 1 : 0) +
                " previous=" + slice.previous.id +
                " since_ms=" + std::to_string(static_cast<std::int64_t>(ms(now - slice.changed)));
    }
    if (const auto load = m_state.worker_loads.find(id); load != m_state.worker_loads.end())
        text += " owner_in_flight=" + std::to_string(load->second.in_flight) +
                " run_ms=" + std::to_string(load->second.typical_ms) +
                " room=" + std::to_string(load->second.room);
    if (const auto* worker = m_state.workers.find(id); worker != nullptr)
        if (const double closed = remaining_backoff_ms(worker->entry, now); closed > 0)
            text += " closed_ms=" + std::to_string(static_cast<int>(closed));
    if (request.paused_ms > 0)
        text += " paused_ms=" + std::to_string(static_cast<int>(request.paused_ms));
    return text;
}

/// A refusal of a request that may have run does not say that it was not run, whatever its reason.
http_reply request_forwarder::refuse(routed_request& request, error_kind kind, double wait_ms)
{
    if (request.may_have_run && describe(kind).result == outcome::not_run)
        kind = error_kind::server_lost;
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    m_state.counters.count("refused_" + std::string(name_of(kind)));
    request.error = kind;
    log_info(log_part::front, "refused kind=" + std::string(name_of(kind)) + " " +
                                  request_log_fields(request) + decision_log_fields(request));
    // Callers return after the pause, not all at its end.
    std::uniform_real_distribution<double> delay(1.0, 1.3);
    return make_refusal(kind,
                        std::max(wait_ms * jitter(m_random), request.paused_ms * delay(m_random)));
}

} // namespace eelgrassrail
