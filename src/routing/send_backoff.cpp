/// Exponential backoff with jitter.
#include <eelgrassrail/routing/send_backoff.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Backoff after the first rejection beyond the tolerated ones; each further rejection multiplies
/// it by the factor.
constexpr double initial_backoff_ms = 100;
constexpr double backoff_factor = 3;
constexpr double max_backoff_ms = 3'000; ///< a hot key cools down within some seconds

/// Rejections further apart than this are not counted as consecutive.
constexpr std::chrono::seconds rejection_window{5};

} // namespace

void send_backoff::on_rejected(instant now, double random_sample) noexcept
{
    if (now - m_last_rejection > rejection_window)
        m_consecutive_rejections = 0;
    m_last_rejection = now;
    ++m_consecutive_rejections;
    start_backoff(now, random_sample);
}

void send_backoff::on_rejected_by_chance(instant now, double random_sample) noexcept
{
    // Rejections for lack of room that came before still count.
    const auto most = std::max(m_consecutive_rejections, m_tolerated_rejections + 1);
    on_rejected(now, random_sample);
    if (m_consecutive_rejections <= most)
        return;
    m_consecutive_rejections = most;
    start_backoff(now, random_sample);
}

void send_backoff::start_backoff(instant now, double random_sample) noexcept
{
    if (m_consecutive_rejections <= m_tolerated_rejections)
        return;
    const double full_backoff_ms =
        initial_backoff_ms *
        std::pow(backoff_factor, m_consecutive_rejections - m_tolerated_rejections - 1);
    constexpr double min_jitter = 0.5;
    const double backoff_ms =
        std::min(full_backoff_ms, max_backoff_ms) * (min_jitter + random_sample);
    m_backoff_until = now + std::chrono::duration_cast<boot_clock::duration>(
                                std::chrono::duration<double, std::milli>(backoff_ms));
}

void send_backoff::on_answered() noexcept
{
    m_consecutive_rejections /= 2;
    m_backoff_until = {};
}

double send_backoff::remaining_backoff_ms(instant now) const noexcept
{
    if (now >= m_backoff_until)
        return 0;
    return std::chrono::duration<double, std::milli>(m_backoff_until - now).count();
}

} // namespace eelgrassrail
