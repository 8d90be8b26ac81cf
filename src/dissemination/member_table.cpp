/// Order of relays by evidence and processor time.
#include <eelgrassrail/dissemination/member_table.hpp>
#include <eelgrassrail/dissemination/news_times.hpp>

#include <tuple>

namespace eelgrassrail
{
namespace
{

/// A process that has not reported for this time does not count as living any more.
constexpr millis member_lifetime{5'000};

/// A process that is started again at the address of one that has ended hears of the state from the
/// coordinator, also while the store is away. A restart takes some seconds.
constexpr millis restart_time{30'000};

/// Up to this number of members each of them is told directly.
constexpr std::size_t most_direct = 16;

/// Relays of each availability zone: the loss of one leaves half of the zone.
constexpr std::size_t zone_relays = 2;

/// Orphans that are told directly with one push; more of them wait behind relays.
constexpr std::size_t most_orphans = 24;

/// Those that relay first, by evidence, processor time and address.
using ranked_member = std::tuple<bool, float, std::string>;

/// Puts others of the members that may relay first.
void rotate_sound(std::vector<ranked_member>& members)
{
    constexpr std::size_t relays = zone_relays * (1 + relay_degree); // of the first two levels
    const auto end =
        std::ranges::find(members, true, [](const auto& it) { return std::get<0>(it); });
    const auto sound = static_cast<std::size_t>(end - members.begin());
    const auto shift = sound >= 2 * relays ? relays : std::min(zone_relays, sound);
    std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(shift), end);
}

} // namespace

void member_table::add(const news_member& member, instant now)
{
    auto& known = m_known[member.address];
    known.member = member;
    known.heard = now;
}

bool member_table::on_sight(const member_sight& sight, instant now)
{
    const bool is_new = !m_known.contains(sight.member.address);
    auto& known = m_known[sight.member.address];
    known.member = sight.member;
    known.heard = now;
    known.has_left = sight.is_leaving;
    known.orphan_since = sight.is_orphan ? now : instant{};
    return is_new;
}

void member_table::forget_silent(instant now)
{
    std::erase_if(m_known,
                  [now](const auto& item) { return item.second.heard < now - restart_time; });
}

std::vector<news_member> member_table::living(instant now) const
{
    std::vector<news_member> result;
    for (const auto& [address, known] : m_known)
        if (!known.has_left && known.heard >= now - member_lifetime)
            result.push_back(known.member);
    std::ranges::stable_sort(result, std::greater{}, &news_member::processor);
    return result;
}

std::vector<relay_part<std::string>> member_table::plan(relay_choice choice, instant now) const
{
    std::vector<relay_part<std::string>> parts;
    if (m_known.size() <= most_direct)
    {
        for (const auto& [address, known] : m_known)
            parts.push_back({address, {}});
        return parts;
    }
    std::map<std::string_view, std::vector<ranked_member>> zones;
    for (const auto& [address, known] : m_known)
    {
        const bool is_suspect = known.has_left || known.heard < now - suspect_time;
        const bool is_orphan =
            known.orphan_since != instant{} && known.orphan_since >= now - suspect_time;
        if (is_orphan && parts.size() < most_orphans)
            parts.push_back({address, {}});
        else
            zones[known.member.zone].emplace_back(is_suspect, -known.member.processor, address);
    }
    for (auto& [zone, members] : zones)
    {
        std::ranges::sort(members);
        if (choice == relay_choice::other)
            rotate_sound(members);
        std::vector<std::string> receivers;
        std::ranges::transform(members, std::back_inserter(receivers),
                               [](const ranked_member& it) { return std::get<std::string>(it); });
        for (auto& part : divide_receivers(std::span<const std::string>(receivers), zone_relays))
            parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace eelgrassrail
