/// Low quartile of recent times.
#include <eelgrassrail/grants/worker_speed.hpp>

#include <algorithm>

namespace eelgrassrail
{

void worker_speed::add(double took_ms) noexcept
{
    m_times.at(m_count % kept) = static_cast<float>(took_ms);
    ++m_count;
}

double worker_speed::low_quartile_ms() const noexcept
{
    const auto n = std::min(m_count, kept);
    if (n < least)
        return 0;
    auto sorted = m_times;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(n / 4);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(n));
    return *middle;
}

} // namespace eelgrassrail
