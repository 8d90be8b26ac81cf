/// zlib compression with Boost.Iostreams.
#include <eelgrassrail/peers/packing.hpp>

#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/filter/zlib.hpp>
#include <boost/iostreams/filtering_stream.hpp>

#include <array>

namespace eelgrassrail
{

namespace io = boost::iostreams;

std::string pack(std::string_view bytes)
{
    std::string result;
    io::filtering_ostream out;
    out.push(io::zlib_compressor(io::zlib::best_speed));
    out.push(io::back_inserter(result));
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    out.reset(); // flushes the compressor
    return result;
}

std::optional<std::string> unpack(std::span<const char> packed)
{
    constexpr std::size_t chunk = 16UL * 1024;
    std::string result;
    try
    {
        io::filtering_istream in;
        in.push(io::zlib_decompressor());
        in.push(io::array_source(packed.data(), packed.size()));
        std::array<char, chunk> buf{};
        in.exceptions(std::ios::badbit);
        while (in.good())
        {
            in.read(buf.data(), static_cast<std::streamsize>(buf.size()));
            result.append(buf.data(), static_cast<std::size_t>(in.gcount()));
            if (result.size() > max_unpacked_bytes)
                return std::nullopt;
        }
    }
    catch (const std::ios_base::failure&)
    {
        return std::nullopt; // callers count what they drop
    }
    if (result.empty())
        return std::nullopt;
    return result;
}

} // namespace eelgrassrail
