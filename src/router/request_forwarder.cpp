/// Forwarding of one request, from its arrival to the answer.
#include "request_fields.hpp"
#include "router_timeouts.hpp"
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/request_forwarder.hpp>
#include <eelgrassrail/router/routed_request.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// Share of the allowed retries that a process uses for its own requests; the rest is headroom for
/// changes in the number of processes.
constexpr double own_retry_share = 0.7;

constexpr double own_retry_slack_share = 0.5;

/// Assumed run time before the first answer of a service.
constexpr double default_typical_ms = 200.0;

constexpr double newest_weight = 0.05;

/// After a reply without an attempt id that may be of an earlier request, the worker's reply to
/// this one is awaited for so many typical run times. Then it is unknown whether the request has
/// run.
constexpr double unnamed_wait_factor = 3.0;

/// A caller that is refused by a process that stops may go to another one at once.
constexpr millis other_process_wait{50};

constexpr std::size_t max_key_samples = 512; ///< per service in one report

} // namespace

request_forwarder::request_forwarder(asio::any_io_executor executor, router_state& state,
                                     worker_links& links, permit_client& permits)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_links(links)
    , m_permits(permits)
    , m_random(static_cast<std::mt19937::result_type>(state.self.born_ms ^
                                                      std::hash<std::string>{}(state.self.address)))
{
}

/// Requests that wait for an owner look at the plan too.
void request_forwarder::begin_stop(const stop_plan& plan)
{
    m_stop = plan;
    m_state.changed.notify();
}

asio::awaitable<http_reply> request_forwarder::serve(http_call call,
                                                     std::shared_ptr<caller_watch> watch)
{
    routed_request request;
    request.call = std::move(call);
    request.watch = std::move(watch);
    request.arrived = boot_clock::now();
    ++m_in_flight;
    auto reply = co_await route(request);
    --m_in_flight;
    const auto took = boot_clock::now() - request.arrived;
    request_label label;
    label.service = request.service;
    label.request_class =
        request.matched_route != nullptr ? request.matched_route->name : std::string();
    m_state.counters.on_answer(label, request.error, took);
    if (request.error == error_kind::none)
        log_info(log_part::front, "served " + request_log_fields(request) +
                                      " status=" + std::to_string(reply.status));
    co_return reply;
}

asio::awaitable<http_reply> request_forwarder::route(routed_request& request)
{
    const auto problem = parse_request(request, m_state);
    if (problem != error_kind::none)
        co_return refuse(request, problem, 0);
    request.service = m_splits.choose(*request.matched_route);
    request.settings = request.table->find_service(request.service);
    if (request.settings == nullptr)
        co_return refuse(request, error_kind::no_server, 0);
    if (request.settings->is_sharded && !request.key)
        co_return refuse(request, error_kind::missing_key, 0);
    // Refused requests count too: the balancer moves keys by demand, not by served requests.
    count_arrival(request);
    request.admission_sample = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (m_state.crashes.is_refused(request.fingerprint, request.arrived))
        co_return refuse(request, error_kind::withheld, 0);
    for (;;)
    {
        if (auto reply = co_await try_once(request))
            co_return std::move(*reply);
        if (request.watch->is_gone())
            co_return refuse(request, error_kind::deadline_passed, 0);
    }
}

/// One step: waits for an owner of the key, or makes one attempt. Returns nothing if the caller
/// should take another step.
asio::awaitable<std::optional<http_reply>> request_forwarder::try_once(routed_request& request)
{
    const auto now = boot_clock::now();
    if (now >= request.deadline)
        co_return refuse(
            request,
            request.may_have_run ? error_kind::deadline_while_running : error_kind::overloaded, 0);
    if (!may_pass_on(request, now))
        co_return refuse(request, error_kind::stopping, ms(other_process_wait));
    double wait_ms = 0;
    const auto* worker = select_worker(request, wait_ms);
    if (worker == nullptr && request.key && wait_ms == 0)
    {
        auto until = std::min(request.deadline, owner_wait_deadline(request));
        if (m_stop)
            until = std::min(until, m_stop->answers_until());
        if (now >= until)
            co_return refuse(request, error_kind::no_owner, ms(owner_wait_timeout));
        co_await m_state.changed.wait(until - now);
        co_return std::nullopt;
    }
    if (worker == nullptr)
        co_return refuse(request, wait_ms > 0 ? error_kind::overloaded : error_kind::no_server,
                         wait_ms);
    if (m_state.rate_limit_of(worker->entry.life.id))
    {
        const auto entry = worker->entry;
        const auto permit =
            co_await m_permits.acquire(entry.life.id, is_urgent(request), request.deadline);
        // After a denial the next step selects another worker, or refuses the request.
        if (!permit.is_granted)
            ++request.permit_denials;
        if (!permit.is_granted || !can_still_send(request, entry.life))
            co_return std::nullopt;
        worker = m_state.workers.find(entry.life.id);
    }
    if (request.attempts > 0 && !may_retry(request))
        co_return refuse(
            request, request.may_have_run ? error_kind::server_lost : error_kind::server_refused,
            typical_ms(request.service));
    co_return co_await send(request, *worker);
}

void request_forwarder::count_arrival(const routed_request& request)
{
    retry_budget_of(request.service).on_attempt();
    if (!request.settings->is_sharded)
        return;
    auto& seen = m_key_samples[request.service];
    if (seen.keys.size() < max_key_samples)
        seen.keys.push_back(static_cast<std::uint16_t>(*request.key));
}

/// The slack is divided by the number of processes, or by a high estimate while it is unknown.
retry_budget& request_forwarder::retry_budget_of(const std::string& service)
{
    constexpr std::size_t unknown_processes = 100;
    const auto processes = m_state.members.size() > 1 ? m_state.members.size() : unknown_processes;
    const double share = m_state.settings.retry_ratio * own_retry_share;
    const double capacity = std::max(1.0, m_state.settings.retry_slack * own_retry_slack_share /
                                              static_cast<double>(processes));
    const auto it = m_budgets.try_emplace(service, share, capacity).first;
    it->second.set_limits(share, capacity);
    return it->second;
}

double request_forwarder::typical_ms(const std::string& service) const
{
    const auto it = m_typical_ms.find(service);
    return it == m_typical_ms.end() ? default_typical_ms : it->second;
}

/// Sends the request to one worker. Returns nothing if it may be retried.
asio::awaitable<std::optional<http_reply>> request_forwarder::send(routed_request& request,
                                                                   const known_worker& worker)
{
    std::optional<http_reply> result;
    const auto entry = worker.entry;
    const auto link = m_links.get(entry);
    if (!link)
    {
        // The owner of the key would be selected again at once.
        request.refused_by.insert(entry.life.id);
        if (request.key)
            co_await m_state.changed.wait(owner_retry_interval);
        co_return result;
    }
    const auto started_at = boot_clock::now();
    exchange_options options{.until = request.deadline};
    const auto label = m_next_label++;
    options.label = label;
    // The worker may have said that it wants no more requests while the connection was opened.
    bool is_withheld = false;
    options.may_write = [&, watch = request.watch]
    {
        is_withheld = !accepts_requests(entry.life, boot_clock::now());
        return !is_withheld && !watch->is_gone();
    };
    options.owner_of = [&](const http_reply& reply)
    { return owner_of(request, m_state.format, reply); };
    options.unnamed_wait =
        millis(static_cast<std::int64_t>(unnamed_wait_factor * typical_ms(request.service)));
    options.avoided = request.refused_on;
    if (!request.matched_route->is_idempotent && started_at < m_last_idle_reset + idle_reset_window)
        options.longest_idle = max_safe_idle_time;
    if (request.matched_route->is_idempotent)
        request.watch->on_gone([link, label] { link->requests.cancel(label); });
    const bool has_free_slot = make_worker_option(worker, started_at).in_flight < entry.slots;
    if (m_state.limits.find(entry.life.id))
        m_state.counters.count("requests_to_limited_workers");
    link->on_start();
    auto exchange = co_await link->requests.exchange(make_call_to(request, worker), options);
    request.watch->on_gone({});
    const auto now = boot_clock::now();
    const auto took = std::chrono::duration_cast<millis>(now - started_at);
    const auto kind = classify(request, m_state.format, exchange);
    if (exchange.result == exchange_result::complete && kind != reply_kind::wrong_owner)
        record_rate_limit(entry.life.id, exchange.reply, kind == reply_kind::answer, started_at);
    bool is_paused = false;
    if (exchange.result == exchange_result::complete && kind != reply_kind::invalid)
    {
        m_state.observe_leaving(entry.life, exchange.reply, now);
        is_paused = record_retry_after(entry.life, exchange.reply, now);
    }
    const bool is_success = kind == reply_kind::answer && exchange.reply.status < 500;
    // A worker without a free slot refuses or resets; this does not count as a failure.
    const bool is_full = !has_free_slot &&
                         (kind == reply_kind::not_executed || kind == reply_kind::lost) &&
                         now < request.deadline;
    // The load of a worker with a rate limit is not known, and its rejections may be due to that.
    const bool has_free_owner = request.settings->is_sharded && has_free_slot &&
                                !m_state.rate_limit_of(entry.life.id).has_value();
    record_result(entry, *link, {kind, took, exchange.reused, exchange.cancelled, has_free_owner});
    // A worker that refuses connections may be back later, and cold.
    if (exchange.refused)
        m_state.presume_pace(entry.life.id, *request.settings, now);
    const bool counts_as_failure = kind != reply_kind::wrong_owner && !is_full && !is_withheld &&
                                   !is_paused && !request.watch->is_gone();
    link->on_end(is_success || !counts_as_failure, is_success, is_success && has_free_slot, took,
                 now);
    request.last_worker = entry.life.id;
    m_state.counters.count(std::string("attempts_") + std::string(name_of(kind)));
    if (kind != reply_kind::not_sent)
        ++request.attempts;
    if (is_success)
    {
        auto& typical = m_typical_ms.try_emplace(request.service, default_typical_ms).first->second;
        typical += (static_cast<double>(took.count()) - typical) * newest_weight;
    }
    if (kind != reply_kind::answer)
        log_info(log_part::dispatch,
                 "not answered attempt=" + request.attempt_id + " worker=" + entry.life.id +
                     " end=" + std::string(name_of(kind)) +
                     " status=" + std::to_string(exchange.reply.status) +
                     " reused=" + std::to_string(exchange.reused ? 1 : 0) + " named=" +
                     (find_field(exchange.reply.fields, m_state.format.attempt_id) ? "1" : "0") +
                     " ms=" + std::to_string(took.count()));
    if (kind == reply_kind::not_executed || kind == reply_kind::wrong_owner)
        request.refused_on.insert(exchange.connection);
    switch (kind)
    {
    case reply_kind::answer:
        result = make_caller_reply(std::move(exchange.reply));
        break;
    case reply_kind::not_executed:
    case reply_kind::not_sent:
        request.refused_by.insert(entry.life.id);
        // During a pause a retry would come too early; the request is refused at once.
        if (request.key && m_pauses.remaining_ms(entry.life, now) == 0)
            co_await m_state.changed.wait(owner_retry_interval);
        break;
    case reply_kind::wrong_owner:
        if (request.key)
            co_await m_state.changed.wait(owner_retry_interval);
        else
        {
            // Another worker answers at the address of the entry.
            request.refused_by.insert(entry.life.id);
            link->backoff.on_rejected(now, std::uniform_real_distribution<double>(0, 1)(m_random));
        }
        break;
    case reply_kind::lost:
    case reply_kind::invalid:
        if (exchange.reused && kind == reply_kind::lost && took < idle_reset_threshold)
            m_last_idle_reset = now;
        request.may_have_run = true;
        request.refused_by.insert(entry.life.id);
        if (kind == reply_kind::lost && now < request.deadline && !request.watch->is_gone())
            asio::co_spawn(m_executor, check_lost_worker(request.fingerprint, entry),
                           asio::detached);
        if (now >= request.deadline)
            result = refuse(request, error_kind::deadline_while_running, 0);
        else if (!request.matched_route->is_idempotent)
            result = refuse(request,
                            kind == reply_kind::lost ? error_kind::server_lost
                                                     : error_kind::invalid_server_answer,
                            0);
        break;
    }
    co_return result;
}

http_call request_forwarder::make_call_to(const routed_request& request,
                                          const known_worker& worker) const
{
    return make_worker_call(request, m_state.format, worker.entry.life.id, boot_clock::now());
}

entry_report request_forwarder::collect_report()
{
    entry_report report;
    report.sender = m_state.self;
    m_links.for_each(
        [&](worker_link& link)
        {
            if (link.has_updates())
                report.workers.push_back(link.collect_report());
        });
    for (auto& [service, seen] : m_key_samples)
        if (!seen.keys.empty())
            report.keys.push_back({service, std::exchange(seen.keys, {})});
    report.crashes = std::exchange(m_crash_reports, {});
    return report;
}

} // namespace eelgrassrail
