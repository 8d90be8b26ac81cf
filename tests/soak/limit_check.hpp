/// Checks from the logs of the workers that no rate limit was exceeded.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// A time in which a router was killed, paused or stopped. Boot clock, in microseconds.
struct router_fault
{
    std::size_t router{};
    std::int64_t from_us{};
    std::int64_t to_us{};
};

/// What the clients and the faults of a run add to the workers' logs.
struct limit_evidence
{
    std::map<std::string, std::size_t> routers; ///< by attempt
    std::vector<router_fault> faults;
};

/// @brief Checks each window in which a worker named one limit, from 3 s after it began to name it.
/// Requests of a router with a fault up to 3 s before the window are not counted.
/// @param file log of one worker process
/// @return the violations, at most one per limit
[[nodiscard]] std::vector<std::string> check_limits(const std::string& file,
                                                    const limit_evidence& evidence);

} // namespace eelgrassrail::soak
