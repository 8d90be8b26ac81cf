/// Frames on a TCP connection between entry processes: a length of 4 bytes, then the payload.
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

/// @brief The bytes of a payload with its length.
[[nodiscard]] std::string with_prefix(const std::string& payload);

/// @brief Reads one frame.
/// @return nothing if the connection ended or the frame is malformed
boost::asio::awaitable<std::optional<peer_frame>> read_frame(boost::asio::ip::tcp::socket& socket,
                                                             peer_traffic& traffic);

/// Writes queued frames one after the other.
class frame_writer
{
  public:
    explicit frame_writer(std::shared_ptr<boost::asio::ip::tcp::socket> socket)
        : m_socket(std::move(socket))
    {
    }

    /// @brief Queues the bytes of a frame.
    /// @return false if too much is queued already
    bool push(std::string bytes);

    /// @brief Writes until the queue is empty; call it when it is not running.
    boost::asio::awaitable<bool> drain(peer_traffic& traffic);

    [[nodiscard]] bool is_running() const noexcept { return m_running; }
    [[nodiscard]] boost::asio::ip::tcp::socket& socket() noexcept { return *m_socket; }

  private:
    std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
    std::deque<std::string> m_queue;
    std::size_t m_bytes{}; ///< invariant: sum of the sizes in `m_queue`
    bool m_running{};
};

} // namespace eelgrassrail::detail
