/// Message about requests that crash workers. It is a datagram of a kind of its own, so processes
/// of earlier versions drop and count it without losing anything else.
#pragma once

#include <eelgrassrail/grants/ownership_record.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// A worker that was lost while a request was running on it.
struct aged_crash
{
    std::uint64_t fingerprint{}; ///< of the request
    std::string worker;          ///< id
    std::uint32_t age_ms{};      ///< time since the loss
};
BOOST_DESCRIBE_STRUCT(aged_crash, (), (fingerprint, worker, age_ms))

/// Sent by the coordinator to all processes through relays: the crashes that still count. Pushes
/// repeat a crash for some seconds only, so a process that starts later learns of it here.
struct crash_update
{
    coordinator_identity sender;
    std::vector<aged_crash> crashes;
};
BOOST_DESCRIBE_STRUCT(crash_update, (), (sender, crashes))

} // namespace eelgrassrail
