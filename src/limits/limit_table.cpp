/// Rate limits as observed and as announced by the coordinator; time slots without a coordinator.
#include <eelgrassrail/limits/limit_table.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace eelgrassrail
{
namespace
{

/// Time for which an observation takes precedence over updates of the coordinator. Covers the way
/// of a notice to the coordinator and of its update back, with a repetition.
constexpr millis observation_precedence{1'000};

/// Part of a limit that the processes use together while they can not reach the coordinator. Others
/// may reach it and use the whole limit.
constexpr double unsupervised_share = 0.3;

/// Length of the time slot in which a process may use its share.
constexpr double time_slot_s = 1.0;

/// Time after which callers may return while the coordinator can not be reached: it has a successor
/// by then.
constexpr double unsupervised_retry_ms = 1'000;

constexpr double unsupervised_next_ms = 50;

/// Maximum Retry-After of a refusal, and the rate limit in requests/s below which it applies.
constexpr double max_queue_ms = 10'000;
constexpr double min_per_s = 0.1;

constexpr double ms_in_s = 1'000.0;

double seconds(boot_clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

instant after_ms(instant now, double time_ms)
{
    return now + std::chrono::duration_cast<boot_clock::duration>(
                     std::chrono::duration<double, std::milli>(time_ms));
}

/// A number from 0 to 1 that differs between workers, so that a process does not have its time
/// slots for all workers at once.
double phase_of(std::string_view worker)
{
    constexpr std::size_t steps = 1'009;
    return static_cast<double>(std::hash<std::string_view>{}(worker) % steps) /
           static_cast<double>(steps);
}

} // namespace

limit_change limit_table::observe(std::string_view worker, const limit_observation& seen,
                                  instant now)
{
    auto it = m_limits.find(worker);
    if (seen.per_s)
    {
        if (it == m_limits.end())
            it = m_limits.emplace(worker, known_limit{}).first;
        auto& known = it->second;
        known.observed_at = now;
        if (known.per_s == seen.per_s)
            return limit_change::none;
        if (!known.per_s)
            known.known_since = now;
        known.per_s = seen.per_s;
        return limit_change::named;
    }
    if (it == m_limits.end() || !it->second.per_s || !seen.is_run_answer ||
        seen.sent_at <= it->second.known_since)
        return limit_change::none;
    it->second.per_s.reset();
    it->second.observed_at = now;
    return limit_change::withdrawn;
}

bool limit_table::take_notice(std::string_view worker, instant now)
{
    const auto it = m_limits.find(worker);
    if (it == m_limits.end() || it->second.per_s == it->second.announced ||
        now < it->second.next_notice)
        return false;
    it->second.next_notice = now + notice_interval;
    return true;
}

std::vector<rate_limit> limit_table::apply(std::span<const rate_limit> limits, bool is_settled,
                                           instant now)
{
    for (auto& [worker, known] : m_limits)
        known.announced.reset();
    for (const auto& limit : limits)
    {
        const auto it = m_limits.try_emplace(limit.worker).first;
        it->second.announced = limit.per_s;
    }
    std::vector<rate_limit> unknown;
    for (auto it = m_limits.begin(); it != m_limits.end();)
    {
        auto& known = it->second;
        const bool has_observed =
            known.observed_at != instant{} && now - known.observed_at < observation_precedence;
        const bool is_kept = known.per_s && !known.announced && !is_settled;
        if (is_kept)
            unknown.push_back({it->first, *known.per_s});
        else if (!has_observed && known.per_s != known.announced)
        {
            if (!known.per_s)
                known.known_since = now;
            known.per_s = known.announced;
        }
        it = known.per_s || known.announced ? std::next(it) : m_limits.erase(it);
    }
    return unknown;
}

void limit_table::presume(const rate_limit& limit, instant now)
{
    auto& known = m_limits.try_emplace(limit.worker).first->second;
    if (known.per_s)
        return;
    known.per_s = limit.per_s;
    known.known_since = now;
    known.observed_at = now;
}

std::optional<double> limit_table::find(std::string_view worker) const
{
    const auto it = m_limits.find(worker);
    return it == m_limits.end() ? std::nullopt : it->second.per_s;
}

std::vector<rate_limit> limit_table::limits() const
{
    std::vector<rate_limit> result;
    for (const auto& [worker, known] : m_limits)
        if (known.per_s)
            result.push_back({worker, *known.per_s});
    return result;
}

void limit_table::on_denied(std::string_view worker, const permit_decision& denial, instant now)
{
    const auto it = m_limits.find(worker);
    if (it == m_limits.end())
        return;
    it->second.denied_until = after_ms(now, denial.next_ms);
    it->second.retry_at = after_ms(now, denial.retry_after_ms);
}

permit_decision limit_table::last_denial(std::string_view worker, instant now) const
{
    const auto it = m_limits.find(worker);
    if (it == m_limits.end() || !it->second.per_s || now >= it->second.denied_until)
        return {true, 0, 0};
    const auto& known = it->second;
    const double next_ms = ms_in_s * seconds(known.denied_until - now);
    return {false, next_ms, std::max(next_ms, ms_in_s * seconds(known.retry_at - now))};
}

double limit_table::queue_caller(std::string_view worker, instant now)
{
    const auto denial = last_denial(worker, now);
    if (denial.is_granted)
        return 0;
    auto& known = m_limits.find(worker)->second;
    const double interval_ms = ms_in_s / std::max(*known.per_s, min_per_s);
    const double retry_after_ms = std::max(denial.retry_after_ms, interval_ms);
    known.retry_at = after_ms(now, std::min(retry_after_ms + interval_ms, max_queue_ms));
    return retry_after_ms;
}

permit_decision limit_table::take_alone(std::string_view worker, const process_position& position,
                                        instant now)
{
    const auto it = m_limits.find(worker);
    if (it == m_limits.end() || !it->second.per_s)
        return {true, 0, 0};
    const double processes = static_cast<double>(std::max<std::size_t>(1, position.processes));
    const double per_s = *it->second.per_s * unsupervised_share / processes;
    const double slots = seconds(now.time_since_epoch()) * per_s +
                         static_cast<double>(position.rank) / processes + phase_of(worker);
    const auto slot = static_cast<std::int64_t>(std::floor(slots));
    const bool is_open = slots - std::floor(slots) < per_s * time_slot_s;
    if (is_open && slot != it->second.last_time_slot)
    {
        it->second.last_time_slot = slot;
        return {true, 0, 0};
    }
    return {false, unsupervised_next_ms,
            std::max(unsupervised_retry_ms, ms_in_s / std::max(*it->second.per_s, min_per_s))};
}

} // namespace eelgrassrail
