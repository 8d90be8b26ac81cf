/// Bucket arithmetic of the histogram.
#include <eelgrassrail/observe/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

constexpr double first_bound_ms = 0.1;
constexpr double bucket_ratio = 1.2;

} // namespace

double histogram::bound_ms(std::size_t bucket) noexcept
{
    return first_bound_ms * std::pow(bucket_ratio, static_cast<double>(bucket));
}

void histogram::add(boot_clock::duration duration) noexcept
{
    const auto ms = std::chrono::duration<double, std::milli>(duration).count();
    const auto index = ms <= first_bound_ms
                           ? 0.0
                           : std::ceil(std::log(ms / first_bound_ms) / std::log(bucket_ratio));
    const auto bucket = std::min(static_cast<std::size_t>(index), buckets - 1);
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

double histogram::quantile_ms(double quantile) const noexcept
{
    const auto rank = quantile * static_cast<double>(m_count);
    std::uint64_t cumulative_count = 0;
    for (std::size_t n = 0; n < buckets; ++n)
    {
        cumulative_count += m_counts.at(n);
        if (cumulative_count > 0 && static_cast<double>(cumulative_count) >= rank)
            return bound_ms(n);
    }
    return 0.0;
}

} // namespace eelgrassrail
