/// cereal form of described structs, in the order of their description.
///
/// The length of each string and list is checked against the length of the whole message before
/// memory is taken for it, so a damaged length can not exhaust the memory.
#pragma once

#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
// cereal offers its archive adapters only under this name.
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

/// Longest string or list that a message may hold; passed along with the archive.
struct length_bound
{
    std::uint64_t bytes{};
};

/// Archive that reads a message and knows its length.
using bounded_input = cereal::UserDataAdapter<length_bound, cereal::PortableBinaryInputArchive>;

/// @brief Reads or writes the length of a container.
/// @throws std::length_error if it is longer than the message
template <class Archive, class Container>
void transfer_length(Archive& archive, Container& value)
{
    auto length = static_cast<std::uint64_t>(value.size());
    archive(length);
    if constexpr (Archive::is_loading::value)
    {
        if (length > cereal::get_user_data<length_bound>(archive).bytes)
            throw std::length_error("a length is longer than its message");
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

/// @brief Reads or writes all described members.
template <class Archive, class T>
requires boost::describe::has_describe_members<T>::value void serialize(Archive& archive, T& value)
{
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_any_access>>(
        [&](auto entry) { transfer(archive, value.*entry.pointer); });
}

} // namespace eelgrassrail
