/// Limits the queue by the latency objective and divides it among the router processes.
#include <eelgrassrail/routing/admission.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Maximum queue of a worker, as a multiple of its slots; beyond it, workers reject requests or
/// reset connections.
constexpr double queue_rounds = 3.5;

/// Router processes do not send evenly; each may use this multiple of an even share.
constexpr double share_factor = 2.5;

/// Part of the time between the objective and the deadline that the queue may use, since a late
/// answer still has some value.
constexpr double max_late_part = 0.2;

} // namespace

admission admit(const worker_option& worker, const admission_inputs& inputs) noexcept
{
    const double slots = std::max(1U, worker.slots);
    const double late_ms = std::max(0.0, inputs.remaining_ms - inputs.objective_ms);
    const double max_delay_ms =
        std::min(inputs.objective_ms, inputs.remaining_ms) + late_ms * max_late_part;
    const double requests_in_time = slots * max_delay_ms / std::max(1.0, worker.run_ms);
    const double max_requests = std::clamp(requests_in_time, slots, slots * (1 + queue_rounds));
    const double share = std::ceil(max_requests * share_factor /
                                   static_cast<double>(std::max<std::size_t>(1, inputs.entries)));
    const bool is_free = worker.in_flight < slots;
    const bool fits = is_free || (worker.in_flight < max_requests && inputs.own_in_flight < share);
    admission result;
    const double ratio =
        inputs.is_urgent ? std::sqrt(inputs.admission_ratio) : inputs.admission_ratio;
    result.is_admitted =
        fits && worker.run_ms <= inputs.remaining_ms && inputs.admission_sample <= ratio;
    // The queue shrinks by one whenever a slot completes a request.
    const double excess_requests = std::max(1.0, worker.in_flight + 1.0 - max_requests);
    result.retry_after_ms = std::max(worker.run_ms / 2, excess_requests * worker.run_ms / slots);
    return result;
}

} // namespace eelgrassrail
