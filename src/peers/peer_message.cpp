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

template <class... Parts>
std::string write(const Parts&... parts)
{
    std::ostringstream out(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(frame_version, parts...);
    }
    return std::move(out).str();
}

template <class... Parts>
bool read(std::span<const char> bytes, Parts&... parts)
{
    try
    {
        boost::iostreams::stream<boost::iostreams::array_source> in(bytes.data(), bytes.size());
        cereal::PortableBinaryInputArchive archive(in);
        std::uint8_t version = 0;
        archive(version);
        if (version != frame_version)
            return false;
        archive(parts...);
        return in.peek() == std::char_traits<char>::eof();
    }
    catch (const std::exception&)
    {
        return false;
    }
}

} // namespace

std::string encode(const peer_frame& frame)
{
    return write(frame);
}

std::optional<peer_frame> decode_frame(std::span<const char> bytes)
{
    peer_frame frame;
    if (bytes.size() > max_frame_bytes || !read(bytes, frame))
        return std::nullopt;
    return frame;
}

std::string encode(const lease_message& message, const std::string& zone)
{
    return write(zone, message);
}

std::optional<lease_datagram> decode_datagram(std::span<const char> bytes)
{
    lease_datagram result;
    if (!read(bytes, result.from_zone, result.body))
        return std::nullopt;
    return result;
}

} // namespace eelgrassrail
