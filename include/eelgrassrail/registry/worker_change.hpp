/// One record of the stream of worker entries.
#pragma once

#include <eelgrassrail/registry/worker_entry.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// A worker's entry was written or removed.
struct worker_change
{
    std::string id;
    std::uint64_t offset{}; ///< place in the stream; a change with a lower one is older
    bool is_removed{};
    worker_entry entry; ///< meaningless if it was removed

    bool operator==(const worker_change&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_change, (), (id, offset, is_removed, entry))

} // namespace eelgrassrail
