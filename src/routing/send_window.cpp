/// Exponential pauses.
#include <eelgrassrail/routing/send_window.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// After the first rejection beyond those by chance; each further one makes the pause longer by the
/// factor.
constexpr double first_pause_ms = 100;
constexpr double growth = 3;
constexpr double longest_pause_ms = 3'000; ///< a hot key cools down within some seconds

/// Rejections further apart than this say nothing about each other.
constexpr std::chrono::seconds memory{5};

} // namespace

void send_window::on_turned_away(instant now, double draw) noexcept
{
    if (now - m_turned_away_at > memory)
        m_in_a_row = 0;
    m_turned_away_at = now;
    ++m_in_a_row;
    if (m_in_a_row <= m_by_chance)
        return;
    const double pause = first_pause_ms * std::pow(growth, m_in_a_row - m_by_chance - 1);
    constexpr double least_part = 0.5;
    const double drawn = std::min(pause, longest_pause_ms) * (least_part + draw);
    m_closed_until = now + std::chrono::duration_cast<boot_clock::duration>(
                               std::chrono::duration<double, std::milli>(drawn));
}

void send_window::on_answered() noexcept
{
    m_in_a_row /= 2;
    m_closed_until = {};
}

double send_window::closed_for_ms(instant now) const noexcept
{
    if (now >= m_closed_until)
        return 0;
    return std::chrono::duration<double, std::milli>(m_closed_until - now).count();
}

} // namespace eelgrassrail
