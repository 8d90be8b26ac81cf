/// Messages about workers that have said in an answer that they are leaving. Each is a datagram of
/// a kind of its own, so processes of earlier versions drop and count them without losing anything
/// else.
#pragma once

#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>

#include <boost/describe/class.hpp>

#include <vector>

namespace eelgrassrail
{

/// Sent to the coordinator by a process that has observed it, until the coordinator announces it.
struct leaving_notice
{
    std::vector<worker_incarnation> workers;
};
BOOST_DESCRIBE_STRUCT(leaving_notice, (), (workers))

/// Sent by the coordinator to all processes through relays: the leaving workers that are still
/// listed as ready.
struct leaving_update
{
    coordinator_identity sender;
    std::vector<worker_incarnation> workers;
};
BOOST_DESCRIBE_STRUCT(leaving_update, (), (sender, workers))

} // namespace eelgrassrail
