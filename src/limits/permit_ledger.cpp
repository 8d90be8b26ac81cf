/// Token buckets with a reserve for urgent requests and debts for requests without a permit.
#include <eelgrassrail/limits/permit_ledger.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// Tokens that a bucket can hold: a few requests may arrive together. Workers tolerate half more
/// than their limit and five requests in any 4 s; the rest of that is for permits that are used
/// late and for processes that are cut off from the coordinator.
constexpr double min_capacity = 2.0;
constexpr double capacity_s = 0.25; ///< additional tokens, in seconds of the limit

/// A new bucket is filled to this level only, since the worker has just had other requests.
constexpr double initial_tokens = 0.5;

/// Tokens reserved for urgent requests, in seconds of the limit; at most one.
constexpr double reserve_s = 0.2;
constexpr double max_reserve = 1.0;

/// Debts beyond this, in seconds of the limit plus some requests, are forgotten, so that permits
/// are issued again soon after requests without a permit have ceased.
constexpr double max_debt_s = 4.0;
constexpr double max_debt_requests = 5.0;

/// Additional tokens for each request without a permit that finds the bucket overdrawn, beyond a
/// few. Processes that do not ask for permits send again as soon as the worker is not reported as
/// full, and each such burst lasts until the reports show it. Without a surcharge a window that
/// begins and ends with a burst holds two of them and all of the limit in between.
constexpr double overdraft_surcharge = 0.6;
constexpr double free_overdraft = 2.0;

/// A debt above this is not just one request whose permit was lost.
constexpr double min_overdraft = 0.5;

/// A worker with a lower limit still gets this many requests per second, since only answers show
/// that the limit has changed.
constexpr double min_per_s = 0.1;

/// Requests that were sent before the limit was known have ended after this time.
constexpr millis unpermitted_run_time{2'000};

/// A request with a permit is not expected to end after this time; its process may be lost.
constexpr millis max_run_time{12'000};

/// Time for which a limit counts as confirmed after the last permit.
constexpr millis confirmation_time{5'000};

/// Maximum Retry-After of a refusal.
constexpr millis max_queue_time{10'000};

/// A process that was denied a permit does not ask again for at least this time.
constexpr double min_next_ms = 10;

constexpr double ms_in_s = 1'000.0;

/// Tokens per second.
double rate(double per_s)
{
    return std::max(per_s, min_per_s);
}

double capacity(double per_s)
{
    return min_capacity + capacity_s * per_s;
}

double seconds(boot_clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

boot_clock::duration to_duration(double s)
{
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(s));
}

} // namespace

void permit_ledger::restart(std::span<const rate_limit> limits, instant now)
{
    m_buckets.clear();
    for (const auto& limit : limits)
    {
        set(limit, now);
        m_buckets[limit.worker].tokens = 0;
    }
}

bool permit_ledger::set(const rate_limit& limit, instant now)
{
    if (auto* known = fill(limit.worker, now))
    {
        known->tokens = std::min(known->tokens, capacity(rate(limit.per_s)));
        return std::exchange(known->per_s, limit.per_s) != limit.per_s;
    }
    bucket added;
    added.per_s = limit.per_s;
    added.tokens = initial_tokens;
    added.filled_at = now;
    added.last_permit = now;
    added.excess_counts_from = now + unpermitted_run_time;
    m_buckets.emplace(limit.worker, std::move(added));
    return true;
}

bool permit_ledger::remove(std::string_view worker)
{
    const auto it = m_buckets.find(worker);
    if (it == m_buckets.end())
        return false;
    m_buckets.erase(it);
    return true;
}

permit_decision permit_ledger::take(std::string_view worker, bool is_urgent, instant now)
{
    auto* from = fill(worker, now);
    if (from == nullptr)
        return {true, 0, 0};
    const double per_s = rate(from->per_s);
    const double needed = 1.0 + (is_urgent ? 0.0 : std::min(max_reserve, reserve_s * per_s));
    if (from->tokens >= needed)
    {
        from->tokens -= 1.0;
        from->last_permit = now;
        from->permitted.push_back(now);
        return {true, 0, 0};
    }
    const auto next = now + to_duration((needed - from->tokens) / per_s);
    from->queue_end = std::max(from->queue_end, next);
    // With more demand than the limit, the next token is likely to be taken by someone else.
    const double retry_after_ms = ms_in_s * std::max(seconds(from->queue_end - now), 1.0 / per_s);
    from->queue_end =
        std::min(from->queue_end + to_duration(1.0 / per_s), std::max(next, now + max_queue_time));
    return {false, std::max(min_next_ms, ms_in_s * seconds(next - now)), retry_after_ms};
}

void permit_ledger::on_completed(std::string_view worker, std::size_t requests, instant now)
{
    auto* at = fill(worker, now);
    if (at == nullptr)
        return;
    while (!at->permitted.empty() && at->permitted.front() < now - max_run_time)
        at->permitted.pop_front();
    const auto permitted = std::min(requests, at->permitted.size());
    at->permitted.erase(at->permitted.begin(),
                        at->permitted.begin() + static_cast<std::ptrdiff_t>(permitted));
    if (now < at->excess_counts_from)
        return;
    const auto excess = static_cast<double>(requests - permitted);
    const double overdraft = std::clamp(excess - at->tokens - free_overdraft, 0.0, excess);
    at->tokens = std::max(at->tokens - excess - overdraft_surcharge * overdraft,
                          std::min(at->tokens, -max_debt_requests - max_debt_s * rate(at->per_s)));
}

bool permit_ledger::is_overdrawn(std::string_view worker, std::size_t in_flight, instant now)
{
    const auto* at = fill(worker, now);
    if (at == nullptr)
        return false;
    const auto unpermitted = in_flight - std::min(in_flight, at->permitted.size());
    return at->tokens - static_cast<double>(unpermitted) < -min_overdraft;
}

std::optional<double> permit_ledger::find(std::string_view worker) const
{
    const auto it = m_buckets.find(worker);
    return it == m_buckets.end() ? std::nullopt : std::optional(it->second.per_s);
}

std::optional<double> permit_ledger::find_confirmed(std::string_view worker, instant now) const
{
    const auto it = m_buckets.find(worker);
    const bool is_confirmed =
        it != m_buckets.end() && now - it->second.last_permit < confirmation_time;
    return is_confirmed ? std::optional(it->second.per_s) : std::nullopt;
}

std::vector<rate_limit> permit_ledger::limits() const
{
    std::vector<rate_limit> result;
    result.reserve(m_buckets.size());
    for (const auto& [worker, item] : m_buckets)
        result.push_back({worker, item.per_s});
    return result;
}

/// @return the bucket of a worker with the tokens that it has now; null if there is none
permit_ledger::bucket* permit_ledger::fill(std::string_view worker, instant now)
{
    const auto it = m_buckets.find(worker);
    if (it == m_buckets.end())
        return nullptr;
    auto& item = it->second;
    if (now > item.filled_at)
    {
        const double per_s = rate(item.per_s);
        item.tokens =
            std::min(capacity(per_s), item.tokens + per_s * seconds(now - item.filled_at));
    }
    item.filled_at = std::max(item.filled_at, now);
    return &item;
}

} // namespace eelgrassrail
