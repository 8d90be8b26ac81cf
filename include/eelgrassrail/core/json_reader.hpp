/// Strict deserialization of JSON into structs described with Boost.Describe.
///
/// Every member must be present and unknown fields are rejected. Errors name the field by its path,
/// such as `services[0].workers[3].weight`.
#pragma once

#include <eelgrassrail/core/exception.hpp>

#include <boost/describe/enum_from_string.hpp>
#include <boost/describe/members.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <boost/mp11/algorithm.hpp>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Types whose members are listed with BOOST_DESCRIBE_STRUCT.
template <class T>
concept described_struct = boost::describe::has_describe_members<T>::value;

/// Enumerations listed with BOOST_DESCRIBE_ENUM.
template <class T>
concept described_enum = boost::describe::has_describe_enumerators<T>::value;

/// Deserializes a JSON value; keeps the path of the current field for error messages.
class json_reader
{
  public:
    /// @brief Creates a reader at the root of a document.
    /// @param root name of the root in error messages; if empty, shown as `document`
    explicit json_reader(std::string root = {})
        : m_path(std::move(root))
    {
    }

    /// @brief Converts a JSON value to T.
    /// @throws ticket_error 201 if a field is missing; 202 if a field is unknown or duplicated;
    ///         203 if a value has the wrong type or is out of range
    template <class T>
    [[nodiscard]] T read(const boost::json::value& value) const
    {
        T result{};
        read_into(value, result);
        return result;
    }

  private:
    [[noreturn]] void fail(int id, const std::string& text) const
    {
        throw ticket_error(id, (m_path.empty() ? "document" : m_path) + ": " + text);
    }

    [[nodiscard]] json_reader member(std::string_view name) const
    {
        return json_reader(m_path.empty() ? std::string(name) : m_path + "." + std::string(name));
    }

    [[nodiscard]] json_reader element(std::size_t n) const
    {
        return json_reader(m_path + "[" + std::to_string(n) + "]");
    }

    void read_into(const boost::json::value& value, bool& result) const
    {
        if (!value.is_bool())
            fail(203, "expected true or false");
        result = value.get_bool();
    }

    void read_into(const boost::json::value& value, std::string& result) const
    {
        if (!value.is_string())
            fail(203, "expected a string");
        result = value.get_string();
    }

    template <std::unsigned_integral T>
    void read_into(const boost::json::value& value, T& result) const
    {
        boost::json::error_code ec;
        const auto number = value.to_number<std::uint64_t>(ec);
        if (ec.failed() || number > std::numeric_limits<T>::max())
            fail(203, "expected a whole number from 0 to " +
                          std::to_string(std::numeric_limits<T>::max()));
        result = static_cast<T>(number);
    }

    template <described_enum T>
    void read_into(const boost::json::value& value, T& result) const
    {
        const auto* name = value.if_string();
        if (name == nullptr || !boost::describe::enum_from_string(name->c_str(), result))
            fail(203, "expected one of " + enumerators<T>());
    }

    template <class T>
    void read_into(const boost::json::value& value, std::optional<T>& result) const
    {
        if (value.is_null())
            result.reset();
        else
            result = read<T>(value);
    }

    template <class T>
    void read_into(const boost::json::value& value, std::vector<T>& result) const
    {
        const auto* items = value.if_array();
        if (items == nullptr)
            fail(203, "expected a list");
        result.reserve(items->size());
        for (std::size_t n = 0; n < items->size(); ++n)
            result.push_back(element(n).read<T>((*items)[n]));
    }

    template <described_struct T>
    void read_into(const boost::json::value& value, T& result) const
    {
        const auto* object = value.if_object();
        if (object == nullptr)
            fail(203, "expected an object");
        std::size_t known = 0;
        boost::mp11::mp_for_each<
            boost::describe::describe_members<T, boost::describe::mod_any_access>>(
            [&](auto entry)
            {
                const auto* field = object->if_contains(entry.name);
                if (field == nullptr)
                    member(entry.name).fail(201, "this field is missing");
                member(entry.name).read_into(*field, result.*entry.pointer);
                ++known;
            });
        if (known != object->size())
            fail_unknown<T>(*object);
    }

    template <described_struct T>
    [[noreturn]] void fail_unknown(const boost::json::object& object) const
    {
        for (const auto& field : object)
        {
            bool found = false;
            boost::mp11::mp_for_each<
                boost::describe::describe_members<T, boost::describe::mod_any_access>>(
                [&](auto entry) { found = found || field.key() == entry.name; });
            if (!found)
                member(field.key()).fail(202, "this field is unknown");
        }
        fail(202, "duplicate field");
    }

    template <described_enum T>
    static std::string enumerators()
    {
        std::string names;
        boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(
            [&](auto entry) { names += std::string(names.empty() ? "" : ", ") + entry.name; });
        return names;
    }

    std::string m_path; ///< invariant: path of the value being read
};

} // namespace eelgrassrail
