/// A record of the stream in which workers are registered.
#pragma once

#include <eelgrassrail/registry/worker_entry.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// A worker's entry was added, updated or removed.
struct worker_change
{
    std::string id;
    std::uint64_t offset{}; ///< position in the stream; a higher offset is newer
    bool is_removed{};
    worker_entry entry; ///< unspecified if the entry was removed

    bool operator==(const worker_change&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_change, (), (id, offset, is_removed, entry))

} // namespace eelgrassrail
