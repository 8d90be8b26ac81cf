/// Settings of one router process.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <string>

namespace eelgrassrail
{

/// Validated by the program that reads them. Time limits are given by the deployment platform.
struct router_settings
{
    std::string vm;                 ///< name of this VM, for logs
    std::string zone;               ///< availability zone of this VM
    std::string caller_address;     ///< IP:PORT for callers
    std::string ready_address;      ///< IP:PORT for the load balancer's readiness checks
    std::string peer_address;       ///< IP:PORT for router processes, TCP and UDP, and metrics
    std::string metrics_address;    ///< IP:PORT of a separate metrics listener; empty: none
    millis drain_timeout{};         ///< a leaving worker gets no requests after this time
    millis stop_timeout{};          ///< time from SIGTERM to SIGKILL
    millis max_lease_duration{};    ///< maximum lease duration of a grant
    double retry_ratio{};           ///< retry budget of all processes, as a share of the requests
    double retry_slack{};           ///< retries of all processes allowed beyond the ratio
    millis evacuate_timeout{};      ///< workers of an evacuated zone get nothing after this time
    double cold_overage{};          ///< factor on `cold_per_s` that bounds a second; 0: not stated
    double cold_slack{};            ///< requests in a second allowed beyond it
    bool is_first_start{};          ///< all processes of the deployment start for the first time
    std::size_t max_descriptors{};  ///< limit of open files and sockets
    double processor{1.0};          ///< CPU cores available to the process
    std::size_t memory_mb{};        ///< memory limit of the process; 0: unknown
    millis worker_heartbeat{1'000}; ///< interval at which workers renew their entries
};

} // namespace eelgrassrail
