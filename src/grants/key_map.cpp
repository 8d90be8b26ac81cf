/// Painting of ranges.
#include <eelgrassrail/grants/key_map.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// Appends a slice, or lengthens the last one if it has the same state.
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

void key_map::paint(const key_slice& slice)
{
    if (slice.first > slice.last || slice.last >= key_count)
        return;
    std::vector<key_slice> result;
    result.reserve(m_slices.size() + 2);
    for (const auto& old : m_slices)
    {
        if (old.first < slice.first)
        {
            auto head = old;
            head.last = std::min(old.last, slice.first - 1);
            append(result, head);
        }
        if (old.first <= slice.last && old.last >= slice.last)
            append(result, slice);
        if (old.last > slice.last)
        {
            auto tail = old;
            tail.first = std::max(old.first, slice.last + 1);
            append(result, tail);
        }
    }
    m_slices = std::move(result);
}

const key_slice& key_map::find(std::uint32_t key) const noexcept
{
    const auto it = std::ranges::upper_bound(m_slices, key, {}, &key_slice::first);
    return *std::prev(it);
}

std::vector<key_slice> key_map::owned_by(const worker_life& owner) const
{
    std::vector<key_slice> result;
    std::ranges::copy_if(m_slices, std::back_inserter(result),
                         [&](const key_slice& slice) { return slice.owner == owner; });
    return result;
}

} // namespace eelgrassrail
