/// Times that several parts of the router count with.
#pragma once

#include <eelgrassrail/dissemination/news_times.hpp>

namespace eelgrassrail
{

/// Longest wait for an owner of a key, from the begin of its move. A planned move takes the time of
/// one run; what takes longer is an owner that was lost, which takes seconds.
constexpr millis longest_owner_wait{1'000};

/// Cores of a small VM. Where there are larger ones, they read the store first when all processes
/// start at once, and tell the others.
constexpr double small_vm = 0.2;

/// A process of a small VM that starts waits this long to be told before it reads the store. A
/// successor claims and reads in the time of some calls.
constexpr millis told_wait{500};

/// @brief A duration in ms, with its fraction.
[[nodiscard]] inline double ms(boot_clock::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace eelgrassrail
