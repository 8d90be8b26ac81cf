/// Length of a silence.
#include <eelgrassrail/limits/silence_watch.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// A worker that does not respond for this long may be cold when it is back.
constexpr millis min_silence{1'000};

/// A worker with few requests responds to none while it runs them.
constexpr double min_silent_runs = 3.0;

} // namespace

bool silence_watch::is_silent(double run_ms, instant now) const noexcept
{
    if (m_busy_since == instant{})
        return false;
    const auto runs = std::chrono::duration_cast<boot_clock::duration>(
        std::chrono::duration<double, std::milli>(run_ms * min_silent_runs));
    return now - std::max(m_busy_since, m_last_response) >=
           std::max<boot_clock::duration>(min_silence, runs);
}

} // namespace eelgrassrail
