/// Distributes the requests of a route over its services by weight.
#pragma once

#include <eelgrassrail/routing/route.hpp>

#include <map>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Smooth weighted round robin: after any number of requests each service is within one request of
/// its share. A random draw would be off by the square root of the number.
class split_chooser
{
  public:
    /// @brief Chooses the service of the next request.
    /// @complexity linear in the number of services of the route
    [[nodiscard]] const std::string& choose(const route& from);

  private:
    /// Credit by service of one route. Invariant: the sum over the services in force is 0.
    using credits = std::map<std::string, double, std::less<>>;

    std::map<std::string, credits, std::less<>> m_routes; ///< by route name
};

} // namespace eelgrassrail
