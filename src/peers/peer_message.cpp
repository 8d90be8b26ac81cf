/// Encoding of peer frames and lease datagrams.
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/peers/peer_message.hpp>

namespace eelgrassrail
{

std::string encode(const peer_frame& frame)
{
    return write_message(frame);
}

std::optional<peer_frame> decode_frame(std::span<const char> bytes)
{
    return bytes.size() > max_frame_bytes ? std::nullopt : read_message<peer_frame>(bytes);
}

std::string encode(const lease_message& message, const std::string& zone)
{
    return write_message(lease_datagram{zone, message});
}

std::optional<lease_datagram> decode_datagram(std::span<const char> bytes)
{
    return read_message<lease_datagram>(bytes);
}

} // namespace eelgrassrail
