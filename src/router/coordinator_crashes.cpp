/// Requests that crash workers, at the coordinator: what processes report is applied here and
/// announced to all of them for as long as it counts.
#include <eelgrassrail/router/key_coordinator.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// Interval, in pushes, at which the crashes are announced again. A process that starts learns of
/// them within about a second.
constexpr std::uint64_t crashes_interval = 8;

/// Crashes in one announcement; they take about 30 KB.
constexpr std::size_t max_announced = 500;

} // namespace

void key_coordinator::handle_crashes(std::span<const crash_report> crashes, instant now)
{
    for (const auto& crash : crashes)
    {
        m_state.crashes.on_server_lost(crash.fingerprint, crash.worker, now);
        m_crashes.emplace_back(now, crash);
    }
    m_announces_crashes = m_announces_crashes || !crashes.empty();
}

/// Announces the crashes that count, with some of the pushes.
void key_coordinator::announce_crashes(instant now)
{
    const bool is_due =
        std::exchange(m_announces_crashes, false) || m_push_count % crashes_interval == 0;
    if (!is_due)
        return;
    m_state.crashes.expire(now);
    crash_update update;
    for (const auto& loss : m_state.crashes.losses(now))
    {
        const auto age = std::chrono::duration_cast<millis>(now - loss.at).count();
        update.crashes.push_back({loss.fingerprint, loss.incident,
                                  static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0))});
    }
    if (update.crashes.empty())
        return;
    std::ranges::sort(update.crashes, {}, &aged_crash::age_ms);
    if (update.crashes.size() > max_announced)
        update.crashes.resize(max_announced);
    update.sender = m_state.self;
    // The trees are used in turn, since their relays differ.
    m_crashes_tree =
        m_crashes_tree == relay_choice::gathering ? relay_choice::other : relay_choice::gathering;
    m_channels.announce_crashes(m_members.plan(m_crashes_tree, now), update);
}

} // namespace eelgrassrail
