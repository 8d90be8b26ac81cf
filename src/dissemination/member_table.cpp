/// Selection of relays by liveness and processor time.
#include <eelgrassrail/dissemination/dissemination_times.hpp>
#include <eelgrassrail/dissemination/member_table.hpp>

#include <tuple>

namespace eelgrassrail
{
namespace
{

/// A process without reports for this time no longer counts as live.
constexpr millis liveness_timeout{5'000};

/// Retention of silent members: a process restarted at the address of one that has ended then gets
/// the state from the coordinator, even while the store is unavailable. A restart takes some
/// seconds.
constexpr millis silent_retention{30'000};

/// Up to this number of members, pushes are sent to each of them directly.
constexpr std::size_t max_direct_members = 16;

/// Relays of each availability zone: after the loss of one, half of the zone still gets the push.
constexpr std::size_t zone_relays = 2;

/// Maximum number of orphans that one push is sent to directly; the others remain behind relays.
constexpr std::size_t max_direct_orphans = 24;

/// Sort key for the choice of relays: is suspect, negated processor time, address.
using ranked_member = std::tuple<bool, float, std::string>;

/// Rotates the members that may relay, so that others of them become relays.
void rotate_relays(std::vector<ranked_member>& members)
{
    constexpr std::size_t relays = zone_relays * (1 + relay_degree); // on the first two levels
    const auto end =
        std::ranges::find(members, true, [](const auto& it) { return std::get<0>(it); });
    const auto healthy = static_cast<std::size_t>(end - members.begin());
    const auto shift = healthy >= 2 * relays ? relays : std::min(zone_relays, healthy);
    std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(shift), end);
}

} // namespace

void member_table::add(const cluster_member& member, instant now)
{
    auto& known = m_known[member.address];
    known.member = member;
    known.last_seen = now;
}

bool member_table::on_member_report(const member_report& report, instant now)
{
    const bool is_new = !m_known.contains(report.member.address);
    auto& known = m_known[report.member.address];
    known.member = report.member;
    known.last_seen = now;
    known.has_left = report.is_leaving;
    known.orphan_since = report.is_orphan ? now : instant{};
    return is_new;
}

void member_table::remove_expired(instant now)
{
    std::erase_if(m_known, [now](const auto& item)
                  { return item.second.last_seen < now - silent_retention; });
}

std::vector<cluster_member> member_table::live_members(instant now) const
{
    std::vector<cluster_member> result;
    for (const auto& [address, known] : m_known)
        if (!known.has_left && known.last_seen >= now - liveness_timeout)
            result.push_back(known.member);
    std::ranges::stable_sort(result, std::greater{}, &cluster_member::processor);
    return result;
}

std::vector<relay_part<std::string>> member_table::plan(relay_choice choice, instant now) const
{
    std::vector<relay_part<std::string>> parts;
    if (m_known.size() <= max_direct_members)
    {
        for (const auto& [address, known] : m_known)
            parts.push_back({address, {}});
        return parts;
    }
    std::map<std::string_view, std::vector<ranked_member>> zones;
    for (const auto& [address, known] : m_known)
    {
        const bool is_suspect = known.has_left || known.last_seen < now - suspect_timeout;
        const bool is_orphan =
            known.orphan_since != instant{} && known.orphan_since >= now - suspect_timeout;
        if (is_orphan && parts.size() < max_direct_orphans)
            parts.push_back({address, {}});
        else
            zones[known.member.zone].emplace_back(is_suspect, -known.member.processor, address);
    }
    for (auto& [zone, members] : zones)
    {
        std::ranges::sort(members);
        if (choice == relay_choice::other)
            rotate_relays(members);
        std::vector<std::string> receivers;
        std::ranges::transform(members, std::back_inserter(receivers),
                               [](const ranked_member& it) { return std::get<std::string>(it); });
        for (auto& part : divide_receivers(std::span<const std::string>(receivers), zone_relays))
            parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace eelgrassrail
