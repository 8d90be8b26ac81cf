/// Chooses the slices to move between the servers of a pool, by gain and cost.
#pragma once

#include <eelgrassrail/core/identity.hpp>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Load of one slice.
struct slice_work
{
    slice_index slice{};
    std::string server; ///< the owner
    double work{};      ///< ms of work per second
};

/// A server that can own slices.
struct server_capacity
{
    std::string server;
    double capacity{1.0}; ///< relative, above 0
};

/// A proposed move.
struct slice_move
{
    slice_index slice{};
    std::string from;
    std::string to;
    double gain{}; ///< decrease of the higher relative load of both, in ms of work per second
};

/// Costs and limits of a choice.
struct balance_parameters
{
    double churn_weight{1.0};       ///< cost of moving a slice
    double unavailable_weight{1.0}; ///< cost of one second in which a slice is unavailable
    double move_seconds{0.05};      ///< expected unavailability caused by a move, in seconds
    double hysteresis{1.05};        ///< ratio of maximum to mean load below which nothing is moved
    std::size_t max_moves{4};       ///< maximum number of moves of one choice
};

/// @brief Chooses moves as long as their gain exceeds their cost.
///
/// The gain of a move is the load that it takes off the most loaded server; its cost is
/// `churn_weight + unavailable_weight * move_seconds`, times the load that each unit of cost has to
/// remove (2 % of the mean load).
/// @complexity O(moves * (slices + servers))
[[nodiscard]] std::vector<slice_move> choose_moves(std::span<const slice_work> slices,
                                                   std::span<const server_capacity> servers,
                                                   const balance_parameters& parameters);

/// @brief Baseline for comparisons: chooses any move that lowers the maximum load, without costs.
[[nodiscard]] std::vector<slice_move> choose_moves_greedy(std::span<const slice_work> slices,
                                                          std::span<const server_capacity> servers,
                                                          std::size_t max_moves);

/// @brief Maximum divided by mean load, relative to capacity; 1: evenly balanced or no load.
[[nodiscard]] double imbalance(std::span<const slice_work> slices,
                               std::span<const server_capacity> servers);

/// Exponential moving average of the load of each slice.
class load_tracker
{
  public:
    /// @param half_life in seconds, after which the weight of a measurement is halved
    explicit load_tracker(double half_life = 3.0)
        : m_half_life(half_life)
    {
    }

    /// @brief Adds the work of one interval, in ms, and returns the averages in ms of work per
    /// second.
    /// @param seconds length of the interval; positive
    std::vector<slice_work> update(std::vector<slice_work> interval, double seconds);

  private:
    double m_half_life;
    std::map<slice_index, double> m_work; ///< ms of work per second
};

} // namespace eelgrassrail
