/// Applies lease events to ranges of keys and collects overlaps.
#include "hold_check.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <sstream>

namespace eelgrassrail::test
{
namespace
{

constexpr std::int64_t us_in_ms = 1'000;

/// Grants of one call that cause several cases are one case if their begins are this close: a move
/// of neighbouring ranges is several calls.
constexpr std::int64_t same_case_us = 100 * us_in_ms;

std::string describe(const hold_event& event)
{
    std::ostringstream out;
    out << event.life << " (epoch " << epoch_of(event.fence) << ", token " << event.fence
        << ", arrived " << event.arrived_us << ", taken " << event.at_us << ", until "
        << event.until_us << ')';
    return out.str();
}

} // namespace

std::string to_text(const hold_case& item)
{
    std::ostringstream out;
    out << "hold: keys " << item.first << '-' << item.last;
    if (item.is_overlap)
        out << " held by two workers for " << (item.to_us - item.from_us) / us_in_ms << " ms from "
            << item.from_us << ": ";
    else
        out << " taken with a token not above the other's: ";
    out << describe(item.earlier) << " and " << describe(item.later);
    if (!item.excluded.empty())
        out << " [not counted: " << item.excluded << ']';
    return out.str();
}

hold_check::hold_check(exclusion why_excluded)
    : m_why_excluded(std::move(why_excluded))
{
}

void hold_check::split(std::uint32_t at)
{
    const auto it = std::prev(m_ranges.upper_bound(at));
    if (it->first != at)
        m_ranges.emplace(at, it->second);
}

void hold_check::add(const hold_event& event)
{
    if (event.kind == hold_kind::refusal || event.kind == hold_kind::release)
        return;
    if (event.kind == hold_kind::end)
    {
        for (auto& [first, holds] : m_ranges)
            if (const auto it = holds.find(event.life); it != holds.end())
            {
                it->second.until_us = std::min(it->second.until_us, event.at_us);
                it->second.counted_us = std::min(it->second.counted_us, event.at_us);
            }
        for (auto& item : m_cases)
            if (item.earlier.life == event.life || item.later.life == event.life)
                item.to_us = std::min(item.to_us, std::max(item.from_us, event.at_us));
        return;
    }
    split(event.first);
    split(event.last + 1);
    std::string why;
    if (event.kind != hold_kind::released)
        why = event.was_late   ? "taken late"
              : m_why_excluded ? m_why_excluded(event)
                               : std::string();
    const auto end = m_ranges.lower_bound(event.last + 1);
    for (auto it = m_ranges.lower_bound(event.first); it != end; ++it)
    {
        const auto last = std::next(it) == m_ranges.end()
                              ? std::numeric_limits<std::uint32_t>::max()
                              : std::next(it)->first - 1;
        if (event.kind != hold_kind::released)
        {
            apply_grant(event, why, it->first, last, it->second);
            continue;
        }
        // A grant that arrived after the release is not ended by its answer.
        const auto found = it->second.find(event.life);
        if (found == it->second.end() || found->second.last.at_us > event.arrived_us)
            continue;
        found->second.until_us = std::min(found->second.until_us, event.at_us);
        found->second.counted_us = std::min(found->second.counted_us, event.at_us);
        for (auto& item : m_cases)
            if (item.first >= event.first && item.last <= event.last &&
                (item.earlier.life == event.life || item.later.life == event.life))
                item.to_us = std::min(item.to_us, std::max(item.from_us, event.at_us));
    }
}

void hold_check::apply_grant(const hold_event& event, const std::string& why, std::uint32_t first,
                             std::uint32_t last, range& holds)
{
    const auto own = holds.find(event.life);
    const bool is_same = own != holds.end() && own->second.last.fence == event.fence;
    for (const auto& [life, other] : holds)
    {
        if (life == event.life)
            continue;
        hold_case item{true,       why,   first,       last,
                       other.last, event, event.at_us, std::min(other.until_us, event.until_us)};
        if (other.until_us > event.at_us)
        {
            if (why.empty() && other.counted_us <= event.at_us)
                item.excluded = "the other's last renewal was held up or taken late";
            add_overlap(item);
        }
        if (!is_same && other.max_fence >= event.fence)
        {
            item.is_overlap = false;
            m_cases.push_back(item);
        }
    }
    auto& own_hold = holds[event.life];
    own_hold.last = event;
    own_hold.until_us = std::max(own_hold.until_us, event.until_us);
    if (why.empty())
        own_hold.counted_us = std::max(own_hold.counted_us, event.until_us);
    own_hold.max_fence = std::max(own_hold.max_fence, event.fence);
}

/// Extends the last case of the two workers if this is the same overlap at more keys or later.
void hold_check::add_overlap(hold_case item)
{
    const auto lives = std::minmax(item.earlier.life, item.later.life);
    const auto [it, is_new] = m_last_case.try_emplace({lives.first, lives.second}, m_cases.size());
    if (!is_new)
    {
        auto& known = m_cases[it->second];
        const bool is_neighbour = item.first <= known.last + 1 && item.last + 1 >= known.first;
        if (known.excluded == item.excluded && item.from_us <= known.to_us + same_case_us &&
            is_neighbour)
        {
            known.first = std::min(known.first, item.first);
            known.last = std::max(known.last, item.last);
            known.to_us = std::max(known.to_us, item.to_us);
            return;
        }
        it->second = m_cases.size();
    }
    m_cases.push_back(std::move(item));
}

std::vector<std::string> hold_check::violations() const
{
    std::vector<std::string> texts;
    for (const auto& item : m_cases)
        if (item.excluded.empty())
            texts.push_back(to_text(item));
    return texts;
}

std::vector<std::string> hold_check::excluded() const
{
    std::vector<std::string> texts;
    for (const auto& item : m_cases)
        if (!item.excluded.empty())
            texts.push_back(to_text(item));
    return texts;
}

std::string check_holds(hold_journal events)
{
    std::ranges::stable_sort(events, {}, &hold_event::at_us);
    hold_check check;
    for (const auto& event : events)
        check.add(event);
    std::string text;
    for (const auto& line : check.violations())
        text += line + '\n';
    return text;
}

} // namespace eelgrassrail::test
