/// Estimates the run time of requests at one worker from response times and rates.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <array>
#include <cstddef>

namespace eelgrassrail
{

/// The estimate is the median time of requests that found a free slot. While there are none,
/// because all slots are taken, it is derived from the rate of answers.
class worker_speed
{
  public:
    /// @brief Records the time of a request that found a free slot.
    void add(double run_ms) noexcept;

    /// @brief Records answers of the worker.
    /// @param in_flight requests at the worker, from all processes
    void on_answers(std::size_t answers, std::size_t in_flight, std::size_t slots,
                    instant now) noexcept;

    /// @brief Typical run time in ms; 0 if there are too few samples.
    [[nodiscard]] double typical_ms() const noexcept;

  private:
    static constexpr std::size_t max_samples = 32;
    static constexpr std::size_t min_samples = 5;

    std::array<float, max_samples> m_times{}; ///< ring buffer of the last run times in ms
    std::size_t m_count{};                    ///< of all times ever added
    instant m_full_since{};  ///< all slots are taken since then; zero: some are free
    double m_full_answers{}; ///< answers since `m_full_since`
    double m_full_ms{};      ///< run time derived from them; 0: unknown
};

} // namespace eelgrassrail
