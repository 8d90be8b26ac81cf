/// Routes and services in force: what leads a caller's request to a service.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/routing/route.hpp>
#include <eelgrassrail/routing/service_terms.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// One whole desired state. Versions only rise within a process.
struct route_table
{
    std::uint64_t version{};
    std::vector<route> routes;
    std::vector<service_terms> services;
    std::size_t max_header_bytes{}; ///< longest request line and header of a caller
    std::size_t max_body_bytes{};   ///< longest body of a caller
    millis header_timeout{};        ///< a header must arrive within this time
    millis idle_timeout{};          ///< between two requests of a connection

    /// @brief The route of the host with the longest prefix of the path.
    /// @param host without a port
    /// @return nothing if no route matches
    /// @complexity linear in the number of routes of all hosts
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const noexcept;

    /// @brief The terms of a service.
    /// @return nothing if the service is not known
    [[nodiscard]] const service_terms* find_service(std::string_view name) const noexcept;
};

} // namespace eelgrassrail
