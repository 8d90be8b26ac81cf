/// HTTP interface for operators of an entry process: tickets, status, owners, audit, metrics.
#pragma once

#include <eelgrassrail/http/message.hpp>

#include <boost/asio/awaitable.hpp>

namespace eelgrassrail
{

class entry_process;

/// @brief Serves one request of an operator.
///
/// POST /admin/tickets?base=N, GET /admin/tickets, GET /admin/tickets/ID, GET /admin/status,
/// GET /admin/in-force, GET /admin/owner?service=S&key=K, GET /admin/audit, GET /metrics,
/// GET /healthz, GET /readyz, and POST /admin/faults if `entry_settings::fault_switches` is set.
boost::asio::awaitable<http_reply> serve_operator(entry_process& process, http_call call);

} // namespace eelgrassrail
