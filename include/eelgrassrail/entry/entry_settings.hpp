/// Settings of one entry process, after they were checked.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/entry/log_gateway.hpp>

#include <string>
#include <vector>

namespace eelgrassrail
{

/// See the flags of `eelgrassraild` for the meaning of each.
struct entry_settings
{
    std::string vm;
    std::string zone;
    std::string http_address;
    std::string operator_address;
    std::string peer_address;
    std::string platform_address;
    std::vector<peer_place> peers;
    millis poll{100};             ///< between two reads of the log
    millis platform_timeout{400}; ///< of one call of the platform
    millis drain_delay{300};      ///< between unready and the first handover on a planned stop
    millis stop_deadline{10'000}; ///< longest planned stop
    millis snapshot_interval{600'000};
    bool fault_switches{}; ///< accept POST /admin/faults
};

} // namespace eelgrassrail
