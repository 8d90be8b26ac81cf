/// A route: the requests that it matches and how they are handled.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <string>
#include <vector>

namespace eelgrassrail
{

/// A service with its weight in the distribution of a route's requests.
struct weighted_service
{
    std::string service;
    double weight{1.0}; ///< positive; relative to the sum of the weights of the route
};

/// Settings of a route, which belongs to one host.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;  ///< begins and ends with a slash
    bool is_idempotent{};     ///< a request may be executed more than once
    unsigned priority{};      ///< 0 is the highest
    millis objective{};       ///< latency objective; later answers have less value
    millis timeout{};         ///< maximum time until the caller gets an answer
    unsigned max_attempts{1}; ///< maximum number of workers that one request is sent to
    std::vector<weighted_service> services; ///< not empty
};

} // namespace eelgrassrail
