/// Events of the simulation: ticks, reads, appends, messages.
#include "ownership_world.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace eelgrassrail::fakes
{
namespace
{

constexpr std::size_t process_count = 4;
constexpr millis step{10};
constexpr millis tick_interval{20};
constexpr millis poll_interval{60};
constexpr std::uint32_t lease_ms = 500;
constexpr std::uint32_t grace_ms = 2'500;
const std::string zone = "zone-a";

service_spec make_service()
{
    service_spec spec;
    spec.name = "orders";
    spec.keyed = true;
    spec.slices = slice_count;
    spec.slots = 1;
    spec.connections = 1;
    spec.lease_ms = lease_ms;
    spec.isolation_grace_ms = grace_ms;
    spec.trust_vm_list = true;
    spec.classes = {{"any", 1, true, 100, 100, 10}};
    // More workers than fit into one pool, so that the zone has two pools.
    for (std::size_t n = 0; n < max_pool_workers + 4; ++n)
        spec.workers.push_back({"w" + std::to_string(n), zone, "127.0.0.1:1", 1});
    return spec;
}

/// The isolation timeout is shorter than the default, so that isolation claims are frequent.
agent_timing make_timing()
{
    agent_timing timing;
    timing.isolation_timeout = millis(3'000);
    return timing;
}

std::string names(const std::vector<process_id>& processes)
{
    std::string result;
    for (const auto& process : processes)
        result += " " + process.vm;
    return result;
}

/// Description of a record for the trace.
std::string summary(const std::string& text)
{
    const auto record = decode_record(text);
    const auto head = record.id + " ";
    if (const auto* body = std::get_if<claim>(&record.body))
        return head + "claim " + to_text(body->pool) + " ends " + std::to_string(body->ends) +
               " by " + body->claimer.vm + " standbys" + names(body->standbys);
    if (const auto* body = std::get_if<appointment>(&record.body))
        return head + "appointment " + to_text(body->pool) + " epoch " +
               std::to_string(body->epoch) + " standbys" + names(body->standbys);
    if (const auto* body = std::get_if<resumption>(&record.body))
        return head + "resumption " + to_text(body->pool) + " " + std::to_string(body->number);
    if (const auto* body = std::get_if<slice_release>(&record.body))
        return head + "release " + to_text(body->pool) + " as of " + std::to_string(body->as_of);
    if (const auto* body = std::get_if<activation>(&record.body))
        return head + "activation " + to_text(body->pool) + " " + std::to_string(body->epoch);
    return head + (std::holds_alternative<ticket>(record.body) ? "ticket" : "snapshot or handover");
}

} // namespace

ownership_world::ownership_world(std::uint64_t seed, world_faults faults)
    : m_faults(faults)
    , m_random(seed)
    , m_services{0, "operator", "a change", {make_service()}, {}}
{
    m_now += std::chrono::seconds(100);
    m_services.services[0].trust_vm_list = chance(50);
    for (std::size_t n = 0; n < process_count; ++n)
    {
        m_processes.push_back(std::make_unique<world_process>());
        m_processes[n]->vm = "vm" + std::to_string(m_vms++);
        start(n);
    }
    update_vm_lists();
    publish(m_services, 0);
}

millis ownership_world::random_delay(int low, int high)
{
    return millis(std::uniform_int_distribution<int>(low, high)(m_random));
}

bool ownership_world::chance(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
}

void ownership_world::note(const std::string& text)
{
    const auto ms = std::chrono::duration_cast<millis>(m_now.time_since_epoch()).count();
    m_trace += std::to_string(ms) + " " + text + "\n";
}

void ownership_world::schedule(millis delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_order++, std::move(run)});
}

/// Schedules an action of a process. A paused process runs it when it resumes, a crashed one never.
void ownership_world::schedule_for(std::size_t n, std::uint64_t incarnation, millis delay,
                                   std::function<void()> run)
{
    schedule(delay,
             [this, n, incarnation, run = std::move(run)]
             {
                 auto& process = *m_processes[n];
                 if (process.crashed || process.incarnation != incarnation)
                     return;
                 if (!process.paused_until)
                     return run();
                 const auto left = *process.paused_until - m_now;
                 schedule_for(n, incarnation, std::chrono::duration_cast<millis>(left) + millis(1),
                              run);
             });
}

instant ownership_world::local_now(const world_process& process) const
{
    const auto scaled = static_cast<double>(m_now.time_since_epoch().count()) * process.rate;
    return instant(boot_clock::duration(static_cast<boot_clock::rep>(scaled)) + process.offset);
}

bool ownership_world::is_up(const world_process& process) const
{
    return !process.crashed && !process.paused_until;
}

bool ownership_world::is_cut(const world_process& from, const std::string& to) const
{
    if (from.cut_from.contains(to))
        return true;
    const auto it =
        std::ranges::find_if(m_processes, [&](const auto& other) { return other->vm == to; });
    return it != m_processes.end() && (*it)->cut_from.contains(from.vm);
}

void ownership_world::start(std::size_t n)
{
    auto& process = *m_processes[n];
    process.incarnation = ++m_incarnations;
    process.crashed = false;
    process.is_reading = false;
    process.checked = 0;
    process.paused_until.reset();
    std::uniform_real_distribution<double> drift(-m_faults.drift, m_faults.drift);
    process.rate = 1.0 + drift(m_random);
    process.offset = random_delay(0, 100'000);
    process.agent = std::make_unique<ownership_agent>(
        process_id{process.vm, process.incarnation, zone, "127.0.0.1:" + process.vm},
        make_timing());
    const auto incarnation = process.incarnation;
    schedule_for(n, incarnation, random_delay(1, 20), [this, n] { tick(n); });
    schedule_for(n, incarnation, random_delay(1, 60), [this, n] { read(n); });
}

void ownership_world::tick(std::size_t n)
{
    auto& process = *m_processes[n];
    const auto now = local_now(process);
    process.agent->tick(now);
    // There is no data plane to drain: moved slices are released at one of the next ticks.
    for (const auto& entry : process.agent->held())
    {
        const auto& id = entry.first;
        const auto* service = find_service(process.agent->state(), id.service);
        const bool has_moved = std::ranges::find(service->pending, id.index,
                                                 &pending_slice::from) != service->pending.end();
        if (has_moved && process.agent->has_valid_lease(id, now) && chance(30))
            process.agent->release_slices(id, process.agent->state().next, now);
    }
    for (const auto& pool : process.agent->state().pools)
        if (pool.holder && pool.holder->vm != process.vm)
        {
            const auto it = std::ranges::find_if(m_processes, [&](const auto& other)
                                                 { return other->vm == pool.holder->vm; });
            const bool reached = it != m_processes.end() && is_up(**it) &&
                                 (*it)->incarnation == pool.holder->incarnation &&
                                 !is_cut(process, (*it)->vm);
            process.agent->on_holder_contact(pool.id, reached, now);
        }
    flush(n);
    schedule_for(n, process.incarnation, tick_interval, [this, n] { tick(n); });
}

void ownership_world::read(std::size_t n)
{
    auto& process = *m_processes[n];
    const auto incarnation = process.incarnation;
    schedule_for(n, incarnation, poll_interval + random_delay(0, 20), [this, n] { read(n); });
    if (process.is_reading || m_log_down || process.cut_from.contains("log"))
        return;
    process.is_reading = true;
    const auto sent = local_now(process);
    const auto from = process.agent->state().next;
    // Request and response are delayed; the log answers immediately.
    schedule(random_delay(1, 30),
             [this, n, incarnation, sent, from]
             {
                 if (m_log_down)
                 {
                     m_processes[n]->is_reading = false;
                     return;
                 }
                 log_page page{m_start, std::max(from, m_start), log_size(), {}};
                 for (auto offset = page.first; offset < page.head; ++offset)
                     page.records.push_back(m_log[offset - m_start]);
                 schedule_for(n, incarnation, random_delay(1, 30),
                              [this, n, page, sent] { finish_read(n, page, sent); });
             });
}

void ownership_world::finish_read(std::size_t n, const log_page& page, instant sent)
{
    auto& process = *m_processes[n];
    process.is_reading = false;
    auto& agent = *process.agent;
    agent.on_vm_list(m_listed, local_now(process));
    if (!agent.on_log_page(page, sent, local_now(process)))
    {
        // Records are missing: install the newest usable snapshot or a newer state of a reachable
        // peer.
        std::optional<deployment_state> best;
        for (const auto& text : page.records)
            if (const auto record = decode_record(text);
                const auto* found = std::get_if<snapshot>(&record.body))
                if (found->as_of >= page.start)
                    best = read_snapshot(*found);
        for (const auto& other : m_processes)
            if (is_up(*other) && !is_cut(process, other->vm) &&
                (!best || other->agent->state().next > best->next) &&
                other->agent->state().next >= page.start)
                best = other->agent->state();
        if (best)
            agent.install(*best, local_now(process));
    }
    flush(n);
}

void ownership_world::flush(std::size_t n)
{
    auto& agent = *m_processes[n]->agent;
    const auto orders = agent.take_outputs();
    for (const auto& message : orders.messages)
        send(n, message);
    for (const auto& order : orders.appends)
        append(n, order);
    for (const auto& order : orders.syncs)
        schedule_for(n, m_processes[n]->incarnation, random_delay(2, 40),
                     [this, n, order]
                     {
                         auto& process = *m_processes[n];
                         const bool reached = !is_cut(process, order.candidate.vm);
                         process.agent->on_synced(order, reached, local_now(process));
                         flush(n);
                     });
    for (const auto& line : orders.events)
        if (!line.text.starts_with("Refused"))
            note(m_processes[n]->vm + " " + line.text);
}

void ownership_world::send(std::size_t n, const outgoing_message& message)
{
    const auto it = std::ranges::find_if(m_processes, [&](const auto& other)
                                         { return "127.0.0.1:" + other->vm == message.address; });
    if (it == m_processes.end() || is_cut(*m_processes[n], (*it)->vm) || chance(2))
        return;
    const auto target = static_cast<std::size_t>(it - m_processes.begin());
    schedule_for(target, (*it)->incarnation, random_delay(1, chance(5) ? 300 : 15),
                 [this, target, body = message.body]
                 {
                     auto& process = *m_processes[target];
                     if (const auto* reply = std::get_if<relinquish_reply>(&body))
                         note(process.vm + " has the relinquishment " +
                              std::to_string(reply->number) + " of " + reply->from.vm + " for " +
                              to_text(reply->pool));
                     process.agent->on_message(body, local_now(process));
                     flush(target);
                 });
}

void ownership_world::write_to_log(const std::string& text)
{
    note("log " + std::to_string(log_size()) + ": " + summary(text));
    m_log.push_back(text);
}

void ownership_world::append(std::size_t n, const append_request& order)
{
    auto& process = *m_processes[n];
    if (m_log_down || process.cut_from.contains("log"))
    {
        process.agent->on_append_result(order.id, append_result::not_sent, local_now(process));
        return;
    }
    const bool is_late = m_faults.late_appends && chance(5);
    const bool is_lost = m_lose_replies || (m_faults.lost_replies && chance(5));
    const auto incarnation = process.incarnation;
    // An append in transit is written even if its sender crashes; an outage may lose it.
    const std::function<void()> arrive = [this, n, incarnation, order, is_lost]
    {
        if (m_log_down && chance(50))
            return; // lost in the outage
        write_to_log(order.text);
        schedule_for(n, incarnation, random_delay(1, 30),
                     [this, n, order, is_lost]
                     {
                         auto& sender = *m_processes[n];
                         sender.agent->on_append_result(order.id,
                                                        is_lost ? append_result::unknown
                                                                : append_result::acknowledged,
                                                        local_now(sender));
                     });
    };
    schedule(is_late ? random_delay(500, 4'000) : random_delay(1, 30), arrive);
}

void ownership_world::publish(ticket value, ticket_number base)
{
    value.base = base;
    log_record record;
    record.id = "t" + std::to_string(++m_tickets);
    record.body = std::move(value);
    schedule(random_delay(1, 20), [this, text = encode(record)] { write_to_log(text); });
}

void ownership_world::update_vm_lists()
{
    std::vector<listed_vm> vms;
    for (const auto& process : m_processes)
        if (!process->crashed)
            vms.push_back({process->vm, zone, "127.0.0.1:" + process->vm, false});
    schedule(random_delay(200, 2'000), [this, vms] { m_listed = vms; });
}

void ownership_world::advance(millis length)
{
    const auto until = m_now + length;
    while (m_now < until && m_violation.empty())
    {
        const auto next = m_now + step;
        while (!m_events.empty() && m_events.top().at <= next)
        {
            auto run = m_events.top().run;
            m_now = std::max(m_now, m_events.top().at);
            m_events.pop();
            run();
        }
        m_now = next;
        check();
    }
}

} // namespace eelgrassrail::fakes
