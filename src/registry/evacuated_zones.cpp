/// Application of changes and listings of evacuations.
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/registry/evacuated_zones.hpp>

#include <algorithm>

namespace eelgrassrail
{

bool evacuated_zones::apply(const zone_evacuation& change, instant now)
{
    const auto [it, is_new] = m_zones.try_emplace(change.zone);
    auto& known = it->second;
    if (!is_new && change.offset <= known.offset)
        return false;
    known.offset = change.offset;
    if (known.is_evacuated == change.is_evacuated)
        return false;
    known.is_evacuated = change.is_evacuated;
    known.changed = now;
    return true;
}

std::vector<std::string> evacuated_zones::apply_listing(std::span<const zone_evacuation> listing,
                                                        std::uint64_t end, instant now)
{
    std::vector<std::string> changed;
    const auto is_from_before = [&](const known_zone& known)
    { return era_of(known.offset) < era_of(end); };
    if (era_of(end) > m_era &&
        std::ranges::any_of(m_zones, is_from_before, &decltype(m_zones)::value_type::second))
        m_listing_due = now + rewriting_time;
    m_era = std::max(m_era, era_of(end));
    if (m_listing_due && now >= *m_listing_due)
        m_listing_due.reset();
    const auto stays = [&](const known_zone& known)
    { return m_listing_due && is_from_before(known); };
    for (const auto& item : listing)
    {
        const auto it = m_zones.find(item.zone);
        if ((it == m_zones.end() || !stays(it->second)) && apply(item, now))
            changed.push_back(item.zone);
    }
    for (auto& [zone, known] : m_zones)
    {
        const bool is_listed =
            std::ranges::find(listing, zone, &zone_evacuation::zone) != listing.end();
        if (!known.is_evacuated || is_listed || known.offset >= end || stays(known))
            continue;
        known = {end - 1, false, now};
        changed.push_back(zone);
    }
    return changed;
}

std::optional<instant> evacuated_zones::since(std::string_view zone) const
{
    const auto it = m_zones.find(zone);
    return it != m_zones.end() && it->second.is_evacuated ? std::optional(it->second.changed)
                                                          : std::nullopt;
}

bool evacuated_zones::may_serve_keys(std::string_view zone, millis move_time, instant now) const
{
    const auto begun = since(zone);
    return !begun || now < *begun + move_time;
}

std::vector<zone_evacuation> evacuated_zones::changes() const
{
    std::vector<zone_evacuation> result;
    result.reserve(m_zones.size());
    std::ranges::transform(
        m_zones, std::back_inserter(result),
        [](const auto& item) {
            return zone_evacuation{item.first, item.second.offset, item.second.is_evacuated};
        });
    return result;
}

std::size_t evacuated_zones::count() const noexcept
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_zones, [](const auto& item) { return item.second.is_evacuated; }));
}

} // namespace eelgrassrail
