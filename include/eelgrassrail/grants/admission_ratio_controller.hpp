/// Controls which part of the requests for a worker's keys is admitted.
///
/// Needed for hot keys and for services that are overloaded as a whole. Demand and capacity are
/// estimates: callers that retry after a refusal count as demand again, run times are measured
/// under load, and a worker that sheds load appears slow. A feedback loop therefore corrects the
/// estimated admission ratio by its effect: slots that stay free while requests are refused, or a
/// growing queue.
#pragma once

#include <cstdint>

namespace eelgrassrail
{

/// Demand for one worker and its load at one time.
struct worker_demand
{
    double request_rate{};     ///< requests per second for its keys, including refused ones
    double capacity{};         ///< estimated requests per second that it can run
    std::uint32_t in_flight{}; ///< requests that it has now, from all processes
    std::uint32_t slots{1};    ///< requests that it runs concurrently
};

/// The admission controller of one worker.
class admission_ratio_controller
{
  public:
    /// @brief Computes the admission ratio; to be called once per plan interval.
    /// @return part of the requests to be admitted, from 0 to 1
    double update(const worker_demand& demand) noexcept;

    /// @brief The admission ratio of the last update; 1 before the first one.
    [[nodiscard]] double ratio() const noexcept { return m_ratio; }

  private:
    double m_correction{1.0}; ///< factor on the estimated capacity; 1: the estimate is right
    double m_ratio{1.0};
    unsigned m_idle_updates{}; ///< consecutive updates with unused slots
};

} // namespace eelgrassrail
