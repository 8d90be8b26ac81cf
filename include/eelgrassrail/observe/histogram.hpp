/// Histogram of durations with exponentially growing buckets.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <array>
#include <cstdint>

namespace eelgrassrail
{

/// Covers 0.1 ms to about 125 s; each bucket's upper bound is 1.2 times the one before. Shorter and
/// longer durations count in the first and last bucket.
class histogram
{
  public:
    static constexpr std::size_t buckets = 78;

    /// @brief Adds one duration.
    /// @complexity constant
    void add(boot_clock::duration duration) noexcept;

    /// @brief Adds the counts of another histogram.
    void merge(const histogram& other) noexcept;

    /// @brief Upper bound, in ms, of the bucket that holds the given quantile.
    /// @param quantile 0 to 1
    /// @return 0 if the histogram is empty
    [[nodiscard]] double quantile_ms(double quantile) const noexcept;

    /// @brief Upper bound of a bucket in ms.
    [[nodiscard]] static double bound_ms(std::size_t bucket) noexcept;

    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }
    [[nodiscard]] double sum_ms() const noexcept { return m_sum_ms; }
    [[nodiscard]] const std::array<std::uint64_t, buckets>& counts() const noexcept
    {
        return m_counts;
    }

  private:
    std::array<std::uint64_t, buckets> m_counts{};
    std::uint64_t m_count{}; ///< invariant: sum of `m_counts`
    double m_sum_ms{};
};

} // namespace eelgrassrail
