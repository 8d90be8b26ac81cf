/// Updates of an ownership record.
#include <eelgrassrail/grants/ownership_record.hpp>

#include <algorithm>

namespace eelgrassrail
{

void ownership_record::assign_slice(const std::string& service, const key_slice& slice)
{
    auto it = std::ranges::find(services, service, &service_slices::service);
    if (it == services.end())
        it = services.insert(services.end(), {service, {}});
    key_map map;
    for (const auto& old : it->slices)
        map.assign_slice(old);
    map.assign_slice(slice);
    it->slices.assign(map.slices().begin(), map.slices().end());
}

} // namespace eelgrassrail
