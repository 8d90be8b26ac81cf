/// The loop, the network and the demand of the ownership model.
#include "model_world.hpp"

#include "model_clock.hpp"
#include <eelgrassrail/peers/codec.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrassrail::test
{
namespace
{

/// Time of the virtual clock at the start of a run; long after zero, which means `never`.
constexpr instant start_of_run{std::chrono::seconds(1'000)};

/// Rule OWNER: grants do not count that arrive this long after their sender was thawed or a link
/// healed.
constexpr millis thaw_time{300};

constexpr std::size_t zones = 3;
constexpr std::size_t max_small_run = 24; ///< processes that all have a fast poll

bool is_kept(const std::string& text)
{
    constexpr std::array<std::string_view, 8> kept{
        "claimed", "claim failed", "coordinator role", "moves dropped",
        "moved",   "not moved",    "grant refused",    "coordinator on record"};
    return std::ranges::any_of(kept,
                               [&](std::string_view start) { return text.starts_with(start); });
}

/// Time after the end of all faults until the views are checked. A claim, the deferral of removals
/// and a copy fit into it.
constexpr millis settle_time{12'000};

/// The first and last key that a line names; all keys if it names none.
std::pair<std::uint32_t, std::uint32_t> keys_of(const std::string& text)
{
    constexpr std::string_view name = "keys=";
    const auto at = text.find(name);
    std::pair<std::uint32_t, std::uint32_t> result{0, ~0U};
    if (at == std::string::npos)
        return result;
    const auto* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data() + at + name.size(), end, result.first);
    std::from_chars(first.ptr + 1, end, result.second);
    return result;
}

} // namespace

model_world::model_world(const model_settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_store(m_events, m_random, m_journal, m_conditions)
    , m_fleet(m_events, m_random, m_journal, m_conditions,
              {[this](std::size_t process, std::size_t worker)
               { return is_excused(process, worker); },
               [this](const worker_entry& entry, bool is_listed)
               {
                   m_changed[entry.life.id] = model_now();
                   m_journal.add_line(entry.life.id + (is_listed ? " listed" : " not listed"));
                   m_store.put(platform_stream::workers, entry.life.id,
                               is_listed ? write_message(entry) : std::string());
               },
               [this](const std::string& text) { m_violations.push_back(text); },
               [this](std::uint64_t token, instant written_at)
               { return m_store.explain(token, written_at); }})
{
    constexpr std::array sizes{0.1, 0.25, 0.5, 1.0};
    model_now() = start_of_run;
    model_log() = [this](log_part part, const std::string& text)
    {
        if (part == log_part::ownership)
            take_log_line(text);
    };
    m_fleet.resize(settings.workers);
    for (std::size_t n = 0; n < settings.workers; ++n)
        m_fleet.start(n);
    for (std::size_t n = 0; n < settings.processes; ++n)
    {
        place next;
        next.where.index = n;
        next.where.address = "p" + std::to_string(n);
        next.where.zone = "z" + std::to_string(n % zones);
        next.where.processor = sizes.at(m_random.below(sizes.size()));
        m_addresses[next.where.address] = n;
        m_places.push_back(std::move(next));
    }
    constexpr double start_spread_ms = 1'500.0;
    for (std::size_t n = 0; n < settings.processes; ++n)
        m_events.after(m_random.ms(1, start_spread_ms), [this, n] { start(n, true); });
    move_hot_keys();
}

model_world::~model_world()
{
    model_log() = {};
}

void model_world::run()
{
    run_for(m_settings.time);
    if (m_violations.size() >= m_settings.max_violations)
        return;
    const auto has_lost_claims = m_conditions.has_lost_claims;
    m_conditions = {};
    m_conditions.has_lost_claims = has_lost_claims;
    m_cuts = {};
    for (auto& it : m_places)
        it.frozen_until = it.slow_until = {};
    run_for(settle_time + settle_time / 2);
    check_views();
}

/// No process uses a worker that was removed, or misses one that is listed.
void model_world::check_views()
{
    const auto before = model_now() - settle_time;
    for (const auto& it : m_places)
    {
        if (!it.process || it.started > before || it.frozen_until > before ||
            it.slow_until > before || !it.process->state().can_serve())
            continue;
        for (const auto& [id, changed] : m_changed)
        {
            const auto* known = it.process->state().workers.find(id);
            const bool is_listed = known != nullptr && known->is_listed;
            if (changed < before && is_listed != m_store.is_listed(id))
                m_violations.push_back("VIEW of " + it.process->name() + ": " + id +
                                       (is_listed ? " is listed, but was removed at "
                                                  : " is missing, but was listed at ") +
                                       time_text(changed) + "\n");
        }
    }
}

void model_world::run_for(boot_clock::duration time)
{
    const auto end = model_now() + time;
    while (model_now() < end && m_violations.size() < m_settings.max_violations)
    {
        m_events.run_until(model_now() + m_settings.step);
        poll_all();
    }
}

void model_world::poll_all()
{
    constexpr double min_slow_ms = 100.0;
    constexpr double max_slow_ms = 600.0;
    const auto now = model_now();
    const auto shift = m_random.below(m_places.size());
    for (std::size_t n = 0; n < m_places.size(); ++n)
    {
        auto& it = m_places[(n + shift) % m_places.size()];
        if (!it.process || now < it.next_poll || now < it.frozen_until)
            continue;
        if (now < it.slow_until)
            it.next_poll = now + m_random.ms(min_slow_ms, max_slow_ms);
        m_polled = it.where.index;
        it.process->poll();
    }
}

void model_world::take_log_line(const std::string& text)
{
    if (!is_kept(text))
        return;
    m_moves += text.starts_with("moved") ? 1 : 0;
    const auto& from = m_places[m_polled].process;
    if (!from || (text.starts_with("coordinator on record") && m_places.size() > max_small_run &&
                  !from->is_active()))
        return;
    const auto [first, last] = keys_of(text);
    m_journal.add_line(from->name() + ": " + text, first, last);
}

bool model_world::is_excused(std::size_t process, std::size_t worker) const
{
    const auto now = model_now();
    const auto& it = m_places[process];
    return (now >= it.frozen_until && now < it.frozen_until + thaw_time) ||
           m_cuts.has_just_healed(process, link_cuts::worker(worker), now, thaw_time);
}

std::optional<std::size_t> model_world::coordinator() const
{
    const auto it = std::ranges::find_if(m_places, [](const place& at)
                                         { return at.process && at.process->is_active(); });
    if (it == m_places.end())
        return std::nullopt;
    return it->where.index;
}

void model_world::start(std::size_t process, bool is_first_start)
{
    auto& it = m_places[process];
    if (it.process)
        return;
    it.where.is_first_start = is_first_start;
    it.frozen_until = {};
    it.slow_until = {};
    it.next_poll = {};
    it.started = model_now();
    m_polled = process;
    it.process = std::make_unique<model_process>(it.where, *this);
    it.process->start();
    ++m_starts;
    if (!is_first_start)
        m_journal.add_line(it.process->name() + " starts");
}

void model_world::kill(std::size_t process)
{
    auto& it = m_places[process];
    if (!it.process)
        return;
    m_journal.add_line(it.process->name() + " is killed" +
                       (it.process->is_active() ? " (coordinator)" : ""));
    it.process.reset();
}

void model_world::stop(std::size_t process, boot_clock::duration restart_after)
{
    auto& it = m_places[process];
    if (!it.process)
        return;
    m_journal.add_line(it.process->name() + " begins to stop" +
                       (it.process->is_active() ? " (coordinator)" : ""));
    constexpr millis latest_restart{12'000}; // if it is killed meanwhile
    m_events.after(latest_restart, [this, process] { start(process); });
    it.process->begin_stop(
        [this, process, restart_after, ended = it.process.get()]
        {
            m_events.after(boot_clock::duration(1),
                           [this, process, ended]
                           {
                               if (m_places[process].process.get() == ended)
                                   kill(process);
                           });
            m_events.after(restart_after, [this, process] { start(process); });
        });
}

void model_world::freeze(std::size_t process, boot_clock::duration time)
{
    auto& it = m_places[process];
    if (!it.process)
        return;
    it.frozen_until = std::max(it.frozen_until, model_now() + time);
    m_journal.add_line(it.process->name() + " freezes until " + time_text(it.frozen_until) +
                       (it.process->is_active() ? " (coordinator)" : ""));
}

void model_world::slow_down(std::size_t process, boot_clock::duration time)
{
    auto& it = m_places[process];
    if (!it.process)
        return;
    it.slow_until = std::max(it.slow_until, model_now() + time);
    m_journal.add_line(it.process->name() + " is slow until " + time_text(it.slow_until));
}

void model_world::send(std::size_t from, const std::string& to,
                       std::function<void(model_process&)> message)
{
    if (!m_random.is(m_conditions.lost_datagrams))
        call(from, to, std::move(message));
}

void model_world::call(std::size_t from, const std::string& to,
                       std::function<void(model_process&)> message)
{
    constexpr double late_part = 0.01;
    constexpr double max_late_ms = 300.0;
    constexpr double max_usual_ms = 4.0;
    const auto target = m_addresses.find(to);
    if (target == m_addresses.end() || m_cuts.is_cut(from, target->second, model_now()))
        return;
    const auto way = m_random.is(late_part) ? m_random.ms(max_usual_ms, max_late_ms)
                                            : m_random.ms(0.2, max_usual_ms);
    m_events.after(way,
                   [this, at = target->second, message = std::move(message)]() mutable
                   {
                       if (auto& process = m_places[at].process)
                           process->post(std::move(message));
                   });
}

void model_world::answer(std::size_t from, std::size_t to, std::function<void()> message)
{
    constexpr double max_usual_ms = 10.0;
    if (!m_cuts.is_cut(from, to, model_now()))
        m_events.after(m_random.ms(0.5, max_usual_ms), std::move(message));
}

bool model_world::is_cut_from_worker(std::size_t process, std::size_t worker) const
{
    return m_cuts.is_cut(process, link_cuts::worker(worker), model_now());
}

boot_clock::duration model_world::draw_connect_time()
{
    constexpr double reused_part = 0.7;
    constexpr double max_usual_ms = 3.0;
    constexpr double max_ms = 295.0;
    if (m_random.is(reused_part))
        return {};
    return m_random.is(m_conditions.slow_worker_calls) ? m_random.ms(max_usual_ms, max_ms)
                                                       : m_random.ms(0.5, max_usual_ms);
}

void model_world::move_hot_keys()
{
    constexpr double min_ms = 1'000.0;
    constexpr double max_ms = 4'000.0;
    constexpr std::uint32_t max_size = 6'000;
    m_hot_size = static_cast<std::uint32_t>(1 + m_random.below(max_size));
    m_hot_first = static_cast<std::uint32_t>(m_random.below(key_count - m_hot_size));
    m_events.after(m_random.ms(min_ms, max_ms), [this] { move_hot_keys(); });
}

void model_world::add_demand(entry_report& report, instant since)
{
    constexpr double rate_of_worker = 14.0; // requests per second; full at 18
    constexpr double hot_part = 0.5;
    constexpr double max_s = 2.0;
    constexpr double run_ms = 200.0;
    const double time_s =
        std::min(max_s, std::chrono::duration<double>(model_now() - since).count());
    const double wanted = time_s * rate_of_worker * static_cast<double>(m_settings.workers) /
                          static_cast<double>(m_settings.processes);
    auto count = static_cast<std::size_t>(wanted);
    count += m_random.is(wanted - static_cast<double>(count)) ? 1 : 0;
    if (count == 0)
        return;
    key_sample sample;
    sample.service = model_service;
    for (std::size_t n = 0; n < count; ++n)
        sample.keys.push_back(static_cast<std::uint16_t>(
            m_random.is(hot_part) ? m_hot_first + m_random.below(m_hot_size)
                                  : m_random.below(key_count)));
    report.keys.push_back(std::move(sample));
    worker_report worker;
    const auto index = m_random.below(m_settings.workers);
    worker.id = "w" + std::to_string(index);
    worker.answers = static_cast<std::uint32_t>(count);
    worker.in_flight = static_cast<std::uint32_t>(m_random.below(3));
    constexpr std::size_t speeds = 3;
    worker.times_ms.assign(count, static_cast<std::uint16_t>(
                                      run_ms * (1.0 + 0.5 * static_cast<double>(index % speeds)) *
                                      m_random.between(0.5, 1.5)));
    report.workers.push_back(std::move(worker));
}

model_counts model_world::counts() const
{
    model_counts result;
    result.claims = m_store.claims();
    result.appends = m_store.appends();
    result.moves = m_moves;
    result.starts = m_starts;
    result.low_life_tokens = m_fleet.count_of(violation_kind::low_life_token);
    result.gaps = m_fleet.holds().gaps(model_now());
    return result;
}

} // namespace eelgrassrail::test
