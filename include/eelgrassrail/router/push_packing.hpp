/// The coordinator's news as one datagram.
///
/// Pattern answered: many moves and many workers that come and go within a second. Their changes do
/// not fit into a datagram, and a datagram that can not be sent leaves all processes without news,
/// so that they take the coordinator for lost.
#pragma once

#include <eelgrassrail/router/router_message.hpp>

#include <string>

namespace eelgrassrail
{

/// Largest datagram in bytes: half of the largest of UDP, 26 ms on a link of 10 Mbit/s.
constexpr std::size_t largest_push = 32UL * 1024;

/// @brief The packed bytes of a push.
/// @param push what does not fit in is left out: first the single changes, so that the receivers
/// fetch a copy, then the workers' use
/// @return at most `largest_push` bytes
[[nodiscard]] std::string pack_push(coordinator_push push);

} // namespace eelgrassrail
