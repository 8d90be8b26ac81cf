/// One blocking HTTP exchange, for programs without tasks of their own.
#pragma once

#include <eelgrassrail/http/client.hpp>

#include <string>

namespace eelgrassrail
{

/// @brief Connects, sends a request, reads the response and closes the connection.
/// @throws std::invalid_argument if the address is not an IP number and a port
[[nodiscard]] http_exchange ask(const std::string& address, const http_call& call, millis timeout);

} // namespace eelgrassrail
