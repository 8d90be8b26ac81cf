/// Times of the news between the processes. All follow from one interval, so that no size of the
/// deployment makes the interval longer than the silence that it is compared with.
#pragma once

#include <eelgrassrail/core/clock.hpp>

namespace eelgrassrail
{

/// Between two pushes of the coordinator.
constexpr millis push_interval{75};

/// Least time between two pushes: changes that come together travel together.
constexpr millis least_push_gap{40};

/// Least time between two reports of one process.
constexpr millis least_report_gap{60};

/// Time that a relay gives the processes behind it to report, for each level of them.
constexpr millis gather_time{20};

/// A process that has heard nothing for this time reports to the coordinator itself, and is told by
/// it directly. Seven pushes fit in, and one that is late.
constexpr millis orphan_time = push_interval * 26 / 3;

/// A process that the coordinator has not heard of for this time relays nothing. Nine reports
/// fit in, and one that is late.
constexpr millis suspect_time = push_interval * 10;

/// The coordinator is taken for lost after this silence. In half of that time
/// the processes behind a lost relay are told in another way.
constexpr millis push_silence = push_interval * 44 / 3;

} // namespace eelgrassrail
