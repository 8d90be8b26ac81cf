/// Request rates over two windows and their prefix sums.
#include <eelgrassrail/grants/key_load.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace eelgrassrail
{
namespace
{

constexpr double fast_window_s = 1.0; ///< groups of hot keys come and go within four seconds
constexpr double slow_window_s = 8.0;

/// Adjacent keys that share the choice of the window; groups of hot keys have some dozen or more.
constexpr std::uint32_t bin_keys = 64;

/// Standard deviations by which the windows must differ for the short one to be used.
constexpr double significance = 3.0;

/// Requests per second added to the load, spread evenly over all keys, so that keys without
/// requests are distributed too.
constexpr double baseline_rate = 2.0;

double seconds(boot_clock::duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Seconds of requests that the counts cover; right after the start less than the whole window.
double covered_s(double window_s, double running_s)
{
    constexpr double min_part = 0.1;
    return window_s * std::max(min_part, 1.0 - std::exp(-running_s / window_s));
}

} // namespace

key_load::key_load(instant start)
    : m_start(start)
    , m_settled(start)
    , m_fast(key_count)
    , m_slow(key_count)
    , m_sums(key_count + 1)
{
    settle(start);
}

void key_load::add(std::uint32_t key, double requests)
{
    if (key >= key_count)
        return;
    m_fast[key] += static_cast<float>(requests);
    m_slow[key] += static_cast<float>(requests);
}

void key_load::settle(instant now)
{
    const double passed_s = seconds(now - m_settled);
    m_settled = now;
    const auto decay = [passed_s](std::vector<float>& counts, double window_s)
    {
        const auto factor = static_cast<float>(std::exp(-passed_s / window_s));
        std::ranges::for_each(counts, [factor](float& n) { n *= factor; });
    };
    decay(m_fast, fast_window_s);
    decay(m_slow, slow_window_s);
    const double running_s = seconds(now - m_start);
    const double fast_covered_s = covered_s(fast_window_s, running_s);
    const double slow_covered_s = covered_s(slow_window_s, running_s);
    double sum = 0;
    for (std::uint32_t first = 0; first < key_count; first += bin_keys)
        sum = update_bin(first, fast_covered_s, slow_covered_s, sum);
}

double key_load::update_bin(std::uint32_t first, double fast_covered_s, double slow_covered_s,
                            double sum)
{
    const auto count = [first](const std::vector<float>& counts)
    {
        const auto begin = counts.begin() + first;
        return std::accumulate(begin, begin + bin_keys, 0.0);
    };
    const double observed = count(m_fast);
    const double expected = count(m_slow) / slow_covered_s * fast_covered_s;
    const bool is_changed =
        std::abs(observed - expected) > significance * std::sqrt(expected + 1.0);
    const auto& counts = is_changed ? m_fast : m_slow;
    const double window_s = is_changed ? fast_covered_s : slow_covered_s;
    for (std::uint32_t key = first; key < first + bin_keys; ++key)
    {
        sum += static_cast<double>(counts[key]) / window_s + baseline_rate / key_count;
        m_sums[key + 1] = sum;
    }
    return sum;
}

bool key_load::is_settled() const noexcept
{
    constexpr double min_s = 3.0;
    return seconds(m_settled - m_start) > min_s;
}

std::uint32_t key_load::key_at_rate(std::uint32_t first, std::uint32_t last, double wanted) const
{
    const auto begin = m_sums.begin() + first + 1;
    const auto end = m_sums.begin() + last + 2;
    const auto it = std::lower_bound(begin, end, m_sums[first] + wanted);
    return it == end ? last : first + static_cast<std::uint32_t>(it - begin);
}

} // namespace eelgrassrail
