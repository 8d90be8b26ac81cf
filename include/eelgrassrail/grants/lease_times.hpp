/// How long leases may outlast an ownership record.
#pragma once

#include <eelgrassrail/core/clock.hpp>

namespace eelgrassrail
{

/// Stated in each ownership record, so that any successor knows the leases of all earlier epochs.
struct lease_times
{
    millis earlier{}; ///< after the append of the record: leases granted in earlier epochs
    millis own{};     ///< after the sending of a grant: leases granted in the record's epoch

    bool operator==(const lease_times&) const = default;
};

} // namespace eelgrassrail
