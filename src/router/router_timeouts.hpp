/// Time limits that several parts of the router share.
#pragma once

#include <eelgrassrail/dissemination/dissemination_times.hpp>

namespace eelgrassrail
{

/// Timeout for a request that waits for an owner of its key, from the start of the key's move. A
/// planned move takes as long as one run; replacing a lost owner takes seconds.
constexpr millis owner_wait_timeout{1'000};

/// A VM with fewer cores than this is small. When all processes start at once, those on larger VMs
/// read the store first and send the state to the others.
constexpr double small_vm_cores = 0.2;

/// Time that a starting process on a small VM waits for a state update before it reads the store. A
/// successor needs a few calls to claim the coordinator role and read the store.
constexpr millis initial_push_timeout{500};

/// @brief Converts a duration to fractional milliseconds.
[[nodiscard]] inline double ms(boot_clock::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace eelgrassrail
