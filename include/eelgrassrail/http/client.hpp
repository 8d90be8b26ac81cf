/// HTTP client with a bounded pool of keep-alive connections to one address.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace eelgrassrail
{

class receive_budget;

/// Outcome of an exchange.
enum class exchange_result : std::uint8_t
{
    complete,    ///< a complete, valid response was received
    not_written, ///< no byte of the request was written
    lost,        ///< connection lost or deadline passed after writing had begun
    invalid      ///< the response was malformed, truncated or too large
};

/// Whose reply arrived on a connection.
enum class reply_owner : std::uint8_t
{
    named,   ///< it names this request
    other,   ///< it names another request: a late reply, to be skipped
    unnamed, ///< it names none; of this request only if the connection carried no other one
};

/// Options of one exchange.
struct exchange_options
{
    instant until;                     ///< deadline of the exchange
    std::function<bool()> may_write{}; ///< called right before writing; false gives `not_written`
    std::uint64_t label{};             ///< id for `cancel`; 0 for none
    std::function<reply_owner(const http_reply&)> owner_of{}; ///< empty: all name this request
    millis longest_idle{millis::max()}; ///< connections idle for longer are not reused
    /// Connections that are not used: the peer may repeat what it sent there for this request.
    std::set<std::uint64_t> avoided{};
    /// After a reply that names no request, on a connection that carried another one, the named
    /// reply has to arrive within this time.
    millis unnamed_wait{millis::max()};
};

/// @brief Options of an exchange whose reply bears no id. It opens a connection for this exchange
/// only: on a kept one, the peer may repeat its reply to an earlier request.
[[nodiscard]] exchange_options make_unnamed_exchange(instant until);

/// Result of one exchange.
struct http_exchange
{
    exchange_result result{exchange_result::not_written};
    bool reused{};              ///< an idle connection of the pool was used
    bool refused{};             ///< the peer refused the connection: no process listens there
    bool cancelled{};           ///< `may_write` refused, or the deadline passed while connecting
    bool keep_alive{};          ///< the connection can carry another request
    std::uint64_t connection{}; ///< number of the connection, unique in the process; 0: none
    http_reply reply;
};

/// Client for one address. Connections are kept alive between exchanges; a connection whose
/// exchange did not complete is closed.
class http_client
{
  public:
    /// @param address IP:PORT
    /// @param connections maximum number of open connections
    /// @throws std::invalid_argument if the address is not an IP address and a port
    http_client(boost::asio::any_io_executor executor, const std::string& address,
                std::size_t connections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Sends a request and reads the response.
    /// @param until deadline of the exchange
    /// @param may_write called right before the first byte is written; false gives `not_written`
    /// @param label id for `cancel`; 0 for none
    boost::asio::awaitable<http_exchange> exchange(http_call call, instant until,
                                                   std::function<bool()> may_write = {},
                                                   std::uint64_t label = 0);

    /// @brief As above, with all options.
    boost::asio::awaitable<http_exchange> exchange(http_call call, exchange_options options);

    /// @brief Sets the maximum number of open connections.
    void set_limit(std::size_t connections) noexcept;

    /// @brief Sets the idle timeout of connections whose peer sends no `Keep-Alive` timeout; the
    /// default is no limit.
    void set_keep_time(millis keep) noexcept;

    /// @brief Sets the maximum size of a response body; the default is 8 MB. A larger one makes the
    /// response invalid.
    void set_max_body(std::size_t bytes) noexcept;

    /// @brief Sets the memory budget for large bodies, shared with other clients. Without one, only
    /// the size of each body is limited.
    void set_budget(std::shared_ptr<receive_budget> budget) noexcept;

    /// @brief Number of connections opened so far.
    [[nodiscard]] std::uint64_t opened() const noexcept;

    /// @brief Closes the connection of the running exchange with this label, if there is one.
    void cancel(std::uint64_t label);

    /// @brief Closes all idle connections.
    void close_idle();

    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace eelgrassrail
