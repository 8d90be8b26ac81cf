/// Framing on a TCP connection between entry processes: the payload's length as 4 big-endian bytes,
/// then the payload.
#pragma once

#include <eelgrassrail/peers/peer_message.hpp>
#include <eelgrassrail/peers/peer_network.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassrail::detail
{

/// @brief Prepends the length of a payload.
[[nodiscard]] std::string add_length_prefix(const std::string& payload);

/// @brief Reads one frame.
/// @return std::nullopt if the connection ended or the frame is malformed
boost::asio::awaitable<std::optional<peer_frame>> read_frame(boost::asio::ip::tcp::socket& socket,
                                                             peer_traffic& traffic);

/// Send queue of a connection.
class frame_writer
{
  public:
    explicit frame_writer(std::shared_ptr<boost::asio::ip::tcp::socket> socket)
        : m_socket(std::move(socket))
    {
    }

    /// @brief Appends the bytes of a frame to the queue.
    /// @return false if the queue is full; the frame is dropped then
    bool enqueue(std::string bytes);

    /// @brief Writes until the queue is empty. Precondition: `is_running()` is false.
    /// @return false if the connection failed
    boost::asio::awaitable<bool> flush(peer_traffic& traffic);

    /// @brief Whether `flush` is running.
    [[nodiscard]] bool is_running() const noexcept { return m_running; }
    [[nodiscard]] boost::asio::ip::tcp::socket& socket() noexcept { return *m_socket; }

  private:
    std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
    std::deque<std::string> m_queue;
    std::size_t m_bytes{}; ///< invariant: sum of the sizes in `m_queue`
    bool m_running{};
};

} // namespace eelgrassrail::detail
