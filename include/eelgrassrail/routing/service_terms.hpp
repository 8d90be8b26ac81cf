/// What is agreed with the backend servers of one service.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <string>

namespace eelgrassrail
{

/// One service.
struct service_terms
{
    std::string name;
    std::string health_path;
    std::size_t max_connections{}; ///< most connections of one worker, from all callers
    bool divided_by_key{};         ///< each key is granted to one worker
    millis warm_time{};            ///< keys that arrive without a handover are slow for this long
};

} // namespace eelgrassrail
