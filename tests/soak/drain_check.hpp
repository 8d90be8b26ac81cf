/// Checks from the logs of the workers that those that leave, or have named a time, get no
/// requests.
#pragma once

#include "limit_check.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// A request of a client. Boot clock, in microseconds.
struct sent_request
{
    std::size_t router{};
    std::int64_t sent_us{};
    std::int64_t
        leaving_us{}; ///< arrival of an answer that says that the worker is leaving; 0: none
};

/// A network fault between the routers and a worker.
struct worker_cut
{
    std::string worker; ///< id
    std::int64_t from_us{};
    std::int64_t to_us{};
};

/// What the clients and the faults of a run add to the workers' logs.
struct drain_evidence
{
    std::map<std::string, sent_request> requests; ///< by attempt
    std::vector<worker_cut> cuts;
};

/// @brief Checks DRAIN and BUDGET for one worker process. A router with a fault since the answer is
/// not checked, nor, for BUDGET, a worker with a network fault.
/// @param file log of one worker process, worker-ID-START.log
/// @return the violations, at most one of each kind per router
[[nodiscard]] std::vector<std::string> check_drain(const std::string& file,
                                                   const drain_evidence& evidence,
                                                   const std::vector<router_fault>& faults);

} // namespace eelgrassrail::soak
