/// Range and reference checks of a service specification.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/tickets/service_spec.hpp>

#include <algorithm>
#include <ranges>
#include <string_view>

namespace eelgrassrail
{
namespace
{

constexpr std::uint32_t max_slices = 65'536;
constexpr std::uint32_t max_slots = 1'024;
constexpr std::uint32_t max_connections = 4'096;
constexpr std::uint32_t min_lease_ms = 200;
constexpr std::uint32_t max_lease_ms = 60'000;
constexpr std::uint32_t max_grace_ms = 86'400'000;
constexpr std::uint32_t max_run_ms = 60'000;
constexpr std::uint32_t max_priority = 9;
constexpr std::uint32_t max_weight = 100;
constexpr std::uint32_t max_tenant_limit = 1'000'000;
constexpr std::size_t max_name_bytes = 64;

void require(bool condition, int id, const std::string& path, const std::string& text)
{
    if (!condition)
        throw ticket_error(id, path + ": " + text);
}

void check_range(std::uint32_t value, std::uint32_t min, std::uint32_t max, const std::string& path)
{
    require(value >= min && value <= max, 210, path,
            "must be " + std::to_string(min) + " to " + std::to_string(max) + ", is " +
                std::to_string(value));
}

void check_name(std::string_view name, const std::string& path)
{
    const auto allowed = [](char c)
    { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    require(!name.empty() && name.size() <= max_name_bytes && std::ranges::all_of(name, allowed),
            210, path, "must be 1 to 64 of a-z, 0-9 and '-'");
}

void check_address(const std::string& address, const std::string& path)
{
    const auto colon = address.rfind(':');
    require(colon != std::string::npos && colon > 0 && colon + 1 < address.size(), 210, path,
            "must be HOST:PORT");
}

template <class Range>
void check_unique_names(const Range& items, const std::string& path, auto projection)
{
    std::vector<std::string> names;
    std::ranges::transform(items, std::back_inserter(names), projection);
    std::ranges::sort(names);
    const auto it = std::ranges::adjacent_find(names);
    require(it == names.end(), 211, path,
            "two entries have the name " + (it == names.end() ? "" : *it));
}

void validate_class(const class_spec& spec, const std::string& path)
{
    check_name(spec.name, path + ".name");
    check_range(spec.priority, 0, max_priority, path + ".priority");
    check_range(spec.max_run_ms, 1, max_run_ms, path + ".max_run_ms");
    check_range(spec.queue_ms, 0, max_run_ms, path + ".queue_ms");
    check_range(spec.tenant_limit, 1, max_tenant_limit, path + ".tenant_limit");
}

void validate_worker(const worker_spec& spec, const std::string& path)
{
    check_name(spec.id, path + ".id");
    check_name(spec.zone, path + ".zone");
    check_address(spec.address, path + ".address");
    check_range(spec.weight, 0, max_weight, path + ".weight");
}

} // namespace

void validate(const service_spec& spec, const std::string& path)
{
    check_name(spec.name, path + ".name");
    check_range(spec.slices, 1, max_slices, path + ".slices");
    check_range(spec.slots, 1, max_slots, path + ".slots");
    check_range(spec.connections, spec.slots, max_connections, path + ".connections");
    check_range(spec.lease_ms, min_lease_ms, max_lease_ms, path + ".lease_ms");
    check_range(spec.isolation_grace_ms, spec.lease_ms, max_grace_ms, path + ".isolation_grace_ms");
    require(!spec.classes.empty(), 212, path + ".classes", "a service needs at least one class");
    require(!spec.workers.empty(), 212, path + ".workers", "a service needs at least one worker");
    for (std::size_t n = 0; n < spec.classes.size(); ++n)
        validate_class(spec.classes[n], path + ".classes[" + std::to_string(n) + "]");
    for (std::size_t n = 0; n < spec.workers.size(); ++n)
        validate_worker(spec.workers[n], path + ".workers[" + std::to_string(n) + "]");
    check_unique_names(spec.classes, path + ".classes", &class_spec::name);
    check_unique_names(spec.workers, path + ".workers", &worker_spec::id);

    const auto is_evacuated = [&](const worker_spec& worker)
    { return std::ranges::find(spec.evacuated_zones, worker.zone) != spec.evacuated_zones.end(); };
    for (std::size_t n = 0; n < spec.evacuated_zones.size(); ++n)
    {
        const auto& zone = spec.evacuated_zones[n];
        const bool exists =
            std::ranges::find(spec.workers, zone, &worker_spec::zone) != spec.workers.end();
        require(exists, 212, path + ".evacuated_zones[" + std::to_string(n) + "]",
                "no worker is in the zone " + zone);
    }
    require(std::ranges::any_of(spec.workers, [&](const worker_spec& worker)
                                { return worker.weight > 0 && !is_evacuated(worker); }),
            212, path + ".workers", "at least one worker outside evacuated zones needs a weight");
}

std::uint32_t max_class_run_ms(const service_spec& spec) noexcept
{
    const auto it = std::ranges::max_element(spec.classes, {}, &class_spec::max_run_ms);
    return it == spec.classes.end() ? 0 : it->max_run_ms;
}

const class_spec* find_class(const service_spec& spec, std::string_view name) noexcept
{
    const auto it = std::ranges::find(spec.classes, name, &class_spec::name);
    return it == spec.classes.end() ? nullptr : &*it;
}

} // namespace eelgrassrail
