/// JSON form of log records.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/core/json_reader.hpp>
#include <eelgrassrail/tickets/log_record.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/mp11/algorithm.hpp>

#include <algorithm>
#include <array>

namespace eelgrassrail
{
namespace
{

/// Names of the record kinds, in the order of `log_record::body_type`.
constexpr std::array<std::string_view, std::variant_size_v<log_record::body_type>> kind_names{
    "ticket",      "claim",      "activation",    "handover",
    "appointment", "resumption", "slice_release", "snapshot"};

boost::json::value parse_json(std::string_view text)
{
    if (text.size() > max_record_bytes)
        throw ticket_error(220,
                           "document: longer than " + std::to_string(max_record_bytes) + " bytes");
    boost::json::error_code ec;
    auto value = boost::json::parse({text.data(), text.size()}, ec);
    if (ec.failed())
        throw ticket_error(221, "document: not valid JSON: " + ec.message());
    return value;
}

const boost::json::value& field(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains({name.data(), name.size()});
    if (value == nullptr)
        throw ticket_error(201, std::string(name) + ": this field is missing");
    return *value;
}

log_record::body_type read_body(std::string_view kind, const boost::json::value& value)
{
    const auto it = std::ranges::find(kind_names, kind);
    if (it == kind_names.end())
        throw ticket_error(222, "kind: unknown record kind " + std::string(kind));
    return boost::mp11::mp_with_index<kind_names.size()>(
        static_cast<std::size_t>(it - kind_names.begin()),
        [&](auto n)
        {
            using body = std::variant_alternative_t<n, log_record::body_type>;
            return log_record::body_type(json_reader("body").read<body>(value));
        });
}

} // namespace

std::string encode(const log_record& record)
{
    boost::json::object object;
    object["version"] = record_version;
    object["kind"] = kind_names[record.body.index()];
    object["id"] = record.id;
    object["body"] =
        std::visit([](const auto& body) { return boost::json::value_from(body); }, record.body);
    auto text = boost::json::serialize(object);
    if (text.size() > max_record_bytes)
        throw ticket_error(220,
                           "document: longer than " + std::to_string(max_record_bytes) + " bytes");
    return text;
}

log_record decode_record(std::string_view text)
{
    const auto value = parse_json(text);
    const auto* object = value.if_object();
    if (object == nullptr)
        throw ticket_error(203, "document: expected an object");
    const auto version = json_reader("version").read<std::uint64_t>(field(*object, "version"));
    if (version != record_version)
        throw ticket_error(222, "version: " + std::to_string(version) + " is not supported");
    const auto kind = json_reader("kind").read<std::string>(field(*object, "kind"));
    log_record record;
    record.id = json_reader("id").read<std::string>(field(*object, "id"));
    record.body = read_body(kind, field(*object, "body"));
    return record;
}

ticket decode_ticket_file(std::string_view text)
{
    auto value = parse_json(text);
    if (auto* object = value.if_object(); object != nullptr)
    {
        if (object->contains("base"))
            throw ticket_error(202, "base: give the base with --base, not in the file");
        (*object)["base"] = 0;
    }
    auto result = json_reader().read<ticket>(value);
    validate(result);
    return result;
}

void validate(const ticket& value)
{
    constexpr std::size_t max_text_bytes = 256;
    if (value.author.empty() || value.author.size() > max_text_bytes)
        throw ticket_error(210, "author: must be 1 to 256 bytes");
    if (value.reason.empty() || value.reason.size() > max_text_bytes)
        throw ticket_error(210, "reason: must be 1 to 256 bytes");
    if (value.services.empty() && value.removed_services.empty())
        throw ticket_error(212, "services: the ticket changes nothing");
    std::vector<std::string> names = value.removed_services;
    for (std::size_t n = 0; n < value.services.size(); ++n)
    {
        validate(value.services[n], "services[" + std::to_string(n) + "]");
        names.push_back(value.services[n].name);
    }
    std::ranges::sort(names);
    const auto it = std::ranges::adjacent_find(names);
    if (it != names.end())
        throw ticket_error(211, "services: the service " + *it + " stands twice");
}

} // namespace eelgrassrail
