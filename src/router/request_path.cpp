/// Decisions on one request, from its arrival to its answer.
#include "request_fields.hpp"
#include "router_times.hpp"
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/request_path.hpp>
#include <eelgrassrail/router/routed_request.hpp>

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

/// Part of the retries of all processes that a process takes for its own requests; the rest is room
/// for processes that come and go.
constexpr double own_retry_share = 0.7;

constexpr double own_slack_share = 0.5;

/// Run time that is assumed before the first answer of a service.
constexpr double first_typical_ms = 200.0;

constexpr double newest_weight = 0.05;

/// A connection that is reset within this time was not taken by the worker. The way there and back
/// fits in, and the turns of a small VM.
constexpr millis reset_at_once{50};

/// Workers of one zone in a row that do not answer a connection. Some may have ended; with no
/// answer from the zone in between, more than that means that the way there is cut.
constexpr std::size_t unreached_by_chance = 5;

constexpr std::size_t most_keys = 512; ///< of one report

} // namespace

request_path::request_path(asio::any_io_executor executor, router_state& state, worker_links& links)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_links(links)
    , m_random(static_cast<std::mt19937::result_type>(state.self.born_ms ^
                                                      std::hash<std::string>{}(state.self.address)))
{
}

asio::awaitable<http_reply> request_path::serve(http_call call, std::shared_ptr<caller_watch> watch)
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
    label.request_class = request.way != nullptr ? request.way->name : std::string();
    m_state.counters.on_answer(label, request.end, took);
    if (request.end == error_kind::none)
        log_info(log_part::front,
                 "served " + facts(request) + " status=" + std::to_string(reply.status));
    co_return reply;
}

asio::awaitable<http_reply> request_path::route(routed_request& request)
{
    const auto problem = read_request(request, m_state);
    if (problem != error_kind::none)
        co_return refuse(request, problem, 0);
    request.service = m_splits.choose(*request.way);
    request.terms = request.table->find_service(request.service);
    if (request.terms == nullptr)
        co_return refuse(request, error_kind::no_server, 0);
    if (request.terms->divided_by_key && !request.key)
        co_return refuse(request, error_kind::missing_key, 0);
    // Refused requests count too: keys move by what is asked for, not by what fits in.
    count_arrival(request);
    request.draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (m_quarantine.is_refused(request.fingerprint, request.arrived))
        co_return refuse(request, error_kind::withheld, 0);
    for (;;)
    {
        if (auto reply = co_await try_once(request))
            co_return std::move(*reply);
        if (request.watch->is_gone())
            co_return refuse(request, error_kind::deadline_passed, 0);
    }
}

/// One step: waits for an owner, or sends the request once. Nothing: another step is to follow.
asio::awaitable<std::optional<http_reply>> request_path::try_once(routed_request& request)
{
    const auto now = boot_clock::now();
    if (now >= request.give_up)
        co_return refuse(
            request,
            request.may_have_run ? error_kind::deadline_while_running : error_kind::overloaded, 0);
    double wait_ms = 0;
    const auto* worker = pick(request, wait_ms);
    if (worker == nullptr && request.key && wait_ms == 0)
    {
        const auto until = std::min(request.give_up, owner_expected_by(request));
        if (now >= until)
            co_return refuse(request, error_kind::no_owner, ms(longest_owner_wait));
        co_await m_state.changed.wait(until - now);
        co_return std::nullopt;
    }
    if (worker == nullptr)
        co_return refuse(request, wait_ms > 0 ? error_kind::overloaded : error_kind::no_server,
                         wait_ms);
    if (request.sent > 0 && !may_retry(request))
        co_return refuse(
            request, request.may_have_run ? error_kind::server_lost : error_kind::server_refused,
            typical_ms(request.service));
    co_return co_await send(request, *worker);
}

void request_path::count_arrival(const routed_request& request)
{
    budget(request.service).on_attempt();
    if (!request.terms->divided_by_key)
        return;
    auto& seen = m_keys[request.service];
    if (seen.keys.size() < most_keys)
        seen.keys.push_back(static_cast<std::uint16_t>(*request.key));
}

/// The slack of all processes is divided by their number; while it is not known, by a large one.
retry_budget& request_path::budget(const std::string& service)
{
    constexpr std::size_t unknown_processes = 100;
    const auto processes = m_state.members.size() > 1 ? m_state.members.size() : unknown_processes;
    const double share = m_state.settings.retry_ratio * own_retry_share;
    const double capacity = std::max(1.0, m_state.settings.retry_slack * own_slack_share /
                                              static_cast<double>(processes));
    const auto it = m_budgets.try_emplace(service, share, capacity).first;
    it->second.set_limits(share, capacity);
    return it->second;
}

double request_path::typical_ms(const std::string& service) const
{
    const auto it = m_typical_ms.find(service);
    return it == m_typical_ms.end() ? first_typical_ms : it->second;
}

/// Sends the request to one worker. Nothing: it may be tried again.
asio::awaitable<std::optional<http_reply>> request_path::send(routed_request& request,
                                                              const known_worker& worker)
{
    std::optional<http_reply> result;
    const auto entry = worker.entry;
    const auto link = m_links.get(entry);
    if (!link)
    {
        request.refused_by.insert(entry.life.id);
        co_return result;
    }
    const auto began = boot_clock::now();
    exchange_options options{.until = request.give_up};
    const auto label = m_next_label++;
    options.label = label;
    options.may_write = [watch = request.watch] { return !watch->is_gone(); };
    options.is_answer = [&](const http_reply& reply)
    { return is_answer_to(request, m_state.format, reply); };
    if (!request.way->is_idempotent && began < m_idle_reset + idle_reset_memory)
        options.longest_idle = fresh_connection_time;
    if (request.way->is_idempotent)
        request.watch->on_gone([link, label] { link->requests.cancel(label); });
    const bool finds_free_slot = describe_worker(worker, began).in_flight < entry.slots;
    link->on_start();
    auto exchange = co_await link->requests.exchange(to_worker(request, worker), options);
    request.watch->on_gone({});
    const auto now = boot_clock::now();
    const auto took = std::chrono::duration_cast<millis>(now - began);
    const auto kind = classify(request, m_state.format, exchange);
    const bool is_success = kind == reply_kind::answer && exchange.reply.status < 500;
    // A full worker refuses or resets; that is no failure of the worker.
    const bool is_full = !finds_free_slot &&
                         (kind == reply_kind::not_executed || kind == reply_kind::lost) &&
                         now < request.give_up;
    note_end(entry, *link, {kind, took, exchange.reused, exchange.cancelled});
    const bool blames = kind != reply_kind::wrong_owner && !is_full && !request.watch->is_gone();
    link->on_end(is_success || !blames, is_success, is_success && finds_free_slot, took, now);
    request.last_worker = entry.life.id;
    m_state.counters.count(std::string("attempts_") + std::string(name_of(kind)));
    if (kind != reply_kind::not_sent)
        ++request.sent;
    if (is_success)
    {
        auto& typical = m_typical_ms.try_emplace(request.service, first_typical_ms).first->second;
        typical += (static_cast<double>(took.count()) - typical) * newest_weight;
    }
    if (kind != reply_kind::answer)
        log_info(log_part::dispatch, "not answered attempt=" + request.attempt_id + " worker=" +
                                         entry.life.id + " end=" + std::string(name_of(kind)) +
                                         " status=" + std::to_string(exchange.reply.status) +
                                         " reused=" + std::to_string(exchange.reused ? 1 : 0) +
                                         " ms=" + std::to_string(took.count()));
    switch (kind)
    {
    case reply_kind::answer:
        result = to_caller(std::move(exchange.reply));
        break;
    case reply_kind::not_executed:
    case reply_kind::not_sent:
        request.refused_by.insert(entry.life.id);
        if (request.key)
            co_await m_state.changed.wait(owner_pause);
        break;
    case reply_kind::wrong_owner:
        if (request.key)
            co_await m_state.changed.wait(owner_pause);
        else
            request.refused_by.insert(entry.life.id);
        break;
    case reply_kind::lost:
    case reply_kind::invalid:
        if (exchange.reused && kind == reply_kind::lost && took < idle_reset_time)
            m_idle_reset = now;
        request.may_have_run = true;
        request.refused_by.insert(entry.life.id);
        if (kind == reply_kind::lost && now < request.give_up && !request.watch->is_gone())
            asio::co_spawn(m_executor, check_lost_worker(request.fingerprint, entry),
                           asio::detached);
        if (now >= request.give_up)
            result = refuse(request, error_kind::deadline_while_running, 0);
        else if (!request.way->is_idempotent)
            result = refuse(request,
                            kind == reply_kind::lost ? error_kind::server_lost
                                                     : error_kind::invalid_server_answer,
                            0);
        break;
    }
    co_return result;
}

/// What the end of one request says about further ones to the worker and its zone.
void request_path::note_end(const worker_entry& worker, worker_link& link, const sent_request& sent)
{
    const auto now = boot_clock::now();
    const auto draw = [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); };
    auto& zone = m_zones.try_emplace(worker.zone, unreached_by_chance).first->second;
    const bool is_unreached = sent.end == reply_kind::not_sent && !sent.is_cancelled;
    // A worker whose queue is long resets new connections before it reads from them.
    const bool is_reset_at_once =
        sent.end == reply_kind::lost && !sent.is_reused && sent.took < reset_at_once;
    if (is_unreached && sent.took >= reset_at_once)
        zone.on_turned_away(now, draw());
    else if (!is_unreached && sent.end != reply_kind::lost)
        zone.on_answered();
    if (sent.end == reply_kind::not_executed || is_unreached || is_reset_at_once)
        link.window.on_turned_away(now, draw());
    else if (sent.end == reply_kind::answer)
        link.window.on_answered();
}

/// A connection that was lost is no proof that the worker was; one that is refused afterwards is.
asio::awaitable<void> request_path::check_lost_worker(std::uint64_t fingerprint,
                                                      worker_entry worker)
{
    constexpr millis pause{100};
    constexpr millis longest{300};
    asio::steady_timer timer(m_executor, pause);
    co_await timer.async_wait(asio::use_awaitable);
    if (!co_await refuses_connections(m_executor, worker.address, longest))
        co_return;
    log_warning(log_part::dispatch,
                "worker " + worker.life.id +
                    " was lost during a run fingerprint=" + std::to_string(fingerprint));
    m_quarantine.on_server_lost(fingerprint, worker.life.id, boot_clock::now());
    m_crashes.push_back({fingerprint, worker.life.id});
}

http_call request_path::to_worker(const routed_request& request, const known_worker& worker) const
{
    return make_worker_call(request, m_state.format, worker.entry.life.id, boot_clock::now());
}

/// What identifies a request and what was decided about it.
std::string request_path::facts(const routed_request& request) const
{
    return "attempt=" + request.attempt_id +
           " route=" + (request.way != nullptr ? request.way->name : std::string("-")) +
           " service=" + request.service +
           " key=" + (request.key ? std::to_string(*request.key) : std::string("-")) +
           " worker=" + request.last_worker + " sent=" + std::to_string(request.sent) +
           " ms=" + std::to_string(static_cast<int>(ms(boot_clock::now() - request.arrived)));
}

/// The inputs of a refusal with their versions and ages.
std::string request_path::evidence(const routed_request& request) const
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
    if (const auto use = m_state.use.find(id); use != m_state.use.end())
        text += " owner_in_flight=" + std::to_string(use->second.in_flight) +
                " run_ms=" + std::to_string(use->second.typical_ms) +
                " room=" + std::to_string(use->second.room);
    if (const auto* worker = m_state.workers.find(id); worker != nullptr)
        if (const double closed = closed_for_ms(worker->entry, now); closed > 0)
            text += " closed_ms=" + std::to_string(static_cast<int>(closed));
    return text;
}

http_reply request_path::refuse(routed_request& request, error_kind kind, double wait_ms)
{
    std::uniform_real_distribution<double> draw(0.7, 1.3);
    m_state.counters.count("refused_" + std::string(name_of(kind)));
    request.end = kind;
    log_info(log_part::front, "refused kind=" + std::string(name_of(kind)) + " " + facts(request) +
                                  evidence(request));
    return make_refusal(kind, wait_ms * draw(m_random));
}

entry_report request_path::take_report()
{
    entry_report report;
    report.sender = m_state.self;
    m_links.for_each(
        [&](worker_link& link)
        {
            if (link.has_news())
                report.workers.push_back(link.take_sight());
        });
    for (auto& [service, seen] : m_keys)
        if (!seen.keys.empty())
            report.keys.push_back({service, std::exchange(seen.keys, {})});
    report.crashes = std::exchange(m_crashes, {});
    return report;
}

void request_path::take_crashes(const std::vector<crash_sight>& crashes, instant now)
{
    for (const auto& crash : crashes)
        m_quarantine.on_server_lost(crash.fingerprint, crash.worker, now);
}

} // namespace eelgrassrail
