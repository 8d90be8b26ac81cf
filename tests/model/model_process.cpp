/// Messages of a process, and its calls to workers.
#include "model_process.hpp"

#include "../../src/router/router_timeouts.hpp"
#include "model_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace eelgrassrail::test
{

namespace asio = boost::asio;

namespace
{

// As in router_process and peer_link.
constexpr millis maintenance_interval{200};
constexpr millis orphan_report_interval{400};
constexpr millis first_push_timeout{2'000};
constexpr millis first_start_timeout{6'000};
constexpr millis non_reader_delay{500};
constexpr millis stale_age{1'600};
constexpr millis balancer_removal_time{2'600};
constexpr std::chrono::seconds removed_lifetime{60};
constexpr millis copy_timeout{800};
constexpr millis copy_wait_timeout{400};
constexpr millis copy_poll_interval{50};
constexpr millis copy_reuse_time{100};
constexpr millis connect_timeout{300};

/// Changes of a push that fit into a datagram.
constexpr std::size_t max_pushed_changes = 120;

constexpr std::size_t max_inbox = 400;

router_settings make_settings(const process_place& place)
{
    constexpr millis max_lease{10'000};
    constexpr millis drain{2'000};
    constexpr millis stop_time{10'000};
    router_settings settings;
    settings.vm = place.address;
    settings.zone = place.zone;
    settings.peer_address = place.address;
    settings.drain_timeout = drain;
    settings.stop_timeout = stop_time;
    settings.max_lease_duration = max_lease;
    settings.is_first_start = place.is_first_start;
    settings.processor = place.processor;
    return settings;
}

} // namespace

model_process::model_process(const process_place& place, model_world& world)
    : m_index(place.index)
    , m_world(world)
    , m_name(place.address + "/" + time_text(model_now()))
    , m_context(std::make_unique<asio::io_context>(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE))
    , m_state(m_context->get_executor(), make_settings(place),
              world.store().calls_for({place.index, m_name, m_context->get_executor()}),
              worker_fleet::format())
    , m_reader(m_context->get_executor(), m_state)
    , m_coordinator(m_context->get_executor(), m_state, make_channels())
    , m_demand_until(model_now())
{
}

model_process::~model_process()
{
    m_context.reset();
}

coordinator_channels model_process::make_channels()
{
    coordinator_channels channels;
    channels.call_worker =
        [this](const worker_entry& worker, http_call call, exchange_options options)
    { return call_worker(worker, std::move(call), std::move(options)); };
    channels.push = [this](std::span<const relay_part<std::string>> parts, bool gathers,
                           const coordinator_push& push)
    {
        auto sent = push;
        if (sent.ownership.size() > max_pushed_changes)
        {
            sent.ownership.clear();
            sent.ownership_base = sent.ownership_version;
        }
        const auto shared = std::make_shared<const coordinator_push>(std::move(sent));
        for (const auto& part : parts)
        {
            if (part.child == m_state.self.address)
                continue;
            m_world.send(m_index, part.child,
                         [message = relayed_push{shared, m_state.self.address, part.behind,
                                                 gathers}](model_process& to)
                         { to.receive_push(message); });
        }
    };
    channels.announce_limits = [](std::span<const relay_part<std::string>>, const limit_update&) {};
    channels.announce_paces = [](std::span<const relay_part<std::string>>, const pace_update&) {};
    channels.announce_evacuations = [](std::span<const relay_part<std::string>>,
                                       const evacuation_update&) {};
    channels.announce_leaving = [](std::span<const relay_part<std::string>>,
                                   const leaving_update&) {};
    channels.announce_crashes = [](std::span<const relay_part<std::string>>, const crash_update&) {
    };
    channels.fetch_copy = [this](std::string address)
    { return fetch_copy(std::move(address), {}); };
    return channels;
}

void model_process::start()
{
    m_reader.start([this] { return should_read_streams(); });
    m_coordinator.start();
    asio::co_spawn(*m_context, run_maintenance(), asio::detached);
}

void model_process::poll()
{
    const auto messages = std::exchange(m_inbox, {});
    for (const auto& message : messages)
        message(*this);
    m_context->restart();
    m_context->poll();
}

void model_process::post(std::function<void(model_process&)> message)
{
    if (m_inbox.size() < max_inbox)
        m_inbox.push_back(std::move(message));
}

bool model_process::should_read_streams() const
{
    const auto now = boot_clock::now();
    const bool expects_push =
        m_state.coordinator.address.empty() || now - m_state.coordinator_since < first_push_timeout;
    if (m_state.settings.is_first_start && !is_active() && !m_state.can_serve() &&
        now - m_state.started < first_start_timeout && expects_push)
        return false;
    if (m_state.settings.processor < small_vm_cores && !is_active() &&
        now - m_state.started < 2 * initial_push_timeout)
        return false;
    if (is_active() || !m_state.can_serve())
        return true;
    const auto silence = now - m_state.last_push;
    if (!m_state.reads_for_zone())
        return silence > push_timeout + non_reader_delay;
    return silence > push_timeout || m_state.store_lost_since != instant{} ||
           now - m_state.fresh_at > stale_age;
}

void model_process::relay(const relayed_push& message)
{
    const auto parts = divide_receivers(std::span<const std::string>(message.behind), relay_degree);
    for (const auto& part : parts)
        m_world.send(m_index, part.child,
                     [next = relayed_push{message.push, m_state.self.address, part.behind,
                                          message.gathers}](model_process& to)
                     { to.receive_push(next); });
}

void model_process::receive_push(const relayed_push& message)
{
    relay(message);
    const auto now = boot_clock::now();
    const auto& push = *message.push;
    if (!m_state.apply_push(push, now))
    {
        const bool asks_relay = m_copy_requests++ % 2 == 0;
        asio::co_spawn(*m_context,
                       fetch_copy(asks_relay ? message.from : push.sender.address,
                                  {push.ownership_version, push.routes_version}),
                       asio::detached);
    }
    else
        m_copy_requests = 0;
    if (is_active() || !(push.sender == m_state.coordinator))
        return;
    if (message.gathers)
        m_report_route = {message.from, relay_levels(message.behind.size()), now};
    asio::co_spawn(*m_context, send_report(), asio::detached);
}

void model_process::receive_report(entry_report report)
{
    const auto now = boot_clock::now();
    if (is_active())
        m_coordinator.handle_report(report, now);
    else
        m_collector.take(std::move(report), now);
}

void model_process::send_report_to(const std::string& address, entry_report report)
{
    m_world.send(m_index, address,
                 [sent = std::make_shared<const entry_report>(std::move(report))](model_process& to)
                 { to.receive_report(*sent); });
}

asio::awaitable<void> model_process::send_report()
{
    if (m_report_pending || boot_clock::now() < m_last_report + min_report_interval)
        co_return;
    m_report_pending = true;
    if (m_report_route.relay_levels > 0)
        co_await pause(gather_timeout * static_cast<std::int64_t>(m_report_route.relay_levels));
    m_report_pending = false;
    m_last_report = boot_clock::now();
    const bool is_known = m_last_report - m_report_route.last_push < orphan_timeout;
    send_report_to(is_known ? m_report_route.address : m_state.coordinator.address,
                   make_report(false));
}

entry_report model_process::make_report(bool is_orphan)
{
    const auto now = boot_clock::now();
    entry_report report;
    report.sender = m_state.self;
    m_world.add_demand(report, std::exchange(m_demand_until, now));
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

asio::awaitable<void> model_process::run_maintenance()
{
    for (;;)
    {
        co_await pause(maintenance_interval);
        const auto now = boot_clock::now();
        if (is_active())
            m_coordinator.handle_report(make_report(false), now);
        else if (now - std::max(m_state.last_push, m_last_report) > orphan_timeout &&
                 !m_state.coordinator.address.empty() &&
                 m_state.coordinator.address != m_state.self.address)
        {
            m_last_report = now - orphan_timeout + orphan_report_interval;
            send_report_to(m_state.coordinator.address, make_report(true));
        }
        m_state.workers.purge_removed(now - removed_lifetime);
    }
}

void model_process::begin_stop(std::function<void()> on_end)
{
    if (std::exchange(m_state.is_leaving, true))
        return;
    asio::co_spawn(*m_context, stop(std::move(on_end)), asio::detached);
}

asio::awaitable<void> model_process::stop(std::function<void()> on_end)
{
    const auto started_at = boot_clock::now();
    co_await m_coordinator.resign();
    co_await pause(std::max<boot_clock::duration>(millis(1), started_at + balancer_removal_time -
                                                                 boot_clock::now()));
    on_end();
}

void model_process::serve_copy(copy_versions required, std::size_t from,
                               const std::weak_ptr<copy_slot>& to)
{
    asio::co_spawn(*m_context, answer_copy(required, from, to), asio::detached);
}

asio::awaitable<void> model_process::answer_copy(copy_versions required, std::size_t from,
                                                 std::weak_ptr<copy_slot> to)
{
    const auto until = boot_clock::now() + copy_wait_timeout;
    const auto is_behind = [&]
    {
        return m_state.ownership_version < required.ownership ||
               (m_state.routes ? m_state.routes->version : 0) < required.routes;
    };
    while (is_behind() && boot_clock::now() < until)
        co_await pause(copy_poll_interval);
    const auto now = boot_clock::now();
    if (!m_cached_copy || now - m_cached_at > copy_reuse_time)
    {
        m_cached_copy = std::make_shared<const state_copy>(m_state.make_copy(now));
        m_cached_at = now;
    }
    m_world.answer(m_index, from,
                   [to, copy = m_cached_copy]
                   {
                       if (const auto slot = to.lock())
                           slot->set(copy);
                   });
}

asio::awaitable<bool> model_process::fetch_copy(std::string address, copy_versions required)
{
    if (address.empty() || address == m_state.self.address || m_fetching)
        co_return false;
    m_fetching = true;
    const auto slot = std::make_shared<copy_slot>(m_context->get_executor());
    const std::weak_ptr<copy_slot> weak = slot;
    m_world.call(m_index, address,
                 [required, from = m_index, weak](model_process& to)
                 { to.serve_copy(required, from, weak); });
    const auto copy = co_await slot->wait(boot_clock::now() + copy_timeout);
    m_fetching = false;
    if (!copy)
        co_return false;
    m_state.merge_copy(**copy, boot_clock::now());
    co_return true;
}

asio::awaitable<void> model_process::pause(boot_clock::duration time)
{
    boot_timer timer(m_context->get_executor(), time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<http_exchange> model_process::call_worker(worker_entry worker, http_call call,
                                                          exchange_options options)
{
    constexpr double refused_part = 0.5; // otherwise the VM has gone, and nothing answers
    http_exchange result;
    auto& fleet = m_world.fleet();
    auto& random = m_world.random();
    const auto until = options.until;
    const auto life = fleet.at_address(worker.address);
    const bool is_cut = life && m_world.is_cut_from_worker(m_index, fleet.life(*life).worker);
    if (!life || is_cut)
    {
        const bool is_refused = !is_cut && random.is(refused_part);
        const auto left = std::max<boot_clock::duration>(millis(1), until - boot_clock::now());
        co_await pause(is_refused ? millis(1)
                                  : std::min<boot_clock::duration>(connect_timeout, left));
        result.refused = is_refused;
        co_return result;
    }
    if (const auto time = m_world.draw_connect_time(); time.count() > 0)
        co_await pause(time);
    if (!fleet.is_up(*life) || m_world.is_cut_from_worker(m_index, fleet.life(*life).worker) ||
        boot_clock::now() >= until || (options.may_write && !options.may_write()))
    {
        result.cancelled = true;
        co_return result;
    }
    result.result = exchange_result::lost;
    using reply_to = reply_slot<http_reply>;
    const auto slot = std::make_shared<reply_to>(m_context->get_executor());
    const std::weak_ptr<reply_to> weak = slot;
    call_sender sender;
    sender.process = m_index;
    sender.name = m_name;
    fleet.deliver(sender, *life, call,
                  [weak](http_reply reply)
                  {
                      if (const auto to = weak.lock())
                          to->set(std::move(reply));
                  });
    auto reply = co_await slot->wait(until);
    if (reply)
    {
        result.result = exchange_result::complete;
        result.reply = std::move(*reply);
    }
    co_return result;
}

} // namespace eelgrassrail::test
