/// Median of recent run times, and answer rate while all slots are taken.
#include <eelgrassrail/grants/worker_speed.hpp>

#include <algorithm>

namespace eelgrassrail
{

void worker_speed::add(double run_ms) noexcept
{
    m_times.at(m_count % max_samples) = static_cast<float>(run_ms);
    ++m_count;
}

void worker_speed::on_answers(std::size_t answers, std::size_t in_flight, std::size_t slots,
                              instant now) noexcept
{
    constexpr double min_answers = 24; // fewer give no reliable rate
    // Reports of many processes arrive together, so a shorter time gives no reliable rate.
    constexpr double min_ms = 1'000;
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
    if (m_full_answers < min_answers || passed_ms < min_ms)
        return;
    m_full_ms = passed_ms * static_cast<double>(slots) / m_full_answers;
    m_full_since = now;
    m_full_answers = 0;
}

double worker_speed::typical_ms() const noexcept
{
    const auto n = std::min(m_count, max_samples);
    if (n < min_samples)
        return m_full_ms;
    auto sorted = m_times;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(n / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(n));
    // A worker that has become slow has all slots taken, so `m_times` gets no new samples.
    constexpr double min_slowdown = 1.5;
    return m_full_since != instant{} && m_full_ms > min_slowdown * *middle ? m_full_ms : *middle;
}

} // namespace eelgrassrail
