/// HTTP form of the calls to one backend server.
///
/// A request goes to its own method and target with the fields Key, Tenant, Request-Id, Slice,
/// Fencing-Token and Deadline-Ms. `Not-Run: true` in the reply means that the server did not run
/// it, `Draining: true` that it takes no more work. Grants are PUT to /eelgrassrail/grant, probes
/// are GET /healthz.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/requests/dispatch_commands.hpp>
#include <eelgrassrail/requests/request.hpp>

#include <functional>
#include <string>
#include <variant>

namespace eelgrassrail
{

/// Either the server's whole answer or why there is none.
using run_result = std::variant<answer, run_failure>;

/// Calls to one backend server.
class worker_http
{
  public:
    worker_http(const boost::asio::any_io_executor& executor, std::string id,
                const std::string& address, std::size_t connections);

    /// @brief Sends a request and reads the answer.
    /// @param may_write asked last before the first byte is written
    boost::asio::awaitable<run_result> run(const request& value, const start_command& command,
                                           std::function<bool()> may_write);

    /// @return whether the server acknowledged the grant
    boost::asio::awaitable<bool> grant(const grant_command& command);

    boost::asio::awaitable<probe_result> probe();

    /// @brief Closes the connection of a request that was given up.
    void cancel(request_number id) { m_client.cancel(id); }

    /// @brief Closes the idle connections.
    void close_idle() { m_client.close_idle(); }

    [[nodiscard]] std::size_t connections() const noexcept { return m_client.connections(); }

  private:
    std::string m_id;
    http_client m_client;
    http_client m_control; ///< grants and probes do not wait for a request's connection
};

} // namespace eelgrassrail
