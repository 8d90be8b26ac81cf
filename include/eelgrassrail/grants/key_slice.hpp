/// A range of keys and the worker that owns it.
#pragma once

#include <eelgrassrail/registry/worker_entry.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>

namespace eelgrassrail
{

/// Number of keys of a sharded service; keys are the numbers below it.
constexpr std::uint32_t key_count = 65'536;

/// Consecutive keys with one owner.
struct key_slice
{
    std::uint32_t first{};
    std::uint32_t last{};     ///< inclusive; invariant: first <= last < key_count
    worker_incarnation owner; ///< an empty id: none
    bool is_ready{};          ///< the owner has confirmed its grant; requests may be sent
    /// While not ready: worker that may still hold the keys; an empty id: none.
    worker_incarnation previous;
    instant changed{}; ///< when this process learned of the state; not sent to others

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
