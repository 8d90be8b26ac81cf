/// Median of recent times, and rate while full.
#include <eelgrassrail/grants/worker_speed.hpp>

#include <algorithm>

namespace eelgrassrail
{

void worker_speed::add(double took_ms) noexcept
{
    m_times.at(m_count % kept) = static_cast<float>(took_ms);
    ++m_count;
}

void worker_speed::on_answers(std::size_t answers, std::size_t in_flight, std::size_t slots,
                              instant now) noexcept
{
    constexpr double least_answers = 24; // fewer say little about a rate
    // Reports of many processes arrive together, so the answers of one instant are no rate.
    constexpr double least_ms = 1'000;
    if (in_flight < slots)
    {
        m_full_since = {};
        return;
    }
    if (m_full_since == instant{})
    {
        m_full_since = now;
        m_full_answers = 0;
        return;
    }
    m_full_answers += static_cast<double>(answers);
    const double passed_ms = std::chrono::duration<double, std::milli>(now - m_full_since).count();
    if (m_full_answers < least_answers || passed_ms < least_ms)
        return;
    m_full_ms = passed_ms * static_cast<double>(slots) / m_full_answers;
    m_full_since = now;
    m_full_answers = 0;
}

double worker_speed::typical_ms() const noexcept
{
    const auto n = std::min(m_count, kept);
    if (n < least)
        return m_full_ms;
    auto sorted = m_times;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(n / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(n));
    // A worker that has turned slow is full, so no request finds a free slot any more.
    constexpr double slower = 1.5;
    return m_full_since != instant{} && m_full_ms > slower * *middle ? m_full_ms : *middle;
}

} // namespace eelgrassrail
