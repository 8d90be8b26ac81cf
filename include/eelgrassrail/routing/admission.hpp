/// Whether a request joins the queue of a worker.
///
/// Pattern answered: one key, or a burst, asks for more than its worker can run. A queue longer
/// than the objective serves no more requests, it only makes all of them late. And since each entry
/// sees the others' requests a little late, all of them together would fill the queue far beyond
/// that; so while a worker is full an entry keeps to its share. With a hundred entries even one
/// request of each is too much; there the coordinator says which part of the demand the worker can
/// run.
#pragma once

#include <eelgrassrail/routing/worker_choice.hpp>

namespace eelgrassrail
{

/// What the decision depends on besides the worker.
struct admission_terms
{
    double objective_ms{};  ///< an answer within this time has its full value
    double left_ms{};       ///< until the request is given up
    std::uint32_t own{};    ///< requests that this entry has at the worker
    std::size_t entries{1}; ///< that send to the worker
    double room{1.0};       ///< part of the demand for the worker's keys that it can run
    bool is_urgent{};       ///< other requests for the service have a lower priority
    double draw{};          ///< random number from 0 to 1
};

/// The decision.
struct admission
{
    bool is_admitted{};
    double come_back_ms{}; ///< if not admitted: when there is room, as far as known
};

/// @brief Decides on one request for one worker.
[[nodiscard]] admission admit(const worker_option& worker, const admission_terms& terms) noexcept;

} // namespace eelgrassrail
