/// Start, reports, readiness and graceful shutdown.
#include "router_timeouts.hpp"
#include <eelgrassrail/dissemination/dissemination_times.hpp>
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/http/request_defect.hpp>
#include <eelgrassrail/http/request_ledger.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/router_process.hpp>
#include <eelgrassrail/settings/net_address.hpp>

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

/// Interval of the maintenance task, which also reports while no pushes arrive.
constexpr millis maintenance_interval{200};

/// Between two reports of a process that receives no pushes.
constexpr millis orphan_report_interval{400};

/// At the first start of a deployment a process that knows the coordinator waits this long for a
/// push before it reads the streams itself.
constexpr millis first_push_timeout{2'000};

/// By then every process has learned of the coordinator, or cannot; none waits for a push any more.
constexpr millis first_start_timeout{6'000};

/// Additional wait of processes that are not among the readers of their zone.
constexpr millis non_reader_delay{500};

/// If the state is older than this, some processes of each zone read the store and pass the result
/// to the coordinator, which the store may be rejecting. The time leaves enough for a read before
/// the deadline for putting a change in force.
constexpr millis stale_age{1'600};

constexpr millis stop_poll_interval{50};

/// Links to workers that are unused for this time are closed.
constexpr std::chrono::seconds link_lifetime{30};

/// Removed workers are kept for longer than their leases can last.
constexpr std::chrono::seconds removed_lifetime{60};

/// Descriptors reserved for files, the store, peers and workers.
constexpr std::size_t reserved_descriptors = 1'200;

/// Share of a worker's connection limit that all processes together use.
constexpr double connection_share = 0.8;

/// Large requests and answers share more than half of the memory; the rest is for connections,
/// small messages and state. On the smallest VMs, of 120 MB, that is room for one body of the
/// largest size that is usually configured, 64 MB.
std::size_t body_memory(const router_settings& settings)
{
    constexpr std::size_t percent = 55;
    constexpr std::size_t bytes_in_mb = 1024UL * 1024;
    constexpr std::size_t unknown_mb = 256; // if the memory limit is unknown
    return (settings.memory_mb > 0 ? settings.memory_mb : unknown_mb) * bytes_in_mb * percent / 100;
}

/// Callers whose requests were ended to free memory may return after this time.
constexpr const char* no_memory_retry_s = "1";

http_reply malformed(request_defect defect)
{
    const auto& row = describe(kind_of(defect));
    http_reply reply;
    reply.status = row.status;
    if (defect == request_defect::no_memory)
        reply.fields.push_back({"Retry-After", no_memory_retry_s});
    reply.body = std::string(row.text) + "\n";
    return reply;
}

/// Connections of callers that a VM serves: as many as it has descriptors for, and no more than an
/// eighth of its memory has room for.
std::size_t max_connections(const router_settings& settings)
{
    constexpr std::size_t part = 8;
    constexpr std::size_t bytes_in_mb = 1024UL * 1024;
    const auto by_descriptors = settings.max_descriptors > 2 * reserved_descriptors
                                    ? settings.max_descriptors - reserved_descriptors
                                    : settings.max_descriptors / 2;
    if (settings.memory_mb == 0)
        return by_descriptors;
    return std::min(by_descriptors,
                    settings.memory_mb * bytes_in_mb / part / request_ledger::free_bytes);
}

} // namespace

router_process::router_process(asio::io_context& context, router_settings settings,
                               platform_calls calls, wire_format format)
    : m_context(context)
    , m_state(context.get_executor(), std::move(settings), std::move(calls), std::move(format))
    , m_body_budget(std::make_shared<receive_budget>(body_memory(m_state.settings)))
    , m_links(context.get_executor(), m_body_budget)
    , m_permits(context.get_executor(), m_state)
    , m_forwarder(context.get_executor(), m_state, m_links, m_permits)
    , m_peers(context.get_executor(), m_state)
    , m_reader(context.get_executor(), m_state)
    , m_coordinator(context.get_executor(), m_state, make_coordinator_channels(m_links, m_peers))
    , m_callers(
          context.get_executor(), parse_tcp_address(m_state.settings.caller_address), {},
          [this](http_call call, std::shared_ptr<caller_watch> watch)
          { return m_forwarder.serve(std::move(call), std::move(watch)); },
          malformed)
    , m_readiness(
          context.get_executor(), parse_tcp_address(m_state.settings.ready_address),
          limits_without_body(),
          [this](http_call, const auto&) -> asio::awaitable<http_reply> { co_return readiness(); },
          malformed)
{
    m_callers.set_budget(m_body_budget);
    if (m_state.settings.metrics_address.empty())
        return;
    m_metrics = std::make_unique<http_listener>(
        context.get_executor(), parse_tcp_address(m_state.settings.metrics_address),
        limits_without_body(),
        [this](http_call, const auto&) -> asio::awaitable<http_reply>
        {
            http_reply reply;
            reply.body = m_state.counters.to_text();
            co_return reply;
        },
        malformed);
}

void router_process::start()
{
    peer_handlers handlers;
    handlers.on_report = [this](entry_report report) { handle_report(std::move(report)); };
    handlers.on_push = [this](const received_push& message) { handle_push(message); };
    handlers.on_permit_request = [this](const permit_request& request)
    {
        const auto reply = m_coordinator.handle_permit_request(request, boot_clock::now());
        if (reply && request.wants_permit)
            m_peers.send(request.sender, *reply);
    };
    handlers.on_permit_reply = [this](const permit_reply& reply) { m_permits.handle_reply(reply); };
    handlers.on_limit_update = [this](const limit_update& update)
    { m_permits.handle_update(update); };
    handlers.on_evacuation_update = [this](const evacuation_update& update)
    { m_state.apply_evacuations(update.changes, boot_clock::now()); };
    handlers.on_pace_update = [this](const pace_update& update)
    { m_permits.handle_update(update); };
    handlers.on_leaving_notice = [this](const leaving_notice& notice)
    { m_coordinator.handle_leaving(notice.workers, boot_clock::now()); };
    handlers.on_leaving_update = [this](const leaving_update& update)
    { m_state.apply_leaving(update.workers, boot_clock::now()); };
    handlers.on_crash_update = [this](const crash_update& update)
    { m_state.apply_crashes(update.crashes, boot_clock::now()); };
    m_peers.start(std::move(handlers));
    start_permits();
    m_reader.start([this] { return should_read_streams(); });
    m_coordinator.start();
    m_callers.start();
    m_readiness.start();
    if (m_metrics)
        m_metrics->start();
    asio::co_spawn(m_context, run_maintenance(), asio::detached);
    asio::co_spawn(m_context, send_leaving_notices(), asio::detached);
    log_info(log_part::entry, "started vm=" + m_state.settings.vm + " zone=" + m_state.self.zone +
                                  " born=" + std::to_string(m_state.self.born_ms));
}

void router_process::start_permits()
{
    permit_client::channels to;
    to.send = [this](const std::string& address, const permit_request& request)
    { m_peers.send(address, request); };
    to.decide_here = [this](const permit_request& request)
    { return m_coordinator.handle_permit_request(request, boot_clock::now()); };
    m_permits.start(std::move(to));
}

bool router_process::should_read_streams() const
{
    const auto now = boot_clock::now();
    // At the first start of a deployment a process can wait for the coordinator's copy; one that
    // starts later serves sooner if it reads the streams itself. A process that does not know the
    // coordinator yet finds it by its own attempt to claim the role.
    const bool expects_push =
        m_state.coordinator.address.empty() || now - m_state.coordinator_since < first_push_timeout;
    if (m_state.settings.is_first_start && !m_coordinator.is_active() && !m_state.can_serve() &&
        now - m_state.started < first_start_timeout && expects_push)
        return false;
    if (m_state.settings.processor < small_vm_cores && !m_coordinator.is_active() &&
        now - m_state.started < 2 * initial_push_timeout)
        return false;
    if (m_coordinator.is_active() || !m_state.can_serve())
        return true;
    const auto silence = now - m_state.last_push;
    if (!m_state.reads_for_zone())
        return silence > push_timeout + non_reader_delay;
    return silence > push_timeout || m_state.store_lost_since != instant{} ||
           now - m_state.fresh_at > stale_age;
}

http_reply router_process::readiness() const
{
    http_reply reply;
    reply.status = m_state.can_serve() && !m_state.is_leaving ? 200 : 503;
    return reply;
}

void router_process::handle_report(entry_report report)
{
    const auto now = boot_clock::now();
    if (m_coordinator.is_active())
        m_coordinator.handle_report(report, now);
    else
        m_collector.take(std::move(report), now);
}

void router_process::handle_push(const received_push& message)
{
    const auto now = boot_clock::now();
    for (const auto& crash : message.push.crashes)
        m_state.crashes.on_server_lost(crash.fingerprint, crash.worker, now);
    if (!m_state.apply_push(message.push, now))
    {
        // The relay is closer and usually has the changes, but may be missing them too; so requests
        // alternate between the relay and the coordinator.
        const bool asks_relay = m_copy_requests++ % 2 == 0;
        asio::co_spawn(m_context,
                       fetch_copy(asks_relay ? message.from : message.push.sender.address,
                                  {message.push.ownership_version, message.push.routes_version}),
                       asio::detached);
    }
    else
        m_copy_requests = 0;
    if (m_coordinator.is_active() || !(message.push.sender == m_state.coordinator))
        return;
    if (message.gathers)
        m_report_route = {message.from, message.relay_levels, now};
    asio::co_spawn(m_context, send_report(), asio::detached);
}

asio::awaitable<void> router_process::fetch_copy(std::string from, copy_versions min_versions)
{
    co_await m_peers.fetch_copy(std::move(from), min_versions);
}

/// Sends a report back along the route of the push, so that each relay can merge the reports of the
/// processes behind it.
asio::awaitable<void> router_process::send_report()
{
    if (m_report_pending || boot_clock::now() < m_last_report + min_report_interval)
        co_return;
    m_report_pending = true;
    if (m_report_route.relay_levels > 0)
        co_await pause(gather_timeout * static_cast<std::int64_t>(m_report_route.relay_levels));
    m_report_pending = false;
    m_last_report = boot_clock::now();
    const bool is_known = m_last_report - m_report_route.last_push < orphan_timeout;
    m_peers.send(is_known ? m_report_route.address : m_state.coordinator.address,
                 make_report(false));
}

/// @param is_orphan this process receives no pushes
entry_report router_process::make_report(bool is_orphan)
{
    const auto now = boot_clock::now();
    auto report = m_forwarder.collect_report();
    member_report self;
    self.member = {m_state.self.address, m_state.self.zone,
                   static_cast<float>(m_state.settings.processor)};
    self.is_leaving = m_state.is_leaving;
    self.is_orphan = is_orphan;
    report.members.push_back(self);
    report.freshest = m_state.self;
    report.routes_version = m_state.routes ? m_state.routes->version : 0;
    report.age_ms = m_state.age_ms(now);
    return m_collector.merge_into(std::move(report), now);
}

/// The coordinator applies its own report; a process without pushes sends its report directly.
void router_process::report_without_push(instant now)
{
    if (m_coordinator.is_active())
        m_coordinator.handle_report(make_report(false), now);
    else if (now - std::max(m_state.last_push, m_last_report) > orphan_timeout &&
             !m_state.coordinator.address.empty() &&
             m_state.coordinator.address != m_state.self.address)
    {
        m_last_report = now - orphan_timeout + orphan_report_interval;
        m_peers.send(m_state.coordinator.address, make_report(true));
    }
}

asio::awaitable<void> router_process::pause(millis time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Notifies the coordinator of workers that this process has observed to be leaving.
asio::awaitable<void> router_process::send_leaving_notices()
{
    for (;;)
    {
        co_await m_state.changed.wait(leaving_workers::notice_interval);
        leaving_notice notice;
        notice.workers = m_state.workers.take_leaving_notices(boot_clock::now());
        if (notice.workers.empty())
            continue;
        if (m_coordinator.is_active())
            m_coordinator.handle_leaving(notice.workers, boot_clock::now());
        else if (!m_state.coordinator.address.empty())
            m_peers.send(m_state.coordinator.address, notice);
    }
}

asio::awaitable<void> router_process::run_maintenance()
{
    for (;;)
    {
        co_await pause(maintenance_interval);
        const auto now = boot_clock::now();
        report_without_push(now);
        apply_limits();
        set_gauges();
        m_links.close_unused(now - link_lifetime);
        m_state.workers.purge_removed(now - removed_lifetime);
        m_state.crashes.expire(now);
    }
}

void router_process::set_gauges()
{
    auto& counters = m_state.counters;
    constexpr double ms_in_s = 1'000.0;
    counters.set("routes_version",
                 m_state.routes ? static_cast<double>(m_state.routes->version) : 0.0);
    counters.set("state_age_seconds", m_state.age_ms(boot_clock::now()) / ms_in_s);
    counters.set("requests_in_flight", static_cast<double>(m_forwarder.in_flight()));
    counters.set("worker_limits_known", static_cast<double>(m_state.limits.limits().size()));
    counters.set("zones_evacuated", static_cast<double>(m_state.evacuations.count()));
    counters.set("workers_paced", static_cast<double>(m_state.paces.limits().size()));
    counters.set("callers_connections", static_cast<double>(m_callers.connections()));
    counters.set("callers_aborted", static_cast<double>(m_callers.aborted()));
    counters.set("body_memory_bytes", static_cast<double>(m_body_budget->reserved()));
    counters.set("body_memory_peak_bytes", static_cast<double>(m_body_budget->peak()));
    counters.set("body_memory_ended", static_cast<double>(m_body_budget->ended()));
    counters.set("coordinates", m_coordinator.is_active() ? 1.0 : 0.0);
    counters.set("processes_known", static_cast<double>(m_state.members.size()));
    std::size_t slices = 0;
    for (const auto& [service, map] : m_state.maps)
        slices += map.slices().size();
    counters.set("key_slices", static_cast<double>(slices));
    std::uint64_t opened = 0;
    m_links.for_each([&](worker_link& link) { opened += link.requests.opened(); });
    counters.set("worker_connections_opened", static_cast<double>(opened));
}

void router_process::apply_limits()
{
    if (!m_state.routes)
        return;
    std::size_t min_connections = 0;
    for (const auto& settings : m_state.routes->services)
        if (settings.max_connections > 0)
            min_connections = min_connections == 0
                                  ? settings.max_connections
                                  : std::min(min_connections, settings.max_connections);
    constexpr std::size_t min_processes = 4;
    const auto processes = std::max(min_processes, m_state.members.size());
    if (min_connections > 0)
        m_links.set_limit(std::max<std::size_t>(
            2, static_cast<std::size_t>(static_cast<double>(min_connections) * connection_share) /
                   processes));
    if (m_state.routes->version == m_limits_version)
        return;
    m_limits_version = m_state.routes->version;
    http_limits limits;
    limits.header_bytes = m_state.routes->max_header_bytes;
    limits.body_bytes = m_state.routes->max_body_bytes;
    limits.header_timeout = m_state.routes->header_timeout;
    limits.idle_timeout = m_state.routes->idle_timeout;
    limits.connections = max_connections(m_state.settings);
    m_callers.set_limits(limits);
}

void router_process::reload(const router_settings& next, const char* why)
{
    auto& current = m_state.settings;
    const bool needs_restart = next.caller_address != current.caller_address ||
                               next.ready_address != current.ready_address ||
                               next.peer_address != current.peer_address;
    current.retry_ratio = next.retry_ratio;
    current.retry_slack = next.retry_slack;
    current.drain_timeout = next.drain_timeout;
    current.stop_timeout = next.stop_timeout;
    log_info(log_part::entry,
             std::string("settings read again why=") + why +
                 (needs_restart ? " changed addresses take effect after a restart" : ""));
}

void router_process::begin_stop()
{
    if (std::exchange(m_state.is_leaving, true))
        return;
    asio::co_spawn(m_context, stop(), asio::detached);
}

asio::awaitable<void> router_process::stop()
{
    const stop_plan plan(boot_clock::now(), m_state.settings.stop_timeout);
    log_info(log_part::entry, "stop begins in_flight=" + std::to_string(m_forwarder.in_flight()));
    m_forwarder.begin_stop(plan);
    m_callers.drain();
    co_await m_coordinator.resign();
    while (boot_clock::now() < plan.accepts_until())
        co_await pause(stop_poll_interval);
    m_callers.stop();
    // A request that was just read may not be counted as in flight yet.
    while (m_forwarder.in_flight() + m_callers.connections() > 0 &&
           boot_clock::now() < plan.cuts_at())
        co_await pause(stop_poll_interval);
    log_info(log_part::entry, "stopped in_flight=" + std::to_string(m_forwarder.in_flight()));
    // Let the context send the answers that were just written.
    co_await pause(stop_poll_interval);
    m_context.stop();
}

} // namespace eelgrassrail
