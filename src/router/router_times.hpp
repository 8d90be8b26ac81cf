/// Times that several parts of the router count with.
#pragma once

#include <eelgrassrail/core/clock.hpp>

namespace eelgrassrail
{

/// Between two pushes of the coordinator, while there are few processes.
constexpr millis push_interval{250};

/// Longest wait for an owner of a key, from the begin of its move. A planned move takes the time of
/// one run; what takes longer is an owner that was lost, which takes seconds.
constexpr millis longest_owner_wait{1'000};

/// @brief A duration in ms, with its fraction.
[[nodiscard]] inline double ms(boot_clock::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace eelgrassrail
