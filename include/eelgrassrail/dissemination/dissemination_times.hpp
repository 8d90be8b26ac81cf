/// Intervals and time-outs of the dissemination of state updates. Time-outs are multiples of one
/// push interval, which does not depend on the size of the deployment, so the interval can never
/// exceed them.
#pragma once

#include <eelgrassrail/core/clock.hpp>

namespace eelgrassrail
{

/// Time between two periodic pushes of the coordinator.
constexpr millis push_interval{75};

/// Minimum time between two pushes, so that changes close to each other are sent together.
constexpr millis min_push_interval{40};

/// Minimum time between two reports of one process.
constexpr millis min_report_interval{60};

/// Time that a relay waits for the reports of the processes behind it, per level of the tree.
constexpr millis gather_timeout{20};

/// A process that has received no push for this time reports to the coordinator directly, and
/// pushes are then sent to it directly. Covers seven pushes and a late one.
constexpr millis orphan_timeout = push_interval * 26 / 3;

/// A process without a report to the coordinator for this time is not used as a relay. Covers nine
/// reports and a late one.
constexpr millis suspect_timeout = push_interval * 10;

/// Time without a push after which the coordinator is considered lost. Processes behind a lost
/// relay get pushes on another path within half of that time.
constexpr millis push_timeout = push_interval * 44 / 3;

} // namespace eelgrassrail
