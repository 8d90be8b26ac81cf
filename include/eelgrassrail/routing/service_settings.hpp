/// Settings that apply to all backend servers of a service.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <string>

namespace eelgrassrail
{

/// The settings of one service.
struct service_settings
{
    std::string name;
    std::string health_path;       ///< path of the health check
    std::size_t max_connections{}; ///< maximum connections of one worker, from all its callers
    bool is_sharded{};             ///< keys are sharded: each is granted to one worker at a time
    double cold_per_s{};   ///< requests per second that a cold worker tolerates; 0: not stated
    millis warm_up_time{}; ///< time for which a key moved without a handover is served slowly
};

} // namespace eelgrassrail
