/// HTTP client of one backend server.
///
/// A request is sent with its own method and target and the header fields Key, Tenant, Request-Id,
/// Slice, Fencing-Token and Deadline-Ms. `Not-Run: true` in the response means that the server did
/// not run it, `Draining: true` that it accepts no new requests. Grants are sent as PUT
/// /eelgrassrail/grant, health probes as GET /healthz.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/requests/dispatch_commands.hpp>
#include <eelgrassrail/requests/request.hpp>

#include <functional>
#include <string>
#include <variant>

namespace eelgrassrail
{

/// The server's complete answer, or the reason why there is none.
using run_result = std::variant<answer, run_failure>;

/// Client of one backend server.
class worker_http
{
  public:
    /// @param id of the server, copied to its answers
    /// @param connections maximum number of open connections for requests
    worker_http(const boost::asio::any_io_executor& executor, std::string id,
                const std::string& address, std::size_t connections);

    /// @brief Sends a request and reads the answer.
    /// @param may_write called right before the first byte is written; false gives
    /// `refused_before_run`
    boost::asio::awaitable<run_result> run(const request& value, const start_command& command,
                                           std::function<bool()> may_write);

    /// @brief Sends a grant.
    /// @return whether the server acknowledged it
    boost::asio::awaitable<bool> grant(const grant_command& command);

    /// @brief Sends a health probe.
    boost::asio::awaitable<probe_result> probe();

    /// @brief Aborts a running request by closing its connection.
    void cancel(request_number id) { m_client.cancel(id); }

    /// @brief Closes idle connections.
    void close_idle() { m_client.close_idle(); }

    /// @brief Number of open connections for requests.
    [[nodiscard]] std::size_t connections() const noexcept { return m_client.connections(); }

  private:
    std::string m_id;
    http_client m_client;
    http_client m_control; ///< own connections for grants and probes, not delayed by requests
};

} // namespace eelgrassrail
