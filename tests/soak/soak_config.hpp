/// The desired state that all runs of the soak publish, and the address of its processes.
#pragma once

#include <string>

namespace eelgrassrail::soak
{

/// Loopback address of the processes of a small run. Outgoing connections have 127.0.0.1, so their
/// ports are never in the way of a process that starts.
constexpr const char* soak_ip = "127.0.1.1";

/// @brief Two routes to a sharded service `keys` and two to the service `plain`, on the host
/// `soak`.
[[nodiscard]] std::string config_text(unsigned version);

} // namespace eelgrassrail::soak
