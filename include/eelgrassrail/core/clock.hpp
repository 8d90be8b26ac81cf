/// Monotonic clock that keeps counting during suspend, and the duration and time point types.
///
/// eelgrassrail never compares the wall clocks of two machines. Decision logic takes the current
/// time as an `instant` argument, so that tests can control it.
#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrassrail
{

using millis = std::chrono::milliseconds;

/// Monotonic kernel clock that includes the time a VM was suspended (CLOCK_BOOTTIME).
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// @brief Reads the clock.
    /// @return time since boot, in microseconds
    /// @exceptionsafety no-throw
    [[nodiscard]] static time_point now() noexcept;
};

/// Point in time of `boot_clock`; comparable only on one machine and within one boot.
using instant = boot_clock::time_point;

/// @brief Reads the wall clock, for start times that identify processes.
/// @return Unix time in ms
[[nodiscard]] std::uint64_t unix_ms() noexcept;

} // namespace eelgrassrail
