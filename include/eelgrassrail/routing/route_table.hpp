/// The active routes and services, by which a caller's request is mapped to a service.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/routing/route.hpp>
#include <eelgrassrail/routing/service_settings.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// A complete desired state. Versions only increase within a process.
struct route_table
{
    std::uint64_t version{};
    std::vector<route> routes;
    std::vector<service_settings> services;
    std::size_t max_header_bytes{}; ///< maximum size of a caller's request line and header
    std::size_t max_body_bytes{};   ///< maximum size of a caller's request body
    millis header_timeout{};        ///< maximum time until a request header is complete
    millis idle_timeout{};          ///< maximum time between two requests on a connection

    /// @brief Finds the route of the host with the longest matching path prefix.
    /// @param host without a port
    /// @return `nullptr` if no route matches
    /// @complexity linear in the number of routes of all hosts
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const noexcept;

    /// @brief Finds the settings of a service.
    /// @return `nullptr` if the service is not known
    [[nodiscard]] const service_settings* find_service(std::string_view name) const noexcept;
};

} // namespace eelgrassrail
