/// Time limits of the exchange of permits with the coordinator.
#pragma once

#include <eelgrassrail/core/clock.hpp>

namespace eelgrassrail
{

/// Time after which a request for a permit is sent again; datagrams may be lost.
constexpr millis permit_resend_time{80};

/// Time after which the coordinator is considered unreachable.
constexpr millis permit_timeout{200};

/// Time after such a timeout in which a process decides on its own.
constexpr millis permit_pause{500};

} // namespace eelgrassrail
