/// How fast one worker runs requests, from what callers of it have seen.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <array>
#include <cstddef>

namespace eelgrassrail
{

/// The median of requests that found a free slot shows the speed; while there are none, because the
/// worker is full, the rate of its answers does.
class worker_speed
{
  public:
    /// @brief A request that found a free slot was answered.
    void add(double took_ms) noexcept;

    /// @brief Requests were answered, and others wait.
    /// @param in_flight of all processes
    void on_answers(std::size_t answers, std::size_t in_flight, std::size_t slots,
                    instant now) noexcept;

    /// @brief Time of a typical run; 0 if too little is known.
    [[nodiscard]] double typical_ms() const noexcept;

  private:
    static constexpr std::size_t kept = 32;
    static constexpr std::size_t least = 5;

    std::array<float, kept> m_times{}; ///< the last `m_count` times, oldest overwritten
    std::size_t m_count{};
    instant m_full_since{};  ///< all slots are taken since then; none: they are not
    double m_full_answers{}; ///< answers since then
    double m_full_ms{};      ///< run time that they show; 0: unknown
};

} // namespace eelgrassrail
