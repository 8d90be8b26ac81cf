/// HTTP server for callers and operators.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/caller_watch.hpp>
#include <eelgrassrail/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace eelgrassrail
{

/// Limits of an HTTP listener.
struct http_limits
{
    std::size_t header_bytes{16UL * 1024};
    std::size_t body_bytes{1024UL * 1024};
    std::size_t connections{4096}; ///< further ones are closed when accepted
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

/// Creates the reply to a request that can not be parsed.
using http_error_handler = std::function<http_reply(bool header_too_large, bool body_too_large)>;

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

  private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace eelgrassrail
