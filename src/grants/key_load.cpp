/// Decaying counts and their prefix sums.
#include <eelgrassrail/grants/key_load.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// All keys together count as this many requests a second, spread evenly, so that keys without
/// requests are divided too.
constexpr double even_rate = 2.0;

double seconds(boot_clock::duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

key_load::key_load(millis memory, instant start)
    : m_memory(memory)
    , m_start(start)
    , m_settled(start)
    , m_counts(key_count)
    , m_sums(key_count + 1)
{
    settle(start);
}

void key_load::add(std::uint32_t key, double requests)
{
    if (key < key_count)
        m_counts[key] += static_cast<float>(requests);
}

void key_load::settle(instant now)
{
    const double memory = seconds(m_memory);
    const auto decay = static_cast<float>(std::exp(-seconds(now - m_settled) / memory));
    m_settled = now;
    // Right after the start the counts cover less than the whole memory.
    constexpr double least_cover = 0.1;
    const double cover =
        memory * std::max(least_cover, 1.0 - std::exp(-seconds(now - m_start) / memory));
    double sum = 0;
    for (std::uint32_t key = 0; key < key_count; ++key)
    {
        m_counts[key] *= decay;
        sum += static_cast<double>(m_counts[key]) / cover + even_rate / key_count;
        m_sums[key + 1] = sum;
    }
}

std::uint32_t key_load::reach(std::uint32_t first, std::uint32_t last, double wanted) const
{
    const auto begin = m_sums.begin() + first + 1;
    const auto end = m_sums.begin() + last + 2;
    const auto it = std::lower_bound(begin, end, m_sums[first] + wanted);
    return it == end ? last : first + static_cast<std::uint32_t>(it - begin);
}

} // namespace eelgrassrail
