/// Kinds of fault and their times.
#include "fault_history.hpp"

#include "model_clock.hpp"
#include <eelgrassrail/peers/codec.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace eelgrassrail::test
{
namespace
{

/// Faults begin when the first keys have been granted.
constexpr millis quiet_start{7'000};

/// At the end no fault begins, so that the last ones show their effects.
constexpr millis quiet_end{14'000};
constexpr int quiet_part = 4; ///< in a short run, a quarter of it

} // namespace

const std::vector<fault_history::kind>& fault_history::table()
{
    static const std::vector<kind> kinds{
        {"kill_process", 2.0,
         [](fault_history& it, chance& random)
         { it.kill_and_restart(it.any_process(random), random.ms(200, 6'000)); }},
        {"kill_coordinator", 3.0,
         [](fault_history& it, chance& random) { it.kill_coordinator(random); }},
        {"restart_twice", 1.5, [](fault_history& it, chance& random) { it.restart_twice(random); }},
        {"strike_claimer", 2.0,
         [](fault_history& it, chance& random) { it.strike_claimer(random); }},
        {"kill_all", 1.0, [](fault_history& it, chance& random) { it.kill_all(random); }},
        {"kill_series", 1.0, [](fault_history& it, chance& random) { it.kill_series(random); }},
        {"stop_coordinator", 1.5,
         [](fault_history& it, chance& random) { it.stop_coordinator(random); }},
        {"stop_process", 1.0,
         [](fault_history& it, chance& random)
         { it.m_world.stop(it.any_process(random), random.ms(200, 4'000)); }},
        {"freeze_coordinator", 1.5,
         [](fault_history& it, chance& random) { it.freeze_coordinator(random); }},
        {"freeze_process", 1.0,
         [](fault_history& it, chance& random)
         { it.m_world.freeze(it.any_process(random), random.ms(300, 12'000)); }},
        {"slow_coordinator", 1.0,
         [](fault_history& it, chance& random) { it.slow_coordinator(random); }},
        {"isolate_coordinator", 1.0,
         [](fault_history& it, chance& random) { it.isolate_coordinator(random); }},
        {"slow_store", 1.5,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 8'000), [](model_conditions& now) { now.slow_calls = 0.7; },
                 [](model_conditions& now) { now.slow_calls = model_conditions().slow_calls; });
         }},
        {"lost_answers", 1.5,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 8'000), [](model_conditions& now) { now.lost_answers = 0.4; },
                 [](model_conditions& now) { now.lost_answers = model_conditions().lost_answers; });
         }},
        {"lost_requests", 1.5,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 8'000), [](model_conditions& now) { now.lost_requests = 0.4; },
                 [](model_conditions& now)
                 { now.lost_requests = model_conditions().lost_requests; });
         }},
        {"late_appends", 1.5,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 8'000), [](model_conditions& now) { now.late_appends = 0.4; },
                 [](model_conditions& now) { now.late_appends = model_conditions().late_appends; });
         }},
        {"refused_calls", 1.0,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 6'000), [](model_conditions& now) { now.refused_calls = 0.6; },
                 [](model_conditions& now)
                 { now.refused_calls = model_conditions().refused_calls; });
         }},
        {"store_outage", 1.0, [](fault_history& it, chance& random) { it.store_outage(random); }},
        {"restore_store", 1.0, [](fault_history& it, chance& random) { it.restore_store(random); }},
        {"cut_store", 1.0, [](fault_history& it, chance& random) { it.cut_store(random); }},
        {"blind_coordinator", 1.5,
         [](fault_history& it, chance& random) { it.blind_coordinator(random); }},
        {"lost_successors", 1.5,
         [](fault_history& it, chance& random) { it.lost_successors(random); }},
        {"compaction", 0.7,
         [](fault_history& it, chance& random)
         { it.m_world.store().compact(1 + random.below(3)); }},
        {"kill_worker", 1.0, [](fault_history& it, chance& random) { it.kill_worker(random); }},
        {"reuse_address", 0.5, [](fault_history& it, chance& random) { it.reuse_address(random); }},
        {"worker_compaction", 1.0,
         [](fault_history& it, chance& random)
         {
             if (random.is(0.5))
                 it.unlist_workers(random);
             it.m_world.events().after(random.ms(0, 600),
                                       [&it] { it.m_world.store().compact_workers(); });
         }},
        {"foreign_entry", 1.0, [](fault_history& it, chance& random) { it.foreign_entry(random); }},
        {"leave_worker", 0.5,
         [](fault_history& it, chance& random)
         { it.m_world.fleet().leave(it.any_worker(random)); }},
        {"unlist_workers", 1.0,
         [](fault_history& it, chance& random) { it.unlist_workers(random); }},
        {"cut_worker", 1.5, [](fault_history& it, chance& random) { it.cut_worker(random); }},
        {"slow_network", 1.0,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 8'000),
                 [](model_conditions& now) { now.slow_worker_calls = 0.5; },
                 [](model_conditions& now)
                 { now.slow_worker_calls = model_conditions().slow_worker_calls; });
         }},
        {"lost_datagrams", 0.7,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 6'000), [](model_conditions& now) { now.lost_datagrams = 0.5; },
                 [](model_conditions& now)
                 { now.lost_datagrams = model_conditions().lost_datagrams; });
         }},
        {"late_grants", 0.5,
         [](fault_history& it, chance& random)
         {
             it.for_a_time(
                 random.ms(1'000, 6'000), [](model_conditions& now) { now.late_grants = 0.1; },
                 [](model_conditions& now) { now.late_grants = 0.0; });
         }},
    };
    return kinds;
}

std::vector<std::string> fault_history::kinds()
{
    std::vector<std::string> result;
    std::ranges::transform(table(), std::back_inserter(result),
                           [](const kind& it) { return std::string(it.name); });
    return result;
}

fault_history::fault_history(const model_settings& settings, model_world& world)
    : m_settings(settings)
    , m_world(world)
    , m_random(settings.seed * 3 + 2)
{
    // Each run plays some of the kinds, so that few faults of a kind are not covered by others.
    chance plan(settings.seed * 3 + 1);
    constexpr double played_part = 0.45;
    std::vector<const kind*> played;
    for (const auto& it : table())
    {
        // Independent of the other kinds, so that a new one leaves the runs without it as they are.
        const bool is_drawn =
            chance(settings.seed ^ std::hash<std::string_view>{}(it.name)).is(played_part);
        const std::string name(it.name);
        const bool is_wanted = settings.only.empty() ? is_drawn && !settings.without.contains(name)
                                                     : settings.only.contains(name);
        if (is_wanted)
            played.push_back(&it);
    }
    const double mean_ms = std::exp(plan.between(std::log(500.0), std::log(5'000.0)));
    m_world.store().on_append(
        [this](const sent_append& sent)
        {
            if (!sent.is_claim || sent.is_executed || m_armed == 0)
                return;
            --m_armed;
            constexpr double call_ms = 900.0;
            const bool is_frozen = m_random.is(0.3);
            m_world.events().after(m_random.ms(0, m_random.is(0.5) ? 10.0 : call_ms),
                                   [this, is_frozen, process = sent.process]
                                   {
                                       if (is_frozen)
                                           m_world.freeze(process, m_random.ms(500, 12'000));
                                       else
                                           kill_and_restart(process, m_random.ms(50, 2'500));
                                   });
        });
    if (played.empty())
        return;
    const double weights =
        std::accumulate(played.begin(), played.end(), 0.0,
                        [](double sum, const kind* it) { return sum + it->weight; });
    const auto end = model_now() + settings.time -
                     std::min<boot_clock::duration>(quiet_end, settings.time / quiet_part);
    for (auto at = model_now() + quiet_start; at < end;
         at += boot_clock::duration(
             static_cast<std::int64_t>(-std::log(1.0 - plan.part()) * mean_ms * 1'000.0)))
    {
        double drawn = plan.between(0, weights);
        const auto it = std::ranges::find_if(played,
                                             [&](const kind* each)
                                             {
                                                 drawn -= each->weight;
                                                 return drawn < 0;
                                             });
        const auto* const chosen = it == played.end() ? played.back() : *it;
        const auto seed = plan.below(1'000'000'000);
        m_world.events().at(at,
                            [this, chosen, seed]
                            {
                                chance random(seed);
                                m_world.journal().add_line("fault " + std::string(chosen->name));
                                chosen->play(*this, random);
                            });
    }
}

void fault_history::restart_after(std::size_t process, boot_clock::duration time)
{
    m_world.events().after(time, [this, process] { m_world.start(process); });
}

void fault_history::kill_and_restart(std::size_t process, boot_clock::duration time)
{
    m_world.kill(process);
    restart_after(process, time);
}

void fault_history::for_a_time(boot_clock::duration time,
                               const std::function<void(model_conditions&)>& begin,
                               const std::function<void(model_conditions&)>& end)
{
    begin(m_world.conditions());
    m_world.events().after(time, [this, end] { end(m_world.conditions()); });
}

std::size_t fault_history::any_process(chance& random) const
{
    return random.below(m_world.process_count());
}

std::size_t fault_history::any_worker(chance& random) const
{
    return random.below(m_world.fleet().count());
}

void fault_history::kill_coordinator(chance& random)
{
    const auto time = random.is(0.5) ? random.ms(20, 900) : random.ms(900, 8'000);
    if (const auto process = m_world.coordinator())
        kill_and_restart(*process, time);
}

/// The process at the coordinator's address ends again soon after it has started.
void fault_history::restart_twice(chance& random)
{
    const auto process = m_world.coordinator();
    if (!process)
        return;
    const auto first = random.ms(20, 1'000);
    const auto second = first + random.ms(20, 3'000);
    kill_and_restart(*process, first);
    m_world.events().after(second, [this, process, time = random.ms(20, 1'500)]
                           { kill_and_restart(*process, time); });
}

/// The next claims are struck in the middle; the coordinator ends, so that there is one.
void fault_history::strike_claimer(chance& random)
{
    m_armed = 1 + random.below(2);
    if (random.is(0.7))
        kill_coordinator(random);
}

void fault_history::kill_all(chance& random)
{
    const double max_ms = random.is(0.5) ? 1'000.0 : 5'000.0;
    for (std::size_t n = 0; n < m_world.process_count(); ++n)
        kill_and_restart(n, random.ms(100, max_ms));
}

void fault_history::kill_series(chance& random)
{
    const double part = random.between(0.3, 1.0);
    const auto step = random.ms(10, 4'000) / static_cast<std::int64_t>(m_world.process_count());
    for (std::size_t n = 0; n < m_world.process_count(); ++n)
        if (random.is(part))
            m_world.events().after(step * static_cast<std::int64_t>(n),
                                   [this, n, time = random.ms(100, 3'000)]
                                   { kill_and_restart(n, time); });
}

void fault_history::stop_coordinator(chance& random)
{
    if (const auto process = m_world.coordinator())
        m_world.stop(*process, random.ms(200, 4'000));
}

void fault_history::freeze_coordinator(chance& random)
{
    const auto time = random.is(0.5) ? random.ms(300, 3'000) : random.ms(3'000, 15'000);
    if (const auto process = m_world.coordinator())
        m_world.freeze(*process, time);
}

void fault_history::slow_coordinator(chance& random)
{
    if (const auto process = m_world.coordinator())
        m_world.slow_down(*process, random.ms(1'000, 12'000));
}

/// The coordinator reaches the store and the workers, but few other processes.
void fault_history::isolate_coordinator(chance& random)
{
    const auto process = m_world.coordinator();
    if (!process)
        return;
    const double part = random.is(0.5) ? 1.0 : random.between(0.3, 1.0);
    const auto until = model_now() + random.ms(500, 15'000);
    for (std::size_t n = 0; n < m_world.process_count(); ++n)
        if (n != *process && random.is(part))
            m_world.cuts().cut(*process, n, until);
}

/// The store does not answer the coordinator, or some processes.
void fault_history::cut_store(chance& random)
{
    std::vector<std::size_t> cut;
    const bool is_refusing = random.is(0.5);
    if (const auto process = m_world.coordinator(); process && random.is(0.6))
        cut.push_back(*process);
    else
        for (std::size_t n = 0; n < m_world.process_count(); ++n)
            if (random.is(0.4))
                cut.push_back(n);
    for_a_time(
        random.ms(500, 12'000),
        [&](model_conditions& now)
        {
            now.cut_off.insert(cut.begin(), cut.end());
            now.is_refusing = is_refusing;
        },
        [cut](model_conditions& now)
        { std::ranges::for_each(cut, [&](std::size_t n) { now.cut_off.erase(n); }); });
}

/// The coordinator lives and reaches workers that the others don't reach or know, but does not see
/// that it has a successor, which may be struck in the middle of its claim.
void fault_history::blind_coordinator(chance& random)
{
    const auto process = m_world.coordinator();
    if (!process)
        return;
    const auto time = random.ms(3'000, 14'000);
    for_a_time(
        time,
        [&](model_conditions& now)
        {
            now.cut_off.insert(*process);
            now.is_refusing = false;
        },
        [process](model_conditions& now) { now.cut_off.erase(*process); });
    const bool is_isolated = random.is(0.7);
    const auto workers = 1 + random.below(std::max<std::size_t>(2, m_world.fleet().count() / 3));
    for (std::size_t n = 0; n < m_world.process_count(); ++n)
    {
        if (n == *process)
            continue;
        if (is_isolated)
            m_world.cuts().cut(*process, n, model_now() + time);
        for (std::size_t k = 0; k < workers; ++k)
            m_world.cuts().cut(n, link_cuts::worker(k), model_now() + 2 * time);
    }
    m_armed = random.is(0.6) ? 1 + random.below(2) : 0;
    const bool is_unlisted = random.is(0.7);
    for (std::size_t k = 0; k < workers && is_unlisted; ++k)
    {
        m_world.events().after(random.ms(0, 6'000), [this, k] { m_world.fleet().unlist(k); });
        m_world.events().after(2 * time + random.ms(0, 2'000),
                               [this, k] { m_world.fleet().list(k); });
    }
}

/// The coordinator lacks the store for a while, and most claims of the others are never executed:
/// it goes on when others have copied claims that are not on record.
void fault_history::lost_successors(chance& random)
{
    const auto process = m_world.coordinator();
    if (!process)
        return;
    const auto time = random.ms(1'000, 5'000);
    const double lost = random.between(0.3, 0.9);
    for_a_time(
        time,
        [&](model_conditions& now)
        {
            now.cut_off.insert(*process);
            now.is_refusing = true;
            now.lost_datagrams = 0.3;
        },
        [process](model_conditions& now)
        {
            now.cut_off.erase(*process);
            now.lost_datagrams = model_conditions().lost_datagrams;
        });
    for_a_time(
        time + random.ms(0, 2'000),
        [&](model_conditions& now)
        {
            now.lost_requests = lost;
            now.slow_calls = 0.5;
        },
        [](model_conditions& now)
        {
            now.lost_requests = model_conditions().lost_requests;
            now.slow_calls = model_conditions().slow_calls;
        });
}

/// The store is down; afterwards some workers' entries have lapsed and come back.
void fault_history::store_outage(chance& random)
{
    const auto time = random.ms(500, 8'000);
    const bool is_refusing = random.is(0.5);
    for_a_time(
        time,
        [&](model_conditions& now)
        {
            now.is_store_down = true;
            now.is_refusing = is_refusing;
        },
        [](model_conditions& now) { now.is_store_down = false; });
    const double part = random.is(0.5) ? 0.0 : random.between(0.1, 1.0);
    for (std::size_t n = 0; n < m_world.fleet().count(); ++n)
    {
        if (!random.is(part))
            continue;
        m_world.events().after(time, [this, n] { m_world.fleet().unlist(n); });
        m_world.events().after(time + random.ms(50, 2'000), [this, n] { m_world.fleet().list(n); });
    }
}

/// The store comes back from a copy, once or several times in series; the coordinator may end, or
/// all processes.
void fault_history::restore_store(chance& random)
{
    constexpr std::size_t max_restores = 3;
    const auto count = 1 + random.below(max_restores);
    auto at = boot_clock::duration{};
    for (std::size_t n = 0; n < count; ++n)
    {
        m_world.events().after(at, [this, age = random.ms(100, 5'000)]
                               { m_world.store().restore(age); });
        at += random.ms(200, 9'000);
    }
    if (random.is(0.15))
        kill_all(random);
    else if (random.is(0.5))
        kill_coordinator(random);
}

void fault_history::kill_worker(chance& random)
{
    const auto worker = any_worker(random);
    m_world.fleet().end(worker);
    m_world.events().after(random.ms(200, 8'000),
                           [this, worker]
                           {
                               if (!m_world.fleet().running(worker))
                                   m_world.fleet().start(worker);
                           });
}

/// A worker ends, and another one that had ended starts at its address.
void fault_history::reuse_address(chance& random)
{
    const auto first = any_worker(random);
    const auto second = any_worker(random);
    const auto life = m_world.fleet().running(first);
    if (first == second || !life)
        return;
    const auto address = m_world.fleet().life(*life).entry.address;
    m_world.fleet().end(first);
    m_world.fleet().end(second);
    m_world.events().after(random.ms(200, 4'000),
                           [this, second, address]
                           {
                               if (!m_world.fleet().running(second) &&
                                   !m_world.fleet().at_address(address))
                                   m_world.fleet().start(second, address);
                           });
    m_world.events().after(random.ms(4'000, 9'000),
                           [this, first]
                           {
                               if (!m_world.fleet().running(first))
                                   m_world.fleet().start(first);
                           });
}

/// Another writer puts an entry at the address of a worker that runs, under an id of its own or
/// under that of some worker. The worker at the address may be removed meanwhile.
void fault_history::foreign_entry(chance& random)
{
    const auto named = any_worker(random);
    const auto victim = any_worker(random);
    const bool has_own_id = random.is(0.5);
    const bool is_removed = random.is(0.7);
    const bool is_known_service = random.is(0.5);
    const auto time = random.ms(200, 8'000);
    const auto removed_after = random.ms(0, 2'500);
    const auto life = m_world.fleet().running(victim);
    if (!life)
        return;
    auto entry = m_world.fleet().life(*life).entry;
    entry.life = {has_own_id ? "x" : "w" + std::to_string(named), unix_ms()};
    entry.service = is_known_service ? model_service : "unknown";
    m_world.store().put(platform_stream::workers, entry.life.id, write_message(entry));
    m_world.events().after(time,
                           [this, has_own_id, named]
                           {
                               if (has_own_id)
                                   m_world.store().put(platform_stream::workers, "x", {});
                               else
                                   m_world.fleet().list(named);
                           });
    if (!is_removed)
        return;
    m_world.events().after(removed_after, [this, victim] { m_world.fleet().unlist(victim); });
    m_world.events().after(removed_after + random.ms(500, 25'000),
                           [this, victim] { m_world.fleet().list(victim); });
}

/// Workers that the store does not hear, though they run.
void fault_history::unlist_workers(chance& random)
{
    const auto count = 1 + random.below(std::max<std::size_t>(2, m_world.fleet().count() / 3));
    for (std::size_t n = 0; n < count; ++n)
    {
        const auto worker = any_worker(random);
        m_world.events().after(random.ms(0, 300),
                               [this, worker] { m_world.fleet().unlist(worker); });
        m_world.events().after(random.ms(500, 25'000),
                               [this, worker] { m_world.fleet().list(worker); });
    }
}

/// A worker that all processes, some, or the coordinator can not reach; it may not be listed
/// either.
void fault_history::cut_worker(chance& random)
{
    const auto count = 1 + random.below(std::max<std::size_t>(2, m_world.fleet().count() / 4));
    const double part = random.is(0.5) ? 1.0 : random.between(0.2, 0.9);
    const bool is_unlisted = random.is(0.5);
    for (std::size_t k = 0; k < count; ++k)
    {
        const auto worker = any_worker(random);
        const auto time = random.ms(500, 25'000);
        for (std::size_t n = 0; n < m_world.process_count(); ++n)
            if (random.is(part))
                m_world.cuts().cut(n, link_cuts::worker(worker), model_now() + time);
        if (!is_unlisted)
            continue;
        m_world.events().after(random.ms(500, 3'000),
                               [this, worker] { m_world.fleet().unlist(worker); });
        m_world.events().after(time + random.ms(0, 1'000),
                               [this, worker] { m_world.fleet().list(worker); });
    }
}

} // namespace eelgrassrail::test
