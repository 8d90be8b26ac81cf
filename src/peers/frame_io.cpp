/// Reads and writes length-prefixed frames.
#include <eelgrassrail/peers/detail/frame_io.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <vector>

namespace eelgrassrail::detail
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t max_queued_bytes = 32UL * 1024 * 1024;
constexpr std::size_t prefix_bytes = 4;

} // namespace

std::string add_length_prefix(const std::string& payload)
{
    std::string result(prefix_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(result.data()),
                                 static_cast<std::uint32_t>(payload.size()));
    return result + payload;
}

asio::awaitable<std::optional<peer_frame>> read_frame(tcp::socket& socket, peer_traffic& traffic)
{
    boost::system::error_code ec;
    std::array<unsigned char, prefix_bytes> prefix{};
    co_await asio::async_read(socket, asio::buffer(prefix),
                              asio::redirect_error(asio::use_awaitable, ec));
    const auto length = boost::endian::load_big_u32(prefix.data());
    if (ec.failed() || length > max_frame_bytes)
        co_return std::nullopt;
    std::vector<char> payload(length);
    co_await asio::async_read(socket, asio::buffer(payload),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec.failed())
        co_return std::nullopt;
    traffic.received_bytes += prefix_bytes + length;
    co_return decode_frame(payload);
}

bool frame_writer::enqueue(std::string bytes)
{
    if (m_bytes + bytes.size() > max_queued_bytes)
        return false;
    m_bytes += bytes.size();
    m_queue.push_back(std::move(bytes));
    return true;
}

asio::awaitable<bool> frame_writer::flush(peer_traffic& traffic)
{
    m_running = true;
    boost::system::error_code ec;
    while (!m_queue.empty() && !ec.failed())
    {
        const auto bytes = std::move(m_queue.front());
        m_queue.pop_front();
        m_bytes -= bytes.size();
        traffic.sent_bytes += bytes.size();
        co_await asio::async_write(*m_socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    m_running = false;
    co_return !ec.failed();
}

} // namespace eelgrassrail::detail
