/// Settings of one process of the router.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <string>

namespace eelgrassrail
{

/// Checked when the program starts. Bounds come from the deployment's agreement.
struct router_settings
{
    std::string vm;                ///< name of this VM, for logs
    std::string zone;              ///< availability zone of this VM
    std::string caller_address;    ///< IP:PORT for callers
    std::string ready_address;     ///< IP:PORT for the balancer's question whether this VM is ready
    std::string peer_address;      ///< IP:PORT for other processes, TCP and UDP, and for metrics
    std::string metrics_address;   ///< IP:PORT for metrics; empty: none of its own
    millis leave_bound{};          ///< a leaving worker gets nothing later than this
    millis stop_bound{};           ///< the process is killed this long after SIGTERM
    millis longest_hold{};         ///< most time that a grant may give
    double retry_ratio{};          ///< retries of all processes, as a share of the requests
    double retry_slack{};          ///< retries of all processes that are allowed besides
    bool is_first_start{};         ///< all processes start for the first time
    std::size_t max_descriptors{}; ///< open files and sockets of the process
    double processor{1.0};         ///< cores that the process may use
    std::size_t memory_mb{};       ///< the process is killed above this
    millis worker_heartbeat{};     ///< a worker writes its entry about this often
};

} // namespace eelgrassrail
