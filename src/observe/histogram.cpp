/// Buckets of the histogram.
#include <eelgrassrail/observe/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

constexpr double first_bound_ms = 0.1;
constexpr double ratio = 1.2;

} // namespace

double histogram::bound_ms(std::size_t bucket) noexcept
{
    return first_bound_ms * std::pow(ratio, static_cast<double>(bucket));
}

void histogram::add(boot_clock::duration length) noexcept
{
    const auto ms = std::chrono::duration<double, std::milli>(length).count();
    const auto exact =
        ms <= first_bound_ms ? 0.0 : std::ceil(std::log(ms / first_bound_ms) / std::log(ratio));
    const auto bucket = std::min(static_cast<std::size_t>(exact), buckets - 1);
    ++m_counts.at(bucket);
    ++m_count;
    m_sum_ms += ms;
}

void histogram::merge(const histogram& other) noexcept
{
    std::ranges::transform(m_counts, other.m_counts, m_counts.begin(), std::plus<>());
    m_count += other.m_count;
    m_sum_ms += other.m_sum_ms;
}

double histogram::quantile_ms(double share) const noexcept
{
    const auto wanted = share * static_cast<double>(m_count);
    std::uint64_t seen = 0;
    for (std::size_t n = 0; n < buckets; ++n)
    {
        seen += m_counts.at(n);
        if (seen > 0 && static_cast<double>(seen) >= wanted)
            return bound_ms(n);
    }
    return 0.0;
}

} // namespace eelgrassrail
