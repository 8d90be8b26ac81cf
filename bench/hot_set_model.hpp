/// A model of one service's load in which a hot set of keys moves; drives the shipped balancer.
#pragma once

#include <cstdint>

namespace eelgrassrail::harness
{

/// What the model runs.
struct hot_set_plan
{
    std::uint64_t seed{20261204};
    std::size_t workers{7}; ///< of one pool
    std::size_t slices{171};
    std::size_t hot_keys{33};
    double hot_share{0.5};     ///< of the load, on the hot keys
    double total_work{4000.0}; ///< ms of work a second
    double hot_seconds{180.0}; ///< after which all hot keys change
    double run_seconds{3600.0};
    double interval_seconds{2.0};
};

/// Result of one policy.
struct hot_set_result
{
    double imbalance{}; ///< mean over time of the hottest server's load over the mean load
    double moves_an_hour{};
};

struct hot_set_report
{
    hot_set_result fixed;  ///< static hashing
    hot_set_result greedy; ///< moves without prices
    hot_set_result ice;    ///< prices of the Ice Authority
    hot_set_result rides;  ///< prices of the Records Division
    hot_set_result bound;  ///< a fresh even assignment in each interval
};

/// @brief Runs all policies on the same load.
[[nodiscard]] hot_set_report run_hot_set_model(const hot_set_plan& plan);

} // namespace eelgrassrail::harness
