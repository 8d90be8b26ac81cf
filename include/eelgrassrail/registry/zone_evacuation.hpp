/// A change of the evacuation of an availability zone.
#pragma once

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace eelgrassrail
{

/// The operator requests that nothing more is sent to the workers of a zone, or takes that back.
struct zone_evacuation
{
    std::string zone;
    std::uint64_t offset{}; ///< of the record in the operator's stream
    bool is_evacuated{};

    bool operator==(const zone_evacuation&) const = default;
};
BOOST_DESCRIBE_STRUCT(zone_evacuation, (), (zone, offset, is_evacuated))

} // namespace eelgrassrail
