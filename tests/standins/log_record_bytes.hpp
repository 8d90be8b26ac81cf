/// Encoding of a record for a keyed topic of the metadata store.
#pragma once

#include <string>

namespace eelgrassrail::test
{

/// @brief Encodes a record: length of the rest (4 bytes, big-endian), key length (1 byte), key,
/// value.
[[nodiscard]] inline std::string log_record_bytes(const std::string& key, const std::string& value)
{
    const auto length = 1 + key.size() + value.size();
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
    text.push_back(static_cast<char>(key.size()));
    return text + key + value;
}

} // namespace eelgrassrail::test
