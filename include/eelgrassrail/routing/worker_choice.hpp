/// Which worker of a service without keys gets a request.
///
/// Patterns answered: workers of different speed, cold starts, workers that fail part of their
/// requests or turn slow, and bursts in which all entries send at once. All entries see the same
/// figures at the same time, some hundred ms late: if each took the best worker, all of them would
/// take the same one. So the better of two workers is taken that are drawn in proportion to their
/// speed (power of two choices).
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace eelgrassrail
{

/// One worker as the choice sees it.
struct worker_option
{
    std::uint32_t slots{1};
    std::uint32_t in_flight{}; ///< requests of all entries, as far as known
    double run_ms{};           ///< time of one request without a queue; positive
    double failing{};          ///< share of recent requests that failed, 0 to 1
    bool is_near{};            ///< in the same availability zone
    bool is_excluded{};        ///< it has refused this request already, or would do so
};

/// Random numbers from 0 to 1 for one choice.
struct choice_draws
{
    double first{};  ///< draws the first of the two workers
    double second{}; ///< draws the other one
};

/// A chosen worker.
struct worker_pick
{
    std::size_t index{};
    double expected_ms{}; ///< until the answer
};

/// @brief Time until a worker's answer: its run after those that wait before it.
[[nodiscard]] double expected_ms(const worker_option& option) noexcept;

/// @brief The better of two workers that are drawn: the one with less expected time. Failures and
/// distance count as time, and make it less likely that a worker is drawn.
/// @param comfort_ms expected times below this are as good as each other
/// @return nothing if all are excluded
/// @complexity linear in the number of workers
[[nodiscard]] std::optional<worker_pick>
choose_worker(std::span<const worker_option> options, double comfort_ms, const choice_draws& draws);

} // namespace eelgrassrail
