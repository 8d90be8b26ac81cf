/// Requests a second of each key.
///
/// Pattern answered: neighbouring keys that suddenly take a third of all requests, and stop as
/// suddenly, among keys whose load hardly changes. A short memory sees the change within some
/// hundred ms and is noisy; a long one is steady. Where both differ by more than chance explains,
/// the short one counts.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/grants/key_slice.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Exponentially decaying counts of all keys of one service.
class key_load
{
  public:
    explicit key_load(instant start);

    /// @brief Counts requests for a key.
    void add(std::uint32_t key, double requests = 1.0);

    /// @brief Lets the counts decay up to an instant and sums them up for `rate`.
    /// @complexity linear in the number of keys
    void settle(instant now);

    /// @brief Requests a second for a range of keys, as of the last `settle`.
    /// @param last inclusive
    /// @complexity constant
    [[nodiscard]] double rate(std::uint32_t first, std::uint32_t last) const noexcept
    {
        return m_sums[last + 1] - m_sums[first];
    }

    /// @brief Whether the counts cover enough time to tell the rates of single workers.
    [[nodiscard]] bool is_settled() const noexcept;

    /// @brief Smallest key at or above `first` up to which the rate reaches the wanted one.
    /// @return `last` if the whole range stays below it
    [[nodiscard]] std::uint32_t reach(std::uint32_t first, std::uint32_t last, double wanted) const;

  private:
    /// Sums up one bin of keys with the memory that describes it.
    double settle_bin(std::uint32_t first, double fast_cover, double slow_cover, double sum);

    instant m_start;
    instant m_settled;
    std::vector<float> m_fast;  ///< counts with the short memory
    std::vector<float> m_slow;  ///< counts with the long memory
    std::vector<double> m_sums; ///< m_sums[k]: rate of all keys below k
};

} // namespace eelgrassrail
