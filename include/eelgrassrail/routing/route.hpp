/// One route: which requests it takes and how they are handled.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <string>
#include <vector>

namespace eelgrassrail
{

/// A service with its share of a route's requests.
struct weighted_service
{
    std::string service;
    double weight{1.0}; ///< positive; shares are relative to the sum of all weights
};

/// A route of one host.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;                ///< begins and ends with a slash
    bool is_idempotent{};                   ///< a request may run more than once
    unsigned priority{};                    ///< 0 is the highest
    millis objective{};                     ///< an answer within this time has its full value
    millis timeout{};                       ///< a caller is not kept waiting for longer
    unsigned max_attempts{1};               ///< most workers that one request is sent to
    std::vector<weighted_service> services; ///< not empty
};

} // namespace eelgrassrail
