/// Measures the requests per second of each key.
///
/// Designed for load in which adjacent keys suddenly receive a third of all requests, and stop as
/// suddenly, while the load of the others hardly changes. An average over a short window shows such
/// a change within some hundred ms but is noisy, one over a long window is steady. Where both
/// differ by more than chance explains, the short window is used.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/grants/key_slice.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Exponentially decaying request counts of all keys of one service.
class key_load
{
  public:
    explicit key_load(instant start);

    /// @brief Counts requests for a key; keys from `key_count` on are ignored.
    void add(std::uint32_t key, double requests = 1.0);

    /// @brief Decays the counts up to `now` and computes the rates that `rate` returns.
    /// @complexity linear in the number of keys
    void settle(instant now);

    /// @brief Requests per second for a range of keys, as of the last `settle`.
    /// @param last inclusive
    /// @complexity constant
    [[nodiscard]] double rate(std::uint32_t first, std::uint32_t last) const noexcept
    {
        return m_sums[last + 1] - m_sums[first];
    }

    /// @brief Whether the counts cover enough time (over 3 s) to compare the rates of workers.
    [[nodiscard]] bool is_settled() const noexcept;

    /// @brief Smallest key at or above `first` for which the rate from `first` to it reaches
    /// `wanted`.
    /// @return `last` if the whole range has a lower rate
    [[nodiscard]] std::uint32_t key_at_rate(std::uint32_t first, std::uint32_t last,
                                            double wanted) const;

  private:
    /// Adds the rates of one bin of keys to the prefix sums, using the window that fits it.
    /// @return the sum up to the end of the bin
    double update_bin(std::uint32_t first, double fast_covered_s, double slow_covered_s,
                      double sum);

    instant m_start;
    instant m_settled;
    std::vector<float> m_fast;  ///< counts over the short window
    std::vector<float> m_slow;  ///< counts over the long window
    std::vector<double> m_sums; ///< prefix sums; m_sums[k]: rate of all keys below k
};

} // namespace eelgrassrail
