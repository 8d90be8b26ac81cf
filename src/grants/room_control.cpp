/// Estimated room, corrected by slots in use.
#include <eelgrassrail/grants/room_control.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Requests that a worker is to have, as a multiple of its slots: some wait, so that no slot is
/// free until the next one comes.
constexpr double wanted_filling = 1.5;

/// Relative change of what is let through for each filling that is missing. Entries follow after
/// about two turns, and the queue itself sums up, so the lasting part of the change is small.
constexpr double prompt_gain = 0.3;
constexpr double lasting_gain = 0.02;

/// A worker that is limited and has less than this part of its slots in use is not full: what it is
/// sent does not come to run there, as when it rejects a part of all requests. The correction grows
/// faster then.
constexpr double idle_filling = 0.7;
constexpr double idle_gain = 0.15;

/// Turns in a row that show this. A queue that runs empty for a moment does not.
constexpr unsigned idle_turns = 4;

constexpr double most_prompt = 0.5; ///< relative
constexpr double least_correction = 0.5;
constexpr double most_correction = 4.0;

/// While there is room for all, the correction returns to 1 in some seconds.
constexpr double forgetting = 0.05;

} // namespace

double room_control::update(const worker_demand& demand) noexcept
{
    const double filling = demand.in_flight / static_cast<double>(std::max(1U, demand.slots));
    const double lack = wanted_filling - filling;
    const bool is_limited = m_room < 1.0;
    m_idle_turns = filling < idle_filling ? m_idle_turns + 1 : 0;
    const double gain = m_idle_turns >= idle_turns ? idle_gain : lasting_gain;
    m_correction += is_limited ? m_correction * gain * std::clamp(lack, -2.0, 2.0)
                               : forgetting * (1.0 - m_correction);
    m_correction = std::clamp(m_correction, least_correction, most_correction);
    const double prompt = 1.0 + std::clamp(prompt_gain * lack, -most_prompt, most_prompt);
    m_room = demand.asked > 0
                 ? std::min(1.0, demand.capacity * m_correction * prompt / demand.asked)
                 : 1.0;
    return m_room;
}

} // namespace eelgrassrail
