/// cereal serialization of described structs: all members, in the order of their description.
///
/// The length of each string and list is checked against the length of the whole message before
/// memory is allocated, so a corrupted length can not exhaust the memory.
#pragma once

#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
// cereal provides UserDataAdapter only if this macro is defined.
#define CEREAL_FUTURE_EXPERIMENTAL
#include <cereal/archives/adapters.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <stdexcept>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Length of the message being read, as an upper limit on the lengths inside it; attached to the
/// archive as user data.
struct message_length
{
    std::uint64_t bytes{};
};

/// Input archive with the length of its message.
using bounded_input = cereal::UserDataAdapter<message_length, cereal::PortableBinaryInputArchive>;

/// @brief Reads or writes the length of a container; reading also resizes the container.
/// @throws std::length_error if the length read exceeds the length of the message
template <class Archive, class Container>
void transfer_length(Archive& archive, Container& value)
{
    auto length = static_cast<std::uint64_t>(value.size());
    archive(length);
    if constexpr (Archive::is_loading::value)
    {
        if (length > cereal::get_user_data<message_length>(archive).bytes)
            throw std::length_error("container length exceeds the message length");
        value.resize(length);
    }
}

template <class Archive, class T>
void transfer(Archive& archive, T& value)
{
    archive(value);
}

template <class Archive>
void transfer(Archive& archive, std::string& value)
{
    transfer_length(archive, value);
    archive(cereal::binary_data(value.data(), value.size()));
}

template <class Archive, class T>
void transfer(Archive& archive, std::vector<T>& value)
{
    transfer_length(archive, value);
    for (auto& item : value)
        transfer(archive, item);
}

/// @brief Reads or writes all described members of a struct.
template <class Archive, class T>
requires boost::describe::has_describe_members<T>::value void serialize(Archive& archive, T& value)
{
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_any_access>>(
        [&](auto entry) { transfer(archive, value.*entry.pointer); });
}

} // namespace eelgrassrail
