/// Two memories and their prefix sums.
#include <eelgrassrail/grants/key_load.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace eelgrassrail
{
namespace
{

constexpr double fast_memory_s = 1.0; ///< hot neighbours come and go within four seconds
constexpr double slow_memory_s = 8.0;

/// Keys that are judged together; hot neighbours are some dozen keys or more.
constexpr std::uint32_t bin_keys = 64;

/// Standard deviations by which the memories have to differ.
constexpr double significance = 3.0;

/// All keys together count as this many requests a second, spread evenly, so that keys without
/// requests are divided too.
constexpr double even_rate = 2.0;

double seconds(boot_clock::duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Seconds of requests that the counts hold; right after the start less than the whole memory.
double cover(double memory_s, double running_s)
{
    constexpr double least = 0.1;
    return memory_s * std::max(least, 1.0 - std::exp(-running_s / memory_s));
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
    const double passed = seconds(now - m_settled);
    m_settled = now;
    const auto decay = [passed](std::vector<float>& counts, double memory_s)
    {
        const auto factor = static_cast<float>(std::exp(-passed / memory_s));
        std::ranges::for_each(counts, [factor](float& n) { n *= factor; });
    };
    decay(m_fast, fast_memory_s);
    decay(m_slow, slow_memory_s);
    const double running = seconds(now - m_start);
    const double fast_cover = cover(fast_memory_s, running);
    const double slow_cover = cover(slow_memory_s, running);
    double sum = 0;
    for (std::uint32_t first = 0; first < key_count; first += bin_keys)
        sum = settle_bin(first, fast_cover, slow_cover, sum);
}

double key_load::settle_bin(std::uint32_t first, double fast_cover, double slow_cover, double sum)
{
    const auto count = [first](const std::vector<float>& counts)
    {
        const auto begin = counts.begin() + first;
        return std::accumulate(begin, begin + bin_keys, 0.0);
    };
    const double seen = count(m_fast);
    const double expected = count(m_slow) / slow_cover * fast_cover;
    const bool is_changed = std::abs(seen - expected) > significance * std::sqrt(expected + 1.0);
    const auto& counts = is_changed ? m_fast : m_slow;
    const double covered = is_changed ? fast_cover : slow_cover;
    for (std::uint32_t key = first; key < first + bin_keys; ++key)
    {
        sum += static_cast<double>(counts[key]) / covered + even_rate / key_count;
        m_sums[key + 1] = sum;
    }
    return sum;
}

bool key_load::is_settled() const noexcept
{
    constexpr double least_s = 3.0;
    return seconds(m_settled - m_start) > least_s;
}

std::uint32_t key_load::reach(std::uint32_t first, std::uint32_t last, double wanted) const
{
    const auto begin = m_sums.begin() + first + 1;
    const auto end = m_sums.begin() + last + 2;
    const auto it = std::lower_bound(begin, end, m_sums[first] + wanted);
    return it == end ? last : first + static_cast<std::uint32_t>(it - begin);
}

} // namespace eelgrassrail
