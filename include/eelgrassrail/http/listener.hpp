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

/// Bounds of what a caller may send.
struct http_limits
{
    std::size_t header_bytes{16UL * 1024};
    std::size_t body_bytes{1024UL * 1024};
    std::size_t connections{4096};
    millis header_timeout{10'000}; ///< a request line and header must arrive within this time
    millis idle_timeout{60'000};   ///< between two requests of a connection
};

/// Answers one request. The watch tells whether the caller still waits.
using http_handler =
    std::function<boost::asio::awaitable<http_reply>(http_call, std::shared_ptr<caller_watch>)>;

/// Makes the reply for a request that can not be parsed.
using http_error_handler = std::function<http_reply(bool header_too_large, bool body_too_large)>;

/// Accepts connections and answers requests until it is stopped. Each connection is one task.
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

    /// @brief Accepts from now on.
    void start();

    /// @brief Goes on accepting; each connection is closed after its next answer.
    void drain();

    /// @brief Replaces the limits of requests that start from now on.
    void set_limits(const http_limits& limits);

    /// @brief Accepts no more connections; idle ones are closed, busy ones after their answer.
    void stop();

    /// @brief Connections that are open.
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace eelgrassrail
