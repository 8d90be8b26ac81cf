/// The bound on the arrivals at a worker that names a rate limit.
#pragma once

#include <algorithm>
#include <cstdint>
#include <span>

namespace eelgrassrail::test
{

/// Time from the first answer that names a limit until the bound applies.
constexpr std::int64_t limit_contact_us = 3'000'000;

/// Length of the sliding window of the bound.
constexpr std::int64_t limit_window_us = 4'000'000;

/// @brief Arrivals allowed in any window: half more than the limit, and five.
constexpr double allowed_in_window(double per_s)
{
    constexpr double factor = 1.5;
    constexpr double slack = 5;
    constexpr double us_in_s = 1e6;
    return factor * per_s * (static_cast<double>(limit_window_us) / us_in_s) + slack;
}

/// @brief The largest number of arrivals in any window.
/// @param sorted arrival times in microseconds
/// @param from earlier arrivals are not counted
inline std::size_t max_in_window(std::span<const std::int64_t> sorted, std::int64_t from)
{
    std::size_t most = 0;
    auto first = std::ranges::lower_bound(sorted, from);
    for (auto last = first; last != sorted.end(); ++last)
    {
        while (*first <= *last - limit_window_us)
            ++first;
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

} // namespace eelgrassrail::test
