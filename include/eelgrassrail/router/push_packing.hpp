/// Packing of a push into one datagram.
///
/// With many moves and many workers that start and stop within a second, the changes do not fit
/// into one datagram. A datagram that can not be sent leaves all processes without state updates,
/// so that they consider the coordinator lost.
#pragma once

#include <eelgrassrail/router/router_message.hpp>

#include <string>

namespace eelgrassrail
{

/// Half of the maximum UDP datagram: takes 26 ms on a link of 10 Mbit/s.
constexpr std::size_t max_push_bytes = 32UL * 1024;

/// @brief Serializes and compresses a push.
/// @param push if it does not fit, parts are left out: first the changes of ownership and workers,
/// so that the receivers fetch a copy; then the load of the workers, the members and the crashes
/// @return at most `max_push_bytes` bytes
[[nodiscard]] std::string pack_push(coordinator_push push);

} // namespace eelgrassrail
