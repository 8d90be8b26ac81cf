/// Checks each grant against the state of its keys.
#include "hold_check.hpp"

#include <algorithm>

namespace eelgrassrail::test
{

const char* describe(violation_kind kind) noexcept
{
    switch (kind)
    {
    case violation_kind::two_holders:
        return "two-holders";
    case violation_kind::running_work:
        return "running-work";
    case violation_kind::low_token:
        return "low-token";
    case violation_kind::low_life_token:
        return "low-life-token";
    }
    return "";
}

void gap_times::add(boot_clock::duration gap, bool has_ended)
{
    constexpr double bucket_ms = 100.0;
    const double ms = std::chrono::duration<double, std::milli>(gap).count();
    ++m_counts.at(std::min(buckets - 1, static_cast<std::size_t>(ms / bucket_ms)));
    ++m_count;
    m_open += has_ended ? 0 : 1;
    m_sum_ms += ms;
    m_max_ms = std::max(m_max_ms, ms);
}

void gap_times::merge(const gap_times& other)
{
    std::ranges::transform(m_counts, other.m_counts, m_counts.begin(), std::plus<>());
    m_count += other.m_count;
    m_open += other.m_open;
    m_sum_ms += other.m_sum_ms;
    m_max_ms = std::max(m_max_ms, other.m_max_ms);
}

double gap_times::mean_ms() const
{
    return m_count == 0 ? 0.0 : m_sum_ms / static_cast<double>(m_count);
}

double gap_times::sum_s() const
{
    constexpr double ms_in_s = 1'000.0;
    return m_sum_ms / ms_in_s;
}

double gap_times::quantile_ms(double part) const
{
    constexpr double bucket_ms = 100.0;
    const double wanted = part * static_cast<double>(m_count);
    double sum = 0;
    const auto it = std::ranges::find_if(m_counts,
                                         [&](std::uint64_t n)
                                         {
                                             sum += static_cast<double>(n);
                                             return sum >= wanted;
                                         });
    return bucket_ms * static_cast<double>(std::distance(m_counts.begin(), it) + 1);
}

hold_check::hold_check(lives known)
    : m_lives(std::move(known))
    , m_keys(key_count)
{
}

instant hold_check::end_of(const hold& key) const
{
    return key.life == none ? instant{} : std::min(key.until, m_lives.ended_at(key.life));
}

void hold_check::raise_token(hold& key, std::size_t life, std::uint64_t token)
{
    if (key.top_life == life)
    {
        key.top_token = std::max(key.top_token, token);
        return;
    }
    if (token > key.top_token || key.top_life == none)
    {
        key.other_token = key.top_token;
        key.other_life = key.top_life;
        key.top_token = token;
        key.top_life = life;
    }
    else if (token > key.other_token)
    {
        key.other_token = token;
        key.other_life = life;
    }
}

std::vector<key_violation> hold_check::take(const taken_grant& grant, instant now)
{
    std::vector<key_violation> result;
    const auto report = [&](violation_kind kind, std::uint32_t key, std::size_t holder)
    {
        const bool is_known =
            std::ranges::any_of(result, [&](const key_violation& it)
                                { return it.kind == kind && it.holder == holder; });
        if (!is_known)
            result.push_back(
                {kind, key, grant.life, holder, grant.is_late || m_keys[key].was_late});
    };
    for (auto n = grant.first; n <= grant.last; ++n)
    {
        auto& key = m_keys[n];
        const auto end = end_of(key);
        if (key.life != grant.life && std::min(end, key.counted_until) > now && !grant.is_excused)
            report(key.was_released ? violation_kind::running_work : violation_kind::two_holders, n,
                   key.life);
        if (key.life != none && end < now)
            m_gaps.add(now - end, true);
        if (!grant.is_excused)
        {
            const bool is_top = key.top_life == grant.life;
            const auto other_life = is_top ? key.other_life : key.top_life;
            const auto other_token = is_top ? key.other_token : key.top_token;
            if (other_life != none && grant.fence <= other_token)
                report(m_lives.same_worker(grant.life, other_life) ? violation_kind::low_life_token
                                                                   : violation_kind::low_token,
                       n, other_life);
            raise_token(key, grant.life, grant.fence);
        }
        const bool is_same = key.life == grant.life;
        key.life = grant.life;
        key.counted_until = grant.is_excused ? (is_same ? key.counted_until : now) : grant.until;
        key.until = grant.until;
        key.was_released = false;
        key.was_late = grant.is_late;
    }
    return result;
}

bool hold_check::release(std::size_t life, std::uint32_t first, std::uint32_t last, instant now,
                         instant work_until)
{
    bool was_held = false;
    for (auto n = first; n <= last; ++n)
    {
        auto& key = m_keys[n];
        if (key.life != life || key.until <= now)
            continue;
        was_held = true;
        // Work that was running at an earlier release does not get longer by a repeated one.
        if (!key.was_released)
            key.until = std::min(key.until, work_until);
        key.counted_until = std::min(key.counted_until, key.until);
        key.was_released = true;
    }
    return was_held;
}

instant hold_check::held_until(std::size_t life, std::uint32_t first, std::uint32_t last) const
{
    auto result = instant{};
    for (auto n = first; n <= last; ++n)
        if (m_keys[n].life == life)
            result = std::max(result, m_keys[n].until);
    return result;
}

gap_times hold_check::gaps(instant now) const
{
    auto result = m_gaps;
    for (const auto& key : m_keys)
        if (const auto end = end_of(key); key.life != none && end < now)
            result.add(now - end, false);
    return result;
}

} // namespace eelgrassrail::test
