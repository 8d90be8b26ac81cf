/// What a backend server says of itself.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// One life of a worker. The same id with another start holds nothing of before.
struct worker_life
{
    std::string id;
    std::uint64_t born_ms{}; ///< Unix ms of the start

    auto operator<=>(const worker_life&) const = default;
    bool operator==(const worker_life&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_life, (), (id, born_ms))

/// A worker's newest entry.
struct worker_entry
{
    worker_life life;
    std::string service;
    std::string address; ///< IP:PORT
    std::string zone;
    std::uint32_t slots{1};  ///< requests that it runs at a time
    bool is_leaving{};       ///< it takes no new work
    std::uint32_t cold_ms{}; ///< it stays slow for this long after the entry was written

    bool operator==(const worker_entry&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_entry, (), (life, service, address, zone, slots, is_leaving, cold_ms))

} // namespace eelgrassrail
