/// cereal codec of peer frames and lease datagrams.
#include <eelgrassrail/peers/peer_message.hpp>
#include <eelgrassrail/peers/serialize.hpp>

#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/stream.hpp>

#include <sstream>

namespace eelgrassrail
{
namespace
{

/// Version of the frames; a peer of another version is not understood.
constexpr std::uint8_t frame_version = 1;

template <class Message>
std::string write(const Message& message)
{
    std::ostringstream out(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(frame_version, message);
    }
    return std::move(out).str();
}

template <class Message>
std::optional<Message> read(std::span<const char> bytes)
{
    try
    {
        boost::iostreams::stream<boost::iostreams::array_source> in(bytes.data(), bytes.size());
        length_bound bound{bytes.size()};
        bounded_input archive(bound, in);
        std::uint8_t version = 0;
        archive(version);
        if (version != frame_version)
            return std::nullopt;
        Message message;
        archive(message);
        if (in.peek() != std::char_traits<char>::eof())
            return std::nullopt;
        return message;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const peer_frame& frame)
{
    return write(frame);
}

std::optional<peer_frame> decode_frame(std::span<const char> bytes)
{
    return bytes.size() > max_frame_bytes ? std::nullopt : read<peer_frame>(bytes);
}

std::string encode(const lease_message& message, const std::string& zone)
{
    return write(lease_datagram{zone, message});
}

std::optional<lease_datagram> decode_datagram(std::span<const char> bytes)
{
    return read<lease_datagram>(bytes);
}

} // namespace eelgrassrail
