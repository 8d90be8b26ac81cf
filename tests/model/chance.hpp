/// Seeded random numbers of the ownership model.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>
#include <random>

namespace eelgrassrail::test
{

/// A random sequence; equal seeds give equal sequences.
class chance
{
  public:
    explicit chance(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// @brief A number from 0 to below 1.
    double part() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    bool is(double probability) { return part() < probability; }

    /// @brief A number below `count`, which is positive.
    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_engine);
    }

    double between(double low, double high) { return low + part() * (high - low); }

    /// @brief A duration between two numbers of ms.
    boot_clock::duration ms(double low, double high)
    {
        constexpr double us_in_ms = 1'000.0;
        return boot_clock::duration(static_cast<std::int64_t>(between(low, high) * us_in_ms));
    }

  private:
    std::mt19937_64 m_engine;
};

} // namespace eelgrassrail::test
