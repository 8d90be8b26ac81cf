/// How fast one worker runs requests, from what callers of it have seen.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <array>
#include <cstddef>

namespace eelgrassrail
{

/// A quartile of the answers' times: short ones show the speed without a queue.
class worker_speed
{
  public:
    /// @brief A request was answered.
    void add(double took_ms) noexcept;

    /// @brief Quartile of the recent answers' times; 0 if there are too few.
    [[nodiscard]] double low_quartile_ms() const noexcept;

  private:
    static constexpr std::size_t kept = 32;
    static constexpr std::size_t least = 5;

    std::array<float, kept> m_times{}; ///< the last `m_count` times, oldest overwritten
    std::size_t m_count{};
};

} // namespace eelgrassrail
