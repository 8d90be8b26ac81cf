/// Rate limits as observed in answers.
#include <eelgrassrail/limits/limit_table.hpp>

namespace eelgrassrail
{

limit_change limit_table::observe(std::string_view worker, const limit_observation& seen,
                                  instant now)
{
    const auto it = m_limits.find(worker);
    if (seen.per_s)
    {
        if (it == m_limits.end())
            m_limits.emplace(worker, known_limit{*seen.per_s, now});
        else if (it->second.per_s == *seen.per_s)
            return limit_change::none;
        else
            it->second.per_s = *seen.per_s;
        return limit_change::named;
    }
    if (it == m_limits.end() || !seen.is_run_answer || seen.sent_at <= it->second.known_since)
        return limit_change::none;
    m_limits.erase(it);
    return limit_change::withdrawn;
}

std::optional<double> limit_table::find(std::string_view worker) const
{
    const auto it = m_limits.find(worker);
    return it == m_limits.end() ? std::nullopt : std::optional(it->second.per_s);
}

} // namespace eelgrassrail
