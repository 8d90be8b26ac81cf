/// A range of keys and the worker that may hold it.
#pragma once

#include <eelgrassrail/registry/worker_entry.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>

namespace eelgrassrail
{

/// Keys of a divided service are the numbers below this.
constexpr std::uint32_t key_count = 65'536;

/// Consecutive keys with one owner.
struct key_slice
{
    std::uint32_t first{};
    std::uint32_t last{}; ///< inclusive; invariant: first <= last < key_count
    worker_life owner;    ///< an empty id: nobody
    bool is_ready{};      ///< the owner has confirmed its grant; requests may be sent
    worker_life previous; ///< while not ready: who may still hold the keys; an empty id: nobody
    instant changed{};    ///< when this process learned of it; not sent to others

    [[nodiscard]] bool same_state(const key_slice& other) const noexcept
    {
        return owner == other.owner && is_ready == other.is_ready && previous == other.previous;
    }

    bool operator==(const key_slice& other) const noexcept
    {
        return first == other.first && last == other.last && same_state(other);
    }
};
BOOST_DESCRIBE_STRUCT(key_slice, (), (first, last, owner, is_ready, previous))

} // namespace eelgrassrail
