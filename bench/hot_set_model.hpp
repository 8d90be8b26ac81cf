/// Model of the load of one service whose set of hot keys changes; runs the real balancer on it.
#pragma once

#include <cstdint>

namespace eelgrassrail::harness
{

/// Parameters of the model.
struct hot_set_plan
{
    std::uint64_t seed{20261204};
    std::size_t workers{7}; ///< in one pool
    std::size_t slices{171};
    std::size_t hot_keys{33};
    double hot_share{0.5};                  ///< fraction of the load that the hot keys get
    double total_work{4000.0};              ///< ms of work per second
    double hot_set_interval_seconds{180.0}; ///< time between changes of all hot keys
    double run_seconds{3600.0};
    double interval_seconds{2.0}; ///< between two runs of the balancer
};

/// Result of one balancing policy.
struct hot_set_result
{
    double imbalance{}; ///< load of the busiest server over the mean load, averaged over time
    double moves_per_hour{};
};

/// Results of all policies on the same load.
struct hot_set_report
{
    hot_set_result static_hashing; ///< slices are never moved
    hot_set_result greedy;         ///< moves regardless of their cost
    hot_set_result ice;            ///< cost weights of the Ice Authority
    hot_set_result rides;          ///< cost weights of the Records Division
    hot_set_result bound; ///< all slices reassigned, at no cost, at each change of the hot set
};

/// @brief Runs all policies on the same load.
[[nodiscard]] hot_set_report run_hot_set_model(const hot_set_plan& plan);

} // namespace eelgrassrail::harness
