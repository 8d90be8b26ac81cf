/// HTTP server for callers and operators.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/caller_watch.hpp>
#include <eelgrassrail/http/message.hpp>
#include <eelgrassrail/http/request_defect.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace eelgrassrail
{

class receive_budget;
struct listener_state;

/// Limits of an HTTP listener.
struct http_limits
{
    std::size_t header_bytes{16UL * 1024};
    std::size_t body_bytes{1024UL * 1024};
    std::size_t connections{4096}; ///< open ones, those being closed included
    millis header_timeout{10'000}; ///< for receiving a request, and for sending a response
    millis idle_timeout{60'000};   ///< between two requests of a connection
};

/// @brief Limits of a listener whose requests have no body.
[[nodiscard]] constexpr http_limits limits_without_body()
{
    http_limits limits;
    limits.body_bytes = 0;
    return limits;
}

/// Answers one request. The watch reports whether the caller has disconnected.
using http_handler =
    std::function<boost::asio::awaitable<http_reply>(http_call, std::shared_ptr<caller_watch>)>;

/// Creates the reply to a request that is refused before it reaches the handler.
using http_error_handler = std::function<http_reply(request_defect)>;

/// HTTP server with one coroutine for each connection.
class http_listener
{
  public:
    /// @brief Binds the address.
    /// @throws boost::system::system_error if it can not be bound
    http_listener(const boost::asio::any_io_executor& executor,
                  const boost::asio::ip::tcp::endpoint& at, http_limits limits,
                  http_handler handler, http_error_handler on_malformed);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// @brief Sets the memory budget of the requests, in place of none. Large bodies are handed
    /// over in blocks then. Called before `start`.
    void set_budget(std::shared_ptr<receive_budget> budget);

    /// @brief Starts accepting connections.
    void start();

    /// @brief Continues to accept, but closes each connection after its next response.
    void drain();

    /// @brief Replaces the limits; requests being received keep the old ones.
    void set_limits(const http_limits& limits);

    /// @brief Stops accepting and closes idle connections; busy ones close after their response.
    void stop();

    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

    /// @brief Number of incomplete requests that were ended because memory or connections were
    /// short.
    [[nodiscard]] std::uint64_t aborted() const noexcept;

  private:
    std::shared_ptr<listener_state> m_state;
};

} // namespace eelgrassrail
