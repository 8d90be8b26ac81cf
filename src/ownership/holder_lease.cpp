/// Expiry of the holder's lease with and without the log.
#include <eelgrassrail/ownership/holder_lease.hpp>

#include <algorithm>

namespace eelgrassrail
{

holder_lease::holder_lease(lease_terms terms, std::span<const process_id> standbys)
    : m_terms(terms)
    , m_standbys(standbys.begin(), standbys.end())
{
}

std::optional<std::uint64_t> holder_lease::on_clean_read(instant sent)
{
    m_last_clean_read = std::max(m_last_clean_read.value_or(sent), sent);
    if (!m_without_log)
        return std::nullopt;
    // Operation without the log must end before the resumption record is sent.
    m_without_log = false;
    m_relinquished.clear();
    return m_number;
}

void holder_lease::set_standbys(std::span<const process_id> standbys)
{
    m_standbys = {standbys.begin(), standbys.end()};
}

void holder_lease::add_candidates(std::span<const process_id> candidates)
{
    m_candidates.insert(candidates.begin(), candidates.end());
}

std::optional<std::uint64_t> holder_lease::relinquish_number(instant now)
{
    if (!m_last_clean_read || now < *m_last_clean_read + m_terms.lease / 2)
        return std::nullopt;
    if (!m_without_log)
    {
        m_without_log = true;
        ++m_number;
        m_relinquished.clear();
    }
    if (std::ranges::includes(m_relinquished, claimants()))
        return std::nullopt;
    return m_number;
}

std::vector<process_id> holder_lease::unrelinquished() const
{
    std::vector<process_id> result;
    std::ranges::set_difference(claimants(), m_relinquished, std::back_inserter(result));
    return result;
}

void holder_lease::on_relinquished(const process_id& from, std::uint64_t number)
{
    if (m_without_log && number == m_number)
        m_relinquished.insert(from);
}

instant holder_lease::lease_expiry() const
{
    if (!m_last_clean_read)
        return instant::min();
    const auto by_log = *m_last_clean_read + m_terms.lease;
    if (!m_without_log || !std::ranges::includes(m_relinquished, claimants()))
        return by_log;
    return std::max(by_log, *m_last_clean_read + m_terms.isolation_grace - m_terms.margin);
}

void holder_lease::drop() noexcept
{
    m_last_clean_read.reset();
    m_without_log = false;
    m_relinquished.clear();
}

std::set<process_id> holder_lease::claimants() const
{
    auto result = m_standbys;
    result.insert(m_candidates.begin(), m_candidates.end());
    return result;
}

} // namespace eelgrassrail
