/// Message about evacuated availability zones. It is a datagram of a kind of its own, so processes
/// of earlier versions drop and count it without losing anything else.
#pragma once

#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/registry/zone_evacuation.hpp>

#include <boost/describe/class.hpp>

#include <vector>

namespace eelgrassrail
{

/// Sent by the coordinator to all processes through relays: the newest change of each zone.
struct evacuation_update
{
    coordinator_identity sender;
    std::vector<zone_evacuation> changes;
};
BOOST_DESCRIBE_STRUCT(evacuation_update, (), (sender, changes))

} // namespace eelgrassrail
