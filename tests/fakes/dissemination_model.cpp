/// A discrete event simulation.
#include "dissemination_model.hpp"

#include <eelgrassrail/dissemination/dissemination_times.hpp>

#include <algorithm>
#include <numeric>

namespace eelgrassrail::test
{
namespace
{

constexpr std::size_t seconds_played = 10;
constexpr std::chrono::seconds length{seconds_played};
constexpr std::chrono::seconds faults_begin{3};
constexpr std::chrono::seconds faults_end{6};
constexpr std::size_t address_bytes = 15; ///< of one receiver in a push
constexpr std::size_t report_bytes = 200; ///< of one process

const instant begin{std::chrono::hours(1)};

} // namespace

dissemination_model::dissemination_model(dissemination_conditions conditions)
    : m_conditions(std::move(conditions))
    , m_random(m_conditions.seed)
    , m_processes(m_conditions.processes)
    , m_now(begin)
{
    constexpr float large_vm = 0.5F; // cores; three VMs of each zone
    constexpr float small_vm = 0.1F;
    for (std::size_t n = 0; n < m_processes.size(); ++n)
    {
        auto& item = m_processes[n];
        item.member = {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":7",
                       "z" + std::to_string(n % m_conditions.zones),
                       n < 3 * m_conditions.zones ? large_vm : small_vm};
        item.last_push = begin;
        m_index[item.member.address] = n;
    }
}

void dissemination_model::at(instant when, const std::function<void()>& action)
{
    m_events.push({{when, m_order++}, action});
}

bool dissemination_model::is_dead(std::size_t self) const
{
    return m_now >= begin + faults_begin && std::ranges::count(m_conditions.dead, self) > 0;
}

/// When a process handles an event that is due at `when`; later if it is frozen then.
instant dissemination_model::thaw(std::size_t self, instant when) const
{
    const bool is_frozen = when >= begin + faults_begin && when < begin + faults_end &&
                           std::ranges::count(m_conditions.frozen, self) > 0;
    return is_frozen ? begin + faults_end : when;
}

void dissemination_model::send(std::size_t from, std::size_t to, std::size_t bytes,
                               std::function<void()> deliver)
{
    std::uniform_real_distribution<double> draw(0, 1);
    std::uniform_int_distribution<int> travel_ms(1,
                                                 12); // includes the processing time at a small VM
    ++m_figures.messages;
    m_processes[from].bytes += bytes;
    const bool is_cut = m_now >= begin + faults_begin && (m_conditions.cuts.contains({from, to}) ||
                                                          m_conditions.cuts.contains({to, from}));
    if (is_cut || draw(m_random) < m_conditions.lost)
        return;
    m_processes[to].bytes += bytes;
    constexpr millis late_time{200};
    const auto late = draw(m_random) < m_conditions.late ? late_time : millis(0);
    at(thaw(to, m_now + millis(travel_ms(m_random)) + late),
       [this, to, deliver = std::move(deliver)]
       {
           if (!is_dead(to))
               deliver();
       });
}

dissemination_model::tree_parts dissemination_model::plan()
{
    const auto living = m_table.live_members(m_now);
    tree_parts parts;
    if (m_conditions.scheme == dissemination_scheme::flat)
        std::ranges::transform(living, std::back_inserter(parts),
                               [](const cluster_member& member) {
                                   return relay_part<std::string>{member.address, {}};
                               });
    else if (m_conditions.scheme == dissemination_scheme::one_relay)
    {
        std::map<std::string, std::vector<std::string>> zones;
        for (const auto& member : living)
            zones[member.zone].push_back(member.address);
        for (auto& [zone, addresses] : zones)
            parts.push_back({addresses.front(), {addresses.begin() + 1, addresses.end()}});
    }
    else
        parts =
            m_table.plan(m_version % 2 == 0 || m_conditions.scheme == dissemination_scheme::one_tree
                             ? relay_choice::gathering
                             : relay_choice::other,
                         m_now);
    return parts;
}

void dissemination_model::push()
{
    m_sent_at[++m_version] = m_now;
    m_table.remove_expired(m_now);
    const auto parts = plan();
    m_figures.root_sends = std::max(m_figures.root_sends, parts.size());
    relay(0, parts, m_version,
          m_version % 2 == 0 || m_conditions.scheme != dissemination_scheme::trees);
    at(m_now + push_interval, [this] { push(); });
}

void dissemination_model::relay(std::size_t from, const tree_parts& parts, std::uint64_t version,
                                bool gathers)
{
    for (const auto& part : parts)
    {
        const auto to = m_index.at(part.child);
        send(from, to, m_conditions.push_bytes + part.behind.size() * address_bytes,
             [this, to, from, behind = part.behind, version, gathers]
             { receive(to, from, behind, version, gathers); });
    }
}

void dissemination_model::receive(std::size_t self, std::size_t from,
                                  const std::vector<std::string>& behind, std::uint64_t version,
                                  bool gathers)
{
    auto& item = m_processes[self];
    const auto degree =
        m_conditions.scheme == dissemination_scheme::one_relay ? behind.size() : relay_degree;
    relay(self, divide_receivers(std::span<const std::string>(behind), degree), version, gathers);
    item.last_push = m_now;
    if (gathers)
        item.parent = from;
    // The newest version includes the missed ones.
    for (auto it = m_sent_at.upper_bound(item.version);
         it != m_sent_at.end() && it->first <= version; ++it)
        if (it->second >= begin + std::chrono::seconds(1) && thaw(self, it->second) == it->second)
            m_figures.longest =
                std::max(m_figures.longest, std::chrono::duration_cast<millis>(m_now - it->second));
    item.version = std::max(item.version, version);
    if (item.is_waiting || m_now < item.last_report + min_report_interval)
        return;
    item.is_waiting = true;
    const auto levels = static_cast<std::int64_t>(relay_levels(behind.size()));
    at(m_now + gather_timeout * levels,
       [this, self]
       {
           m_processes[self].is_waiting = false;
           report(self, m_processes[self].parent, false);
       });
}

void dissemination_model::report(std::size_t self, std::size_t to, bool is_orphan)
{
    if (is_dead(self))
        return;
    auto& item = m_processes[self];
    item.last_report = m_now;
    item.seen.insert(self);
    send(self, to, report_bytes * item.seen.size(),
         [this, to, self, is_orphan, seen = std::exchange(item.seen, {})]
         {
             if (to != 0)
                 m_processes[to].seen.insert(seen.begin(), seen.end());
             else
                 for (const auto n : seen)
                     m_table.on_member_report(
                         {m_processes[n].member, false, is_orphan && n == self}, m_now);
         });
}

/// Periodic check; a process that receives no pushes reports directly.
void dissemination_model::check_orphan(std::size_t self)
{
    constexpr millis check_interval{200};
    if (is_dead(self))
        return;
    if (m_now - m_processes[self].last_push > orphan_timeout)
        report(self, 0, true);
    at(thaw(self, m_now + check_interval), [this, self] { check_orphan(self); });
}

dissemination_results dissemination_model::run()
{
    for (std::size_t n = 1; n < m_processes.size(); ++n)
    {
        m_table.add(m_processes[n].member, begin);
        at(begin + millis(n % push_interval.count()), [this, n] { check_orphan(n); });
    }
    push();
    while (!m_events.empty() && m_events.top().first.first < begin + length)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.first.first;
        next.second();
    }
    m_now = begin + length;
    for (std::size_t n = 1; n < m_processes.size(); ++n)
    {
        const auto& item = m_processes[n];
        if (is_dead(n))
            continue;
        // A version that was never received counts as received at the end.
        const auto missed = m_sent_at.upper_bound(item.version);
        if (missed != m_sent_at.end())
            m_figures.longest = std::max(
                m_figures.longest, std::chrono::duration_cast<millis>(m_now - missed->second));
        m_figures.most_bytes = std::max(m_figures.most_bytes, item.bytes);
    }
    m_figures.most_bytes = std::max(m_figures.most_bytes, m_processes[0].bytes) / seconds_played;
    m_figures.messages /= seconds_played;
    const auto living = m_table.live_members(m_now);
    for (std::size_t n = 1; n < m_processes.size(); ++n)
        if (!is_dead(n) && std::ranges::count(living, m_processes[n].member) == 0)
            ++m_figures.unknown_count;
    return m_figures;
}

} // namespace eelgrassrail::test
