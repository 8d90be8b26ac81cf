/// The bytes of a record that is appended to a keyed topic of the store.
#pragma once

#include <string>

namespace eelgrassrail::test
{

/// @brief Length in four bytes, length of the key in one, key, value.
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
