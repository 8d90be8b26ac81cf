/// Worker that answers with given bytes at given times, as a faulty worker does. In the process of
/// the test, on loopback.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// One request as the worker received it.
struct byte_request
{
    std::string attempt;    ///< attempt id; empty if there is none
    std::size_t nth{};      ///< number of requests received before it, on all connections
    std::size_t position{}; ///< number of requests received before it on its connection
};

/// One step of an answer.
struct byte_step
{
    std::string bytes;
    millis before{}; ///< wait before the bytes are sent
};

/// How the connection ends after the last step.
enum class byte_end : std::uint8_t
{
    keep,  ///< it stays open for the next request
    close, ///< it is closed
    reset  ///< it is reset
};

/// What the worker does with a request.
struct byte_answer
{
    std::vector<byte_step> steps;
    byte_end end{byte_end::keep};
    bool is_run{}; ///< the worker runs the request
};

/// Listens on a free port until it is destroyed.
class byte_worker
{
  public:
    using script = std::function<byte_answer(const byte_request&)>;

    byte_worker(boost::asio::io_context& context, script decide);

    /// @brief IP:PORT.
    [[nodiscard]] std::string address() const;

    /// @brief Attempt ids of the requests that it has run, in order.
    [[nodiscard]] const std::vector<std::string>& runs() const { return m_runs; }

    /// @brief Number of requests received.
    [[nodiscard]] std::size_t received() const { return m_received; }

    /// @brief Number of connections accepted.
    [[nodiscard]] std::size_t connections() const { return m_connections; }

  private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& m_context;
    script m_decide;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_runs;
    std::size_t m_received{};
    std::size_t m_connections{};
};

/// @brief The bytes of a valid answer to an attempt, with a length.
[[nodiscard]] std::string answer_bytes(const std::string& attempt);

/// @brief The bytes of a refusal.
/// @param attempt the id that it bears; empty: none
[[nodiscard]] std::string refusal_bytes(unsigned status, const std::string& attempt);

} // namespace eelgrassrail::test
