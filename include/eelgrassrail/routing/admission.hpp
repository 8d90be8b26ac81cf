/// Decides whether a request is admitted to the queue of a worker.
///
/// Needed when one key, or a burst, demands more than its worker can run. A queue longer than the
/// latency objective does not raise the throughput, it only makes all requests late. Each router
/// process sees the requests of the others with a delay, so without a limit all of them together
/// would overfill the queue. While a worker is full, each therefore keeps to its share of the
/// queue. With a hundred router processes even one request from each is too much, so the
/// coordinator also sets the part of the demand that the worker can run (admission ratio).
#pragma once

#include <eelgrassrail/routing/worker_choice.hpp>

namespace eelgrassrail
{

/// Inputs of the decision besides the state of the worker.
struct admission_inputs
{
    double objective_ms{};         ///< latency objective; later answers have less value
    double remaining_ms{};         ///< until the request's deadline
    std::uint32_t own_in_flight{}; ///< requests of this router process at the worker
    std::size_t entries{1};        ///< router processes that send to the worker
    double admission_ratio{1.0};   ///< part of the demand for the worker's keys that it can run
    bool is_urgent{};              ///< there are requests of lower priority for the service
    double admission_sample{};     ///< uniform random sample from 0 to 1
};

/// The result of the decision.
struct admission
{
    bool is_admitted{};
    double retry_after_ms{}; ///< if not admitted: estimated time until the queue has space
};

/// @brief Decides on the admission of one request to one worker.
[[nodiscard]] admission admit(const worker_option& worker, const admission_inputs& inputs) noexcept;

} // namespace eelgrassrail
