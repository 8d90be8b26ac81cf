/// Look-up of routes and services.
#include <eelgrassrail/routing/route_table.hpp>

#include <algorithm>

namespace eelgrassrail
{

const route* route_table::find(std::string_view host, std::string_view path) const noexcept
{
    const route* best = nullptr;
    for (const auto& item : routes)
    {
        const bool matches = item.host == host && path.starts_with(item.path_prefix);
        if (matches && (best == nullptr || item.path_prefix.size() > best->path_prefix.size()))
            best = &item;
    }
    return best;
}

const service_settings* route_table::find_service(std::string_view name) const noexcept
{
    const auto it = std::ranges::find(services, name, &service_settings::name);
    return it == services.end() ? nullptr : &*it;
}

} // namespace eelgrassrail
