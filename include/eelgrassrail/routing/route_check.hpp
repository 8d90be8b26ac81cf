/// Checks a desired state before it is sent to the processes.
#pragma once

#include <eelgrassrail/routing/route_finding.hpp>

#include <vector>

namespace eelgrassrail
{

struct route_table;

/// @brief Finds errors, entries without effect and contradicting limits.
/// @param table as written: with services of weight zero and without corrected values
/// @complexity quadratic in the number of routes
[[nodiscard]] std::vector<route_finding> check_routes(const route_table& table);

/// @brief Finds what a desired state changes. Routes are identified by host and path prefix.
[[nodiscard]] std::vector<route_finding> compare_routes(const route_table& next,
                                                        const route_table& in_force);

} // namespace eelgrassrail
