/// Time as the decisions see it: one monotonic clock that runs on during suspend, and durations.
///
/// Nothing in eelgrassrail compares wall clocks of two machines. Decision logic takes an `instant`
/// as an argument, so tests pass their own.
#pragma once

#include <chrono>

namespace eelgrassrail
{

using millis = std::chrono::milliseconds;

/// Monotonic clock of the kernel that also counts the time a VM was suspended (CLOCK_BOOTTIME).
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

using instant = boot_clock::time_point;

} // namespace eelgrassrail
