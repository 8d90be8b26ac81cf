/// Differences between two desired states.
#include <eelgrassrail/routing/route_check.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <map>
#include <sstream>
#include <string>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// Collects the fields that differ, as "NAME OLD -> NEW".
class field_differences
{
  public:
    template <class Value>
    field_differences& compare(const char* name, const Value& before, const Value& after)
    {
        if (before != after)
            m_out << (m_out.tellp() > 0 ? ", " : "") << name << ' ' << before << " -> " << after;
        return *this;
    }

    [[nodiscard]] std::string text() const { return m_out.str(); }

  private:
    std::ostringstream m_out;
};

std::string weights_of(const route& item)
{
    std::ostringstream out;
    for (const auto& part : item.services)
        out << (out.tellp() > 0 ? "+" : "") << part.service << '*' << part.weight;
    return out.str();
}

std::string differences(const route& before, const route& after)
{
    return field_differences()
        .compare("name", before.name, after.name)
        .compare("services", weights_of(before), weights_of(after))
        .compare("idempotent", before.is_idempotent, after.is_idempotent)
        .compare("priority", before.priority, after.priority)
        .compare("target_latency_ms", before.objective.count(), after.objective.count())
        .compare("timeout_ms", before.timeout.count(), after.timeout.count())
        .compare("max_attempts", before.max_attempts, after.max_attempts)
        .text();
}

std::string differences(const service_settings& before, const service_settings& after)
{
    return field_differences()
        .compare("health_path", before.health_path, after.health_path)
        .compare("max_connections", before.max_connections, after.max_connections)
        .compare("sharded", before.is_sharded, after.is_sharded)
        .compare("cold_per_s", before.cold_per_s, after.cold_per_s)
        .compare("warm_ms", before.warm_up_time.count(), after.warm_up_time.count())
        .text();
}

std::string differences(const route_table& before, const route_table& after)
{
    return field_differences()
        .compare("max_header_bytes", before.max_header_bytes, after.max_header_bytes)
        .compare("max_body_bytes", before.max_body_bytes, after.max_body_bytes)
        .compare("header_timeout_ms", before.header_timeout.count(), after.header_timeout.count())
        .compare("idle_timeout_ms", before.idle_timeout.count(), after.idle_timeout.count())
        .text();
}

/// Entries by what identifies them; of several the first one counts, as in the look-up.
template <class Item>
using entries = std::map<std::string, const Item*>;

entries<route> routes_of(const route_table& table)
{
    entries<route> result;
    for (const auto& item : table.routes)
        result.emplace(item.host + item.path_prefix, &item);
    return result;
}

entries<service_settings> services_of(const route_table& table)
{
    entries<service_settings> result;
    for (const auto& item : table.services)
        result.emplace(item.name, &item);
    return result;
}

struct difference_kinds
{
    finding_kind added;
    finding_kind removed;
    finding_kind changed;
};

template <class Item>
void compare(const entries<Item>& before, const entries<Item>& after, const difference_kinds& kinds,
             std::vector<route_finding>& findings)
{
    for (const auto& [subject, item] : after)
    {
        const auto it = before.find(subject);
        if (it == before.end())
            findings.push_back({kinds.added, subject, item->name});
        else if (auto detail = differences(*it->second, *item); !detail.empty())
            findings.push_back({kinds.changed, subject, std::move(detail)});
    }
    for (const auto& [subject, item] : before)
        if (!after.contains(subject))
            findings.push_back({kinds.removed, subject, item->name});
}

} // namespace

std::vector<route_finding> compare_routes(const route_table& next, const route_table& in_force)
{
    using enum finding_kind;
    std::vector<route_finding> findings;
    if (next.version <= in_force.version)
        findings.push_back(
            {version_not_higher, "version",
             std::to_string(next.version) + ", in force is " + std::to_string(in_force.version)});
    if (auto detail = differences(in_force, next); !detail.empty())
        findings.push_back({limits_changed, "limits", std::move(detail)});
    compare(routes_of(in_force), routes_of(next), {route_added, route_removed, route_changed},
            findings);
    compare(services_of(in_force), services_of(next),
            {service_added, service_removed, service_changed}, findings);
    return findings;
}

} // namespace eelgrassrail
