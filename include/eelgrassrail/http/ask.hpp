/// A single blocking HTTP exchange, for programs that run no event loop.
#pragma once

#include <eelgrassrail/http/client.hpp>

#include <string>

namespace eelgrassrail
{

/// @brief Connects, sends a request, reads the response and closes the connection.
/// @param address IP:PORT
/// @param timeout of the whole exchange, including connecting
/// @throws std::invalid_argument if the address is not an IP address and a port
[[nodiscard]] http_exchange ask(const std::string& address, const http_call& call, millis timeout);

} // namespace eelgrassrail
