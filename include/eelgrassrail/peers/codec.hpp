/// Binary encoding of versioned messages, with cereal.
#pragma once

#include <eelgrassrail/peers/serialize.hpp>

#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/stream.hpp>

#include <optional>
#include <span>
#include <sstream>
#include <string>

namespace eelgrassrail
{

/// Version of the message format; messages of any other version are rejected.
constexpr std::uint8_t message_version = 1;

/// @brief Encodes a message.
template <class Message>
[[nodiscard]] std::string write_message(const Message& message)
{
    std::ostringstream out(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message_version, message);
    }
    return std::move(out).str();
}

/// @brief Decodes a message.
/// @return std::nullopt if the bytes are not exactly one message of this version
template <class Message>
[[nodiscard]] std::optional<Message> read_message(std::span<const char> bytes)
{
    try
    {
        boost::iostreams::stream<boost::iostreams::array_source> in(bytes.data(), bytes.size());
        message_length limit{bytes.size()};
        bounded_input archive(limit, in);
        std::uint8_t version = 0;
        archive(version);
        if (version != message_version)
            return std::nullopt;
        Message message;
        archive(message);
        if (in.peek() != std::char_traits<char>::eof())
            return std::nullopt;
        return message;
    }
    catch (const std::exception&)
    {
        // Callers drop and count malformed messages; the kind of damage makes no difference.
        return std::nullopt;
    }
}

} // namespace eelgrassrail
