/// Queue bounded by the objective and shared by the entries.
#include <eelgrassrail/routing/admission.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Queue that a worker keeps at most, as a multiple of its slots; beyond it refuses or resets.
constexpr double queue_rounds = 3.5;

/// Entries do not send evenly; an entry may use this much more than an even share.
constexpr double uneven_share = 2.5;

/// Part of the time between objective and deadline that a queue may use: a late answer has some
/// value.
constexpr double late_part = 0.2;

} // namespace

admission admit(const worker_option& worker, const admission_terms& terms) noexcept
{
    const double slots = std::max(1U, worker.slots);
    const double late_ms = std::max(0.0, terms.left_ms - terms.objective_ms);
    const double bound_ms = std::min(terms.objective_ms, terms.left_ms) + late_ms * late_part;
    const double in_time = slots * bound_ms / std::max(1.0, worker.run_ms);
    const double most = std::clamp(in_time, slots, slots * (1 + queue_rounds));
    const double share = std::ceil(most * uneven_share /
                                   static_cast<double>(std::max<std::size_t>(1, terms.entries)));
    const bool is_free = worker.in_flight < slots;
    const bool fits = is_free || (worker.in_flight < most && terms.own < share);
    admission result;
    const double room = terms.is_urgent ? std::sqrt(terms.room) : terms.room;
    result.is_admitted = fits && worker.run_ms <= terms.left_ms && terms.draw <= room;
    // The queue shrinks by one with each run of one slot.
    const double excess = std::max(1.0, worker.in_flight + 1.0 - most);
    result.come_back_ms = std::max(worker.run_ms / 2, excess * worker.run_ms / slots);
    return result;
}

} // namespace eelgrassrail
