/// Validated settings of one entry process.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/entry/log_gateway.hpp>

#include <string>
#include <vector>

namespace eelgrassrail
{

/// Settings of one entry process; the flags of `eelgrassraild` describe each of them.
struct entry_settings
{
    std::string vm;
    std::string zone;
    std::string http_address;
    std::string operator_address;
    std::string peer_address;
    std::string platform_address;
    std::vector<peer_endpoint> peers;
    millis poll_interval{100};         ///< interval of reads of the log
    millis platform_timeout{400};      ///< for one call of the platform
    millis drain_delay{300};           ///< from not ready to the first handover in a planned stop
    millis stop_timeout{10'000};       ///< maximum duration of a planned stop
    millis snapshot_interval{600'000}; ///< age of the last snapshot at which a new one is due
    bool fault_switches{};             ///< accept POST /admin/faults
};

} // namespace eelgrassrail
