/// Chooses which keys move to which worker.
///
/// Pattern answered: neighbouring keys take a third or more of all requests for a few seconds, and
/// workers differ in speed. Slices are cut by measured load, down to single keys.
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
    worker_life life;
    double capacity{1.0};  ///< requests a second that keep all its slots busy; positive
    bool may_change{true}; ///< false: it keeps what it has and gets nothing
};

/// Keys that are to get a new owner.
struct planned_move
{
    std::uint32_t first{};
    std::uint32_t last{};
    worker_life source; ///< an empty id: nobody owned them
    worker_life target;
};

/// Limits of one plan.
struct balance_limits
{
    double calm{0.7};       ///< share of its capacity up to which a worker hardly queues
    double tolerance{0.25}; ///< a worker may carry this much more than its share, relative
    double least_gain{1.0}; ///< requests a second that a move must shift
    std::size_t moves{4};   ///< most moves between live workers in one plan
};

/// @brief Gives keys without a live owner to workers below their share, and shifts load from the
/// busiest worker to the idlest ones.
/// @param map slices that are not ready are on their way and stay as they are
/// @param workers all that may own keys
/// @return nothing if there are no workers
[[nodiscard]] std::vector<planned_move> plan_key_moves(const key_map& map, const key_load& load,
                                                       std::span<const key_worker> workers,
                                                       const balance_limits& limits);

} // namespace eelgrassrail
