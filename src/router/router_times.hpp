/// Times that several parts of the router count with.
#pragma once

#include <eelgrassrail/dissemination/news_times.hpp>

namespace eelgrassrail
{

/// Longest wait for an owner of a key, from the begin of its move. A planned move takes the time of
/// one run; what takes longer is an owner that was lost, which takes seconds.
constexpr millis longest_owner_wait{1'000};

/// @brief A duration in ms, with its fraction.
[[nodiscard]] inline double ms(boot_clock::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace eelgrassrail
