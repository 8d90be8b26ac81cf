/// Plans which keys move to which worker.
///
/// Designed for load in which adjacent keys receive a third or more of all requests for a few
/// seconds, and for workers of different speed. Slices are split by measured load, down to single
/// keys.
#pragma once

#include <eelgrassrail/grants/key_load.hpp>
#include <eelgrassrail/grants/key_map.hpp>

#include <span>
#include <vector>

namespace eelgrassrail
{

/// A worker that may own keys.
struct key_worker
{
    worker_incarnation incarnation;
    double capacity{1.0};  ///< requests per second that keep all slots busy; positive
    bool may_change{true}; ///< false: its keys stay and it gets no others
};

/// A range of keys to be given a new owner.
struct planned_move
{
    std::uint32_t first{};
    std::uint32_t last{};      ///< inclusive
    worker_incarnation source; ///< previous owner; an empty id: none
    worker_incarnation target;
};

/// Limits of one plan.
struct balance_limits
{
    double low_utilization{0.7}; ///< utilization below which requests hardly queue and no load is
                                 ///< moved off, except to a worker without any load
    double tolerance{0.25};      ///< relative excess over its fair share that a worker may carry
    double min_gain{1.0};        ///< load that a move must shift, in requests per second
    std::size_t moves{4};        ///< maximum number of moves between live workers in one plan
};

/// @brief Assigns keys without a live owner to workers below their fair share, and moves load from
/// the most to the least utilized workers.
/// @param map slices that are not ready are already being moved and stay as they are
/// @param workers all workers that may own keys
/// @return an empty plan if there are no workers
[[nodiscard]] std::vector<planned_move> plan_key_moves(const key_map& map, const key_load& load,
                                                       std::span<const key_worker> workers,
                                                       const balance_limits& limits);

} // namespace eelgrassrail
