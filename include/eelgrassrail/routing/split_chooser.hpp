/// Distributes the requests of a route over its services by weight.
#pragma once

#include <eelgrassrail/routing/route.hpp>

#include <map>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Smooth weighted round robin: after any number of requests each service is within one request of
/// its share. With random selection the deviation would grow with the square root of the number.
class split_chooser
{
  public:
    /// @brief Chooses the service of the next request.
    /// @complexity linear in the number of services of the route
    [[nodiscard]] const std::string& choose(const route& from);

  private:
    /// Credits of one route by service. Invariant: the sum over the active services is 0.
    using credits = std::map<std::string, double, std::less<>>;

    std::map<std::string, credits, std::less<>> m_routes; ///< by route name
};

} // namespace eelgrassrail
