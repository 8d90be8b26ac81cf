/// Workers that say in their answers that they are leaving, at the coordinator: their keys move to
/// other workers, and all processes are notified.
#include <eelgrassrail/router/key_coordinator.hpp>

#include <utility>

namespace eelgrassrail
{
namespace
{

/// Interval, in pushes, at which the leaving workers are announced again.
constexpr std::uint64_t leaving_interval = 8;

/// Leaving workers in one announcement; they take about 40 KB.
constexpr std::size_t max_announced = 1'000;

} // namespace

void key_coordinator::handle_leaving(std::span<const worker_incarnation> workers, instant now)
{
    if (!m_term.is_active())
        return;
    m_state.apply_leaving(workers, now);
    m_announces_leaving = true;
    m_next_plan = {};
    schedule_push();
}

/// Announces the leaving workers that are listed as ready, with some of the pushes.
void key_coordinator::announce_leaving(instant now)
{
    const bool is_due =
        std::exchange(m_announces_leaving, false) || m_push_count % leaving_interval == 0;
    if (!is_due)
        return;
    leaving_update update;
    update.workers = m_state.workers.ready_but_leaving();
    if (update.workers.empty())
        return;
    if (update.workers.size() > max_announced)
        update.workers.resize(max_announced);
    update.sender = m_state.self;
    m_state.apply_leaving(update.workers, now);
    // The trees are used in turn, since their relays differ.
    m_leaving_tree =
        m_leaving_tree == relay_choice::gathering ? relay_choice::other : relay_choice::gathering;
    m_channels.announce_leaving(m_members.plan(m_leaving_tree, now), update);
}

} // namespace eelgrassrail
