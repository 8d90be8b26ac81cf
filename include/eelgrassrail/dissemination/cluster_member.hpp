/// A process that takes part in the dissemination of state updates.
#pragma once

#include <boost/describe/class.hpp>

#include <string>

namespace eelgrassrail
{

/// The properties of a process that other processes know.
struct cluster_member
{
    std::string address; ///< IP:PORT for peers
    std::string zone;    ///< availability zone
    float processor{};   ///< processor cores that it may use

    bool operator==(const cluster_member&) const = default;
};
BOOST_DESCRIBE_STRUCT(cluster_member, (), (address, zone, processor))

} // namespace eelgrassrail
