/// Assignment of slices to ranges of keys.
#include <eelgrassrail/grants/key_map.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// Appends a slice, or extends the last one if it has the same state.
void append(std::vector<key_slice>& slices, const key_slice& slice)
{
    if (!slices.empty() && slices.back().same_state(slice))
        slices.back().last = slice.last;
    else
        slices.push_back(slice);
}

} // namespace

key_map::key_map()
    : m_slices{key_slice{0, key_count - 1, {}, false, {}}}
{
}

void key_map::assign_slice(const key_slice& slice)
{
    if (slice.first > slice.last || slice.last >= key_count)
        return;
    const auto before = std::ranges::upper_bound(m_slices, slice.first, {}, &key_slice::first) - 1;
    const auto after = std::ranges::upper_bound(m_slices, slice.last, {}, &key_slice::first) - 1;
    // The adjacent slices are included, as they may have the same state and are then merged.
    const auto begin = before == m_slices.begin() ? before : before - 1;
    const auto end = after + 1 == m_slices.end() ? after + 1 : after + 2;
    std::vector<key_slice> pieces;
    if (begin != before)
        pieces.push_back(*begin);
    if (before->first < slice.first)
    {
        append(pieces, *before);
        pieces.back().last = slice.first - 1;
    }
    append(pieces, slice);
    if (after->last > slice.last)
    {
        auto tail = *after;
        tail.first = slice.last + 1;
        append(pieces, tail);
    }
    if (end != after + 1)
        append(pieces, *(after + 1));
    const auto reused = std::min(pieces.size(), static_cast<std::size_t>(end - begin));
    const auto middle = pieces.begin() + static_cast<std::ptrdiff_t>(reused);
    const auto at = std::move(pieces.begin(), middle, begin);
    if (at != end)
        m_slices.erase(at, end);
    else
        m_slices.insert(at, middle, pieces.end());
}

const key_slice& key_map::find(std::uint32_t key) const noexcept
{
    const auto it = std::ranges::upper_bound(m_slices, key, {}, &key_slice::first);
    return *std::prev(it);
}

std::vector<key_slice> key_map::owned_by(const worker_incarnation& owner) const
{
    std::vector<key_slice> result;
    std::ranges::copy_if(m_slices, std::back_inserter(result),
                         [&](const key_slice& slice) { return slice.owner == owner; });
    return result;
}

} // namespace eelgrassrail
