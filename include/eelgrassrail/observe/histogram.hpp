/// A histogram of durations with buckets that grow by a constant ratio.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <array>
#include <cstdint>

namespace eelgrassrail
{

/// Counts durations from 0.1 ms to about 100 s; a bucket is a fifth wider than the one before.
class histogram
{
  public:
    static constexpr std::size_t buckets = 78;

    /// @brief Counts one duration.
    /// @complexity constant
    void add(boot_clock::duration length) noexcept;

    /// @brief Adds the counts of another histogram.
    void merge(const histogram& other) noexcept;

    /// @brief Upper bound, in ms, of the bucket that holds the given share of all durations.
    /// @param share 0 to 1
    /// @return 0 if nothing was counted
    [[nodiscard]] double quantile_ms(double share) const noexcept;

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
