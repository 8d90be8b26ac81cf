/// Lives of workers, and their answers to grants and releases.
#include "worker_fleet.hpp"

#include "model_clock.hpp"

#include <algorithm>
#include <span>
#include <sstream>

namespace eelgrassrail::test
{
namespace
{

/// Work that runs on released keys. It is long, so that many moves are in progress at any time.
constexpr double running_part = 0.8;
constexpr double long_part = 0.1;
constexpr double long_work_ms = 5'000.0;
constexpr double work_ms = 1'500.0;

/// A grant that is held up arrives at most this long after it was written.
constexpr double max_arrival_ms = 495.0;

/// The entry of a worker that has ended lapses after this time.
constexpr double min_lapse_ms = 2'000.0;
constexpr double max_lapse_ms = 5'000.0;

/// A grant that arrives later than this after it was written is late: the router takes it for lost.
constexpr millis latest_arrival{500};

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_other_worker = 421;

http_call encode(const char* target, const key_grant& grant)
{
    http_call call;
    call.method = "POST";
    call.target = target;
    call.body = std::to_string(grant.first) + " " + std::to_string(grant.last) + " " +
                std::to_string(grant.fence) + " " + std::to_string(grant.lease_duration.count());
    return call;
}

} // namespace

worker_fleet::worker_fleet(event_queue& events, chance& random, event_journal& journal,
                           model_conditions& conditions, links known)
    : m_events(events)
    , m_random(random)
    , m_journal(journal)
    , m_conditions(conditions)
    , m_links(std::move(known))
    , m_holds({[this](std::size_t life) { return m_lives[life].ended_at; },
               [this](std::size_t a, std::size_t b)
               { return m_lives[a].worker == m_lives[b].worker; }})
{
}

wire_format worker_fleet::format()
{
    wire_format result;
    result.expected_worker = "Worker";
    result.handover = "Handover";
    result.grant = [](const key_grant& grant) { return encode("/grant", grant); };
    result.release = [](const key_grant& grant) { return encode("/release", grant); };
    return result;
}

worker_fleet::parsed_call worker_fleet::parse(const http_call& call)
{
    parsed_call result;
    result.is_release = call.target == "/release";
    std::istringstream in(call.body);
    std::int64_t lease_ms = 0;
    in >> result.grant.first >> result.grant.last >> result.grant.fence >> lease_ms;
    result.grant.lease_duration = millis(lease_ms);
    result.expected_worker = find_field(call.fields, "Worker").value_or("");
    return result;
}

std::string worker_fleet::own_address(std::size_t worker)
{
    constexpr std::size_t ips = 250;
    return "10.1." + std::to_string(worker / ips) + "." + std::to_string(worker % ips) + ":80";
}

std::string worker_fleet::name(life_number number) const
{
    const auto& entry = m_lives[number].entry;
    return entry.life.id + "/" + std::to_string(number);
}

std::optional<worker_fleet::life_number> worker_fleet::running(std::size_t worker) const
{
    return m_running[worker];
}

std::optional<worker_fleet::life_number> worker_fleet::at_address(const std::string& address) const
{
    const auto it = std::ranges::find_if(
        m_running, [&](const auto& number)
        { return number.has_value() && m_lives[*number].entry.address == address; });
    return it == m_running.end() ? std::nullopt : *it;
}

worker_fleet::life_number worker_fleet::start(std::size_t worker, const std::string& address)
{
    constexpr std::size_t zones = 3;
    constexpr double max_slowness = 0.02;
    constexpr std::uint32_t slots = 4;
    worker_life next;
    next.worker = worker;
    next.entry.life = {"w" + std::to_string(worker), unix_ms()};
    next.entry.service = model_service;
    next.entry.address = address.empty() ? own_address(worker) : address;
    if (at_address(next.entry.address))
        next.entry.address = own_address(m_running.size() + m_lives.size());
    next.entry.zone = "z" + std::to_string(worker % zones);
    next.entry.slots = slots;
    next.slowness = m_random.is(0.5) ? max_slowness : m_random.between(0, max_slowness);
    next.tokens.resize(key_count);
    m_lives.push_back(std::move(next));
    const auto number = m_lives.size() - 1;
    m_running[worker] = number;
    m_journal.add_line(name(number) + " starts at " + m_lives[number].entry.address);
    m_links.publish(m_lives[number].entry, true);
    return number;
}

void worker_fleet::end(std::size_t worker)
{
    const auto number = m_running[worker];
    if (!number)
        return;
    auto& ended = m_lives[*number];
    ended.ended_at = model_now();
    ended.tokens = {};
    m_running[worker].reset();
    m_journal.add_line(name(*number) + " ends");
    m_events.after(m_random.ms(min_lapse_ms, max_lapse_ms),
                   [this, worker, entry = ended.entry]
                   {
                       if (!m_running[worker])
                           m_links.publish(entry, false);
                   });
}

void worker_fleet::list(std::size_t worker)
{
    if (const auto number = m_running[worker])
        m_links.publish(m_lives[*number].entry, true);
}

void worker_fleet::unlist(std::size_t worker)
{
    if (const auto number = m_running[worker])
        m_links.publish(m_lives[*number].entry, false);
}

void worker_fleet::leave(std::size_t worker)
{
    const auto number = m_running[worker];
    if (!number)
        return;
    m_lives[*number].entry.is_leaving = true;
    m_links.publish(m_lives[*number].entry, true);
}

void worker_fleet::deliver(const call_sender& sender, life_number to, const http_call& call,
                           std::function<void(http_reply)> on_reply)
{
    constexpr double max_usual_ms = 4.0;
    constexpr double min_late_ms = 500.0;
    constexpr double max_late_ms = 5'000.0;
    auto parsed = parse(call);
    const auto written_at = model_now();
    auto way = m_random.is(m_conditions.slow_worker_calls)
                   ? m_random.ms(max_usual_ms, max_arrival_ms)
                   : m_random.ms(0.3, max_usual_ms);
    if (m_random.is(m_conditions.late_grants))
        way = m_random.ms(min_late_ms, max_late_ms);
    const auto back = m_random.is(m_conditions.slow_worker_calls)
                          ? m_random.ms(max_usual_ms, 2 * max_arrival_ms)
                          : m_random.ms(0.3, max_usual_ms);
    m_events.after(way,
                   [this, sender, to, parsed = std::move(parsed), written_at, back,
                    reply_to = std::move(on_reply)]
                   {
                       if (!is_up(to))
                           return;
                       const auto result = handle(sender, to, parsed, written_at);
                       m_events.at(result.reply_at + back,
                                   [reply_to, status = result.status]
                                   {
                                       http_reply reply;
                                       reply.status = status;
                                       reply_to(std::move(reply));
                                   });
                   });
}

worker_fleet::handled_call worker_fleet::handle(const call_sender& sender, life_number to,
                                                const parsed_call& call, instant written_at)
{
    worker_event event;
    event.at = model_now();
    event.life = to;
    event.is_release = call.is_release;
    event.first = call.grant.first;
    event.last = call.grant.last;
    event.fence = call.grant.fence;
    event.process = sender.process;
    event.sender = sender.name;
    event.written_at = written_at;
    event.until = event.at;
    event.is_excused = m_links.is_excused(sender.process, m_lives[to].worker);
    if (call.expected_worker != m_lives[to].entry.life.id)
    {
        event.status = status_other_worker;
        m_journal.add(event);
        handled_call refused{status_other_worker, event.at};
        return refused;
    }
    return call.is_release ? take_release(std::move(event), call)
                           : take_grant(std::move(event), call);
}

worker_fleet::handled_call worker_fleet::take_grant(worker_event event, const parsed_call& call)
{
    auto& taker = m_lives[event.life];
    const auto seen = std::span(taker.tokens).subspan(event.first, event.last - event.first + 1);
    const bool is_refused =
        std::ranges::any_of(seen, [&](std::uint64_t token) { return token > event.fence; });
    event.status = is_refused ? status_conflict : status_ok;
    if (is_refused)
    {
        m_journal.add(event);
        return {event.status, event.at};
    }
    std::ranges::fill(seen, event.fence);
    const auto lease = std::chrono::duration_cast<boot_clock::duration>(call.grant.lease_duration *
                                                                        (1.0 + taker.slowness));
    event.until = event.at + lease;
    m_journal.add(event);
    const auto broken =
        m_holds.take({event.life, event.first, event.last, event.fence, event.until,
                      event.is_excused, event.at - event.written_at > latest_arrival},
                     event.at);
    for (const auto& violation : broken)
        report(violation, event);
    return {event.status, event.at};
}

worker_fleet::handled_call worker_fleet::take_release(worker_event event, const parsed_call&)
{
    auto& owner = m_lives[event.life];
    event.status = status_ok;
    for (auto& token : std::span(owner.tokens).subspan(event.first, event.last - event.first + 1))
        token = std::max(token, event.fence);
    const auto work = !m_random.is(running_part) ? boot_clock::duration(0)
                      : m_random.is(long_part)   ? m_random.ms(work_ms, long_work_ms)
                                                 : m_random.ms(0, work_ms);
    if (m_holds.release(event.life, event.first, event.last, event.at, event.at + work))
        event.until = std::max(event.at, m_holds.held_until(event.life, event.first, event.last));
    m_journal.add(event);
    return {event.status, event.until};
}

void worker_fleet::report(const key_violation& violation, const worker_event& event)
{
    ++m_violations.at(static_cast<std::size_t>(violation.kind));
    if (violation.kind == violation_kind::low_life_token)
        return;
    const auto involves = [&](std::size_t life)
    {
        return m_lives[life].worker == m_lives[violation.taker].worker ||
               m_lives[life].worker == m_lives[violation.holder].worker;
    };
    std::string text = std::string("VIOLATION ") + describe(violation.kind) + " at " +
                       time_text(event.at) + " key=" + std::to_string(violation.key) +
                       " taker=" + name(violation.taker) + " other=" + name(violation.holder) +
                       " token=" + version_text(event.fence) + " sender=" + event.sender +
                       (violation.is_late ? " late-delivery" : "") +
                       " cause=" + m_links.explain(event.fence, event.written_at) + "\n";
    for (const auto& line :
         m_journal.lines(violation.key, involves, [this](std::size_t it) { return name(it); }))
        text += "    " + line + "\n";
    m_links.on_violation(text);
}

} // namespace eelgrassrail::test
