/// Evacuated availability zones at the coordinator: it moves the keys of their workers and
/// announces the evacuations to all processes.
#include <eelgrassrail/router/key_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// Interval, in pushes, at which the evacuations are announced again; datagrams may be lost, and
/// processes that start know none.
constexpr std::uint64_t evacuations_interval = 4;

} // namespace

/// Plans the moves anew after a change. The workers of a zone that is taken back may be cold. They
/// have not been called since their keys moved, so the age of their last answers does not mean that
/// they are lost.
void key_coordinator::update_evacuations(instant now)
{
    const auto changes = m_state.evacuations.changes();
    if (changes == m_evacuations)
        return;
    const auto before = std::exchange(m_evacuations, changes);
    m_next_plan = {};
    const auto was_evacuated = [&](const std::string& zone)
    {
        const auto it = std::ranges::find(before, zone, &zone_evacuation::zone);
        return it != before.end() && it->is_evacuated;
    };
    m_state.workers.for_each(
        [&](const known_worker& worker)
        {
            if (!worker.accepts_work() || !was_evacuated(worker.entry.zone) ||
                m_state.evacuations.since(worker.entry.zone))
                return;
            m_workers[worker.entry.life.id].last_answer = {};
            presume_cold(worker, now);
        });
}

/// Announces all changes, with some of the pushes.
void key_coordinator::announce_evacuations(instant now)
{
    if (m_evacuations.empty() || m_push_count % evacuations_interval != 0)
        return;
    evacuation_update update;
    update.sender = m_state.self;
    update.changes = m_evacuations;
    // The trees are used in turn, since their relays differ.
    m_evacuations_tree = m_evacuations_tree == relay_choice::gathering ? relay_choice::other
                                                                       : relay_choice::gathering;
    m_channels.announce_evacuations(m_members.plan(m_evacuations_tree, now), update);
}

} // namespace eelgrassrail
