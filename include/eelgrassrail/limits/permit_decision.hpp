/// Whether one request may be sent to a worker with a rate limit.
#pragma once

namespace eelgrassrail
{

/// A permit for one request, or when to ask for one again.
struct permit_decision
{
    bool is_granted{};
    double next_ms{};        ///< if denied: time until a permit may be available
    double retry_after_ms{}; ///< if denied: when the caller may return, given those already waiting
};

} // namespace eelgrassrail
