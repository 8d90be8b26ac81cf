/// Which part of the demand for a worker's keys is let through.
///
/// Pattern answered: hot keys, or a service that is full as a whole. Demand and capacity are
/// estimates: callers that come back after a refusal count as demand again, run times are measured
/// under load, a worker that sheds looks slow. So the estimate is corrected by what it leads to:
/// slots that stay free while requests are refused, or a queue that grows.
#pragma once

#include <cstdint>

namespace eelgrassrail
{

/// What is known of one worker at one time.
struct worker_demand
{
    double asked{};            ///< requests a second for its keys, refused ones too
    double capacity{};         ///< requests a second that it can run, as estimated
    std::uint32_t in_flight{}; ///< requests of all processes that it has now
    std::uint32_t slots{1};
};

/// The control of one worker.
class room_control
{
  public:
    /// @brief Takes the figures of one turn; turns are a plan interval apart.
    /// @return part of the requests that are let through, from 0 to 1
    double update(const worker_demand& demand) noexcept;

    /// @brief The result of the last turn.
    [[nodiscard]] double room() const noexcept { return m_room; }

  private:
    double m_correction{1.0}; ///< of the capacity; 1: the estimate is right
    double m_room{1.0};
    unsigned m_idle_turns{}; ///< in a row, with slots that are not used
};

} // namespace eelgrassrail
