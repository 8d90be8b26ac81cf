/// Construction, periodic work and metrics of an entry process.
#include <eelgrassrail/entry/entry_process.hpp>
#include <eelgrassrail/entry/operator_api.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ctime>
#include <random>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis tick_interval{20};
constexpr millis max_tick_interval{300}; ///< a longer interval between ticks counts as a pause
constexpr std::size_t max_audit_lines = 5000;

std::uint64_t new_incarnation()
{
    // Unique for each run of a process; never compared for order.
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) >> 1U;
}

std::string utc_now()
{
    const auto now = std::time(nullptr);
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    std::string text(std::size("2026-01-01T00:00:00Z") - 1, '\0');
    std::strftime(text.data(), text.size() + 1, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

http_reply malformed_reply(request_defect defect)
{
    return to_reply(refusal(kind_of(defect)));
}

} // namespace

entry_process::entry_process(asio::io_context& context, entry_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_platform(context.get_executor(), m_settings.platform_address, m_settings.platform_timeout)
    , m_peers(context.get_executor(), m_settings.peer_address, m_settings.zone)
    , m_gateway(
          std::make_shared<log_gateway>(context.get_executor(), m_platform, m_peers,
                                        peer_endpoint{m_settings.zone, m_settings.peer_address},
                                        m_settings.peers, m_settings.poll_interval))
    , m_agent({m_settings.vm, new_incarnation(), m_settings.zone, m_settings.peer_address}, {})
    , m_frontend(context.get_executor(), m_agent, m_peers, m_metrics,
                 [this](const pool_id& pool, request value)
                 { return run_locally(pool, std::move(value)); })
    , m_append_wake(context, asio::steady_timer::time_point::max())
{
    m_caller_listener = std::make_unique<http_listener>(
        context.get_executor(), parse_tcp_address(m_settings.http_address), http_limits{},
        [this](http_call call, const auto&) { return serve_caller(std::move(call)); },
        malformed_reply);
    m_operator_listener = std::make_unique<http_listener>(
        context.get_executor(), parse_tcp_address(m_settings.operator_address), http_limits{},
        [this](http_call call, const auto&) { return serve_operator(*this, std::move(call)); },
        malformed_reply);
}

entry_process::~entry_process() = default;

void entry_process::start()
{
    m_last_tick = boot_clock::now();
    m_last_snapshot_time = m_last_tick;
    m_peers.start([this](peer_body body) { return serve_peer(std::move(body)); },
                  [this](const lease_message& message)
                  { m_agent.on_message(message, boot_clock::now()); });
    m_caller_listener->start();
    m_operator_listener->start();
    asio::co_spawn(m_context, read_loop(), asio::detached);
    asio::co_spawn(m_context, tick_loop(), asio::detached);
    asio::co_spawn(m_context, append_loop(), asio::detached);
    log_info(log_part::entry, "Started as " + m_settings.vm + " in " + m_settings.zone + ".");
}

asio::awaitable<void> entry_process::sleep(millis length)
{
    asio::steady_timer timer(m_context, length);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> entry_process::tick_loop()
{
    for (;;)
    {
        co_await sleep(tick_interval);
        tick(boot_clock::now());
    }
}

void entry_process::tick(instant now)
{
    detect_pause(now);
    m_agent.tick(now);
    flush_agent();
    update_runners(now);
    for (const auto& [id, runner] : m_runners)
        runner->tick(now);
    write_snapshot_if_due(now);
}

void entry_process::detect_pause(instant now)
{
    const auto elapsed = now - std::exchange(m_last_tick, now);
    if (elapsed <= max_tick_interval)
        return;
    m_metrics.count("pauses");
    // Leases are not dropped: they are measured on a clock that also advances during a pause.
    log_warning(log_part::entry,
                "The process was paused for " +
                    std::to_string(std::chrono::duration_cast<millis>(elapsed).count()) + " ms.");
    for (const auto& [id, runner] : m_runners)
        runner->close_idle_connections();
}

void entry_process::flush_agent()
{
    auto outputs = m_agent.take_outputs();
    for (const auto& message : outputs.messages)
        m_peers.send(message.address, message.body);
    for (auto& request : outputs.appends)
    {
        const bool is_queued = std::ranges::find(m_append_queue, request.id, &append_request::id) !=
                               m_append_queue.end();
        if (!is_queued)
            m_append_queue.push_back(std::move(request));
        m_append_wake.cancel();
    }
    for (const auto& request : outputs.syncs)
    {
        const auto it = m_runners.find(request.pool);
        if (it != m_runners.end() && it->second->epoch() == request.epoch)
            it->second->sync(request);
        else
            m_agent.on_synced(request, false, boot_clock::now());
    }
    for (const auto& event : outputs.events)
        audit(event.text);
}

void entry_process::update_runners(instant now)
{
    const bool has_changed = m_processed_offset != m_agent.state().next;
    m_processed_offset = m_agent.state().next;
    if (has_changed)
    {
        m_copies.keep_only(m_agent.state(), m_agent.self());
        m_frontend.on_route_change();
    }
    std::erase_if(m_runners,
                  [&](const auto& entry)
                  {
                      const auto held = m_agent.held().find(entry.first);
                      if (held != m_agent.held().end() &&
                          held->second.epoch == entry.second->epoch())
                          return false;
                      entry.second->abandon(now);
                      return true;
                  });
    for (const auto& [id, held] : m_agent.held())
    {
        const auto it = m_runners.find(id);
        if (it != m_runners.end())
        {
            if (has_changed)
                it->second->configure(now);
            continue;
        }
        if (!m_agent.has_valid_lease(id, now))
            continue;
        const auto* pool = find_pool(m_agent.state(), id);
        dispatcher_state start;
        start.pool = id;
        start.epoch = held.epoch;
        auto copy = m_copies.extract(id);
        const bool is_known = pool->evidence == claim_evidence::silence ||
                              pool->evidence == claim_evidence::handed_over;
        start.history_complete =
            pool->evidence == claim_evidence::unheld || (is_known && copy.has_value());
        if (copy)
        {
            start.entries = std::move(copy->entries);
            start.owners = std::move(copy->owners);
        }
        audit("Serves " + to_text(id) + " in epoch " + std::to_string(held.epoch) + " with " +
              (start.history_complete ? "a complete history." : "an incomplete history."));
        const auto runner = std::make_shared<pool_runner>(
            runner_context{m_context.get_executor(), m_agent, m_peers,
                           [this](const std::string& text) { audit(text); },
                           [this](const std::string& service, std::uint64_t value)
                           { broadcast_quarantine(service, value); }},
            std::move(start));
        m_runners.emplace(id, runner);
        runner->configure(now);
        m_frontend.on_route_change();
    }
}

void entry_process::update_leaving_servers(instant now)
{
    for (const auto& vm : m_gateway->vms())
        if (vm.leaving)
            for (const auto& [id, runner] : m_runners)
                runner->request_dispatcher().set_leaving(vm.vm, now);
}

void entry_process::audit(const std::string& text)
{
    log_info(log_part::ownership, text);
    m_audit.push_back({utc_now(), m_agent.state().next, text});
    if (m_audit.size() > max_audit_lines)
        m_audit.pop_front();
}

void entry_process::broadcast_quarantine(const std::string& service, std::uint64_t value)
{
    m_metrics.count("quarantined");
    for (const auto& endpoint : m_gateway->endpoints())
        m_peers.post(endpoint.address, quarantine_notice{service, value});
    for (const auto& [id, runner] : m_runners)
        if (id.service == service)
            runner->request_dispatcher().add_quarantine(value, boot_clock::now());
}

void entry_process::write_snapshot_if_due(instant now)
{
    const auto newest = m_agent.state().last_snapshot;
    if (newest != m_last_snapshot_offset)
    {
        m_last_snapshot_offset = newest;
        m_last_snapshot_time = now;
    }
    const bool is_due = m_gateway->is_zone_reader() &&
                        now - m_last_snapshot_time >= m_settings.snapshot_interval &&
                        m_agent.state().next > newest + 1;
    if (!is_due)
        return;
    m_last_snapshot_time = now;
    m_agent.append_snapshot(now);
}

bool entry_process::is_healthy() const
{
    return boot_clock::now() - m_last_tick < std::chrono::seconds(1);
}

bool entry_process::is_ready() const
{
    return !m_stopping && m_agent.state().in_force > 0 && is_healthy();
}

std::string entry_process::metrics_text()
{
    const auto now = boot_clock::now();
    m_metrics.set("log_next_offset", static_cast<double>(m_agent.state().next));
    m_metrics.set("ticket_in_force", static_cast<double>(m_agent.state().in_force));
    m_metrics.set("log_age_seconds", std::chrono::duration<double>(now - m_last_read).count());
    m_metrics.set("log_route", static_cast<double>(m_gateway->route()));
    m_metrics.set("pools_held", static_cast<double>(m_runners.size()));
    m_metrics.set("requests_in_flight", static_cast<double>(m_frontend.in_flight()));
    m_metrics.set("platform_calls", static_cast<double>(m_platform.calls()));
    const auto& traffic = m_peers.traffic();
    m_metrics.set("peer_calls", static_cast<double>(traffic.calls));
    m_metrics.set("peer_datagrams", static_cast<double>(traffic.datagrams));
    m_metrics.set("peer_sent_bytes", static_cast<double>(traffic.sent_bytes));
    m_metrics.set("peer_received_bytes", static_cast<double>(traffic.received_bytes));
    m_metrics.set("peer_dropped", static_cast<double>(traffic.dropped));
    for (const auto& [id, runner] : m_runners)
    {
        const auto& counters = runner->request_dispatcher().counters();
        const auto label = "{pool=\"" + to_text(id) + "\"}";
        m_metrics.set("moved_slices" + label, static_cast<double>(counters.moved_slices));
        m_metrics.set("lost_servers" + label, static_cast<double>(counters.lost_servers));
        m_metrics.set("retried_runs" + label, static_cast<double>(counters.retried));
        m_metrics.set("late_answers" + label, static_cast<double>(counters.late_answers));
        m_metrics.set("started_runs" + label, static_cast<double>(counters.started));
    }
    return m_metrics.to_text();
}

void entry_process::simulate_partition(std::set<std::string> zones, bool platform)
{
    m_peers.set_cut_zones(std::move(zones));
    m_platform.set_cut(platform);
}

} // namespace eelgrassrail
