/// HTTP client with a bounded set of kept connections to one address.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace eelgrassrail
{

class receive_budget;

/// How far an exchange came.
enum class exchange_result : std::uint8_t
{
    complete,    ///< a whole, valid response arrived
    not_written, ///< nothing was written
    lost,        ///< the connection was lost, or time ran out, after the first byte was written
    invalid      ///< the response was malformed, cut or too large
};

/// How one exchange is to be made.
struct exchange_options
{
    instant until;                     ///< the exchange is given up at this instant
    std::function<bool()> may_write{}; ///< asked last before the first byte; false: not written
    std::uint64_t label{};             ///< name for `cancel`; 0 for none
    std::function<bool(const http_reply&)> is_answer{}; ///< false: a reply of an earlier exchange
    millis longest_idle{millis::max()}; ///< a kept connection idle for longer is not used
};

/// Result of one exchange.
struct http_exchange
{
    exchange_result result{exchange_result::not_written};
    bool reused{};  ///< the request went over a kept connection
    bool refused{}; ///< the peer refused the connection: no process listens
    bool cancelled{};
    bool keeps{}; ///< the connection can carry another request
    http_reply reply;
};

/// One address with its kept connections. A connection whose exchange did not complete is closed.
class http_client
{
  public:
    /// @param address HOST:PORT with an IP number
    /// @param connections most open connections
    /// @throws std::invalid_argument if the address is not an IP number and a port
    http_client(boost::asio::any_io_executor executor, const std::string& address,
                std::size_t connections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Sends a request and reads the response.
    /// @param until the exchange is given up at this instant
    /// @param may_write asked last before the first byte is written; false gives `not_written`
    /// @param label name for `cancel`; 0 for none
    boost::asio::awaitable<http_exchange> exchange(http_call call, instant until,
                                                   std::function<bool()> may_write = {},
                                                   std::uint64_t label = 0);

    /// @brief As above, with all options.
    boost::asio::awaitable<http_exchange> exchange(http_call call, exchange_options options);

    /// @brief Sets the most open connections.
    void set_limit(std::size_t connections) noexcept;

    /// @brief Sets how long a connection is kept idle where the peer does not say it.
    void set_keep_time(millis keep) noexcept;

    /// @brief Sets the memory that large bodies share with those of other clients; without one only
    /// each body is bounded.
    void set_budget(std::shared_ptr<receive_budget> budget) noexcept;

    /// @brief Connections that were opened so far.
    [[nodiscard]] std::uint64_t opened() const noexcept;

    /// @brief Closes the connection of a running exchange.
    void cancel(std::uint64_t label);

    /// @brief Closes the kept connections that are idle.
    void close_idle();

    /// @brief Connections that are open.
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace eelgrassrail
