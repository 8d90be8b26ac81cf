/// Selects the worker for a request to a service without keys.
///
/// Handles workers of different speed, cold starts, workers that fail part of their requests or
/// become slow, and bursts in which all router processes send at once. These all see the same load
/// figures, some hundred ms late, so if each selected the best worker, all would select the same
/// one. Instead two workers are sampled at random in proportion to their speed, and the better one
/// is selected (power of two choices).
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace eelgrassrail
{

/// The properties of a candidate worker.
struct worker_option
{
    std::uint32_t slots{1};    ///< requests that it runs concurrently
    std::uint32_t in_flight{}; ///< known requests at the worker, from all router processes
    double run_ms{};           ///< run time of one request, without queueing; positive
    double failing{};          ///< ratio of recent requests that failed, 0 to 1
    bool is_same_zone{};       ///< in the same availability zone
    bool is_excluded{};        ///< it has refused this request or would refuse it
};

/// Uniform random samples from 0 to 1 for one selection.
struct choice_samples
{
    double first{};  ///< selects the first candidate
    double second{}; ///< selects the second candidate
};

/// The selected worker.
struct worker_selection
{
    std::size_t index{};  ///< in the options
    double expected_ms{}; ///< expected time until the answer
};

/// @brief Expected time in ms until a worker's answer: queueing and run time.
[[nodiscard]] double expected_ms(const worker_option& option) noexcept;

/// @brief Samples two workers and selects the one with the lower cost, which is the expected time
/// raised for failures and for another availability zone. Both also make it less likely that a
/// worker is sampled.
/// @param target_ms expected times below this are considered almost equal
/// @return `std::nullopt` if all options are excluded
/// @complexity linear in the number of workers
[[nodiscard]] std::optional<worker_selection> choose_worker(std::span<const worker_option> options,
                                                            double target_ms,
                                                            const choice_samples& samples);

} // namespace eelgrassrail
