/// cereal form of described structs and enumerations, in an order fixed by their description.
#pragma once

#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace eelgrassrail
{

/// @brief Reads or writes all described members.
template <class Archive, class T>
requires boost::describe::has_describe_members<T>::value void serialize(Archive& archive, T& value)
{
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_any_access>>(
        [&](auto entry) { archive(value.*entry.pointer); });
}

} // namespace eelgrassrail
