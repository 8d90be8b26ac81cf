/// The registration of a backend server (worker).
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// One incarnation of a worker. A restarted worker with the same id holds none of its earlier keys.
struct worker_incarnation
{
    std::string id;
    std::uint64_t born_ms{}; ///< start time, Unix ms

    auto operator<=>(const worker_incarnation&) const = default;
    bool operator==(const worker_incarnation&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_incarnation, (), (id, born_ms))

/// The registered properties of a worker.
struct worker_entry
{
    worker_incarnation life;
    std::string service;
    std::string address;     ///< IP:PORT
    std::string zone;        ///< availability zone
    std::uint32_t slots{1};  ///< requests that it runs concurrently
    bool is_leaving{};       ///< it is shutting down and accepts no new requests
    std::uint32_t cold_ms{}; ///< warm-up time after the entry was written, in which it is slow

    bool operator==(const worker_entry&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_entry, (), (life, service, address, zone, slots, is_leaving, cold_ms))

} // namespace eelgrassrail
