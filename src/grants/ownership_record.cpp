/// Updates of an ownership record.
#include <eelgrassrail/grants/ownership_record.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace eelgrassrail
{
namespace
{

/// Begin of the name that carries the lease times, followed by EARLIER_MS:OWN_MS. Names of services
/// contain no control characters.
constexpr std::string_view lease_times_prefix = "\x01lease_ms=";

/// Begin of the name that carries the time without grants, followed by MS.
constexpr std::string_view grant_hold_prefix = "\x01hold_ms=";

bool has_grant_hold(const service_slices& item)
{
    return item.service.starts_with(grant_hold_prefix);
}

bool has_lease_times(const service_slices& item)
{
    return item.service.starts_with(lease_times_prefix);
}

} // namespace

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

void ownership_record::set_lease_times(const lease_times& times)
{
    std::erase_if(services, has_lease_times);
    services.push_back({std::string(lease_times_prefix) + std::to_string(times.earlier.count()) +
                            ":" + std::to_string(times.own.count()),
                        {}});
}

void ownership_record::set_grant_hold(millis time)
{
    std::erase_if(services, has_grant_hold);
    if (time > millis(0))
        services.push_back({std::string(grant_hold_prefix) + std::to_string(time.count()), {}});
}

millis ownership_record::find_grant_hold() const
{
    const auto it = std::ranges::find_if(services, has_grant_hold);
    if (it == services.end())
        return millis(0);
    const auto text = std::string_view(it->service).substr(grant_hold_prefix.size());
    std::int64_t time = 0;
    std::from_chars(text.data(), text.data() + text.size(), time);
    return millis(std::max<std::int64_t>(time, 0));
}

std::optional<lease_times> ownership_record::find_lease_times() const
{
    const auto it = std::ranges::find_if(services, has_lease_times);
    if (it == services.end())
        return std::nullopt;
    const auto text = std::string_view(it->service).substr(lease_times_prefix.size());
    const auto* const end = text.data() + text.size();
    std::int64_t earlier = -1;
    std::int64_t own = -1;
    const auto first = std::from_chars(text.data(), end, earlier);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != ':')
        return std::nullopt;
    const auto second = std::from_chars(first.ptr + 1, end, own);
    if (second.ec != std::errc() || second.ptr != end || earlier < 0 || own < 0)
        return std::nullopt;
    return lease_times{millis(earlier), millis(own)};
}

} // namespace eelgrassrail
