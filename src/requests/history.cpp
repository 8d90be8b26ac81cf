/// Implementation of the at-most-once table.
#include <eelgrassrail/requests/history.hpp>

namespace eelgrassrail
{

const history_entry* history::find(const std::string& scope) const
{
    const auto it = m_entries.find(scope);
    return it == m_entries.end() ? nullptr : &it->second.entry;
}

bool history::has_capacity() const noexcept
{
    return m_entries.size() < m_limits.entries && m_bytes < m_limits.bytes;
}

void history::record(history_entry entry, instant now)
{
    if (entry.state == run_state::withdrawn)
        return erase(entry.scope);
    const auto [it, is_new] = m_entries.try_emplace(entry.scope, stored_entry{{}, now});
    auto& current = it->second;
    if (!is_new && current.entry.state == run_state::done)
        return;
    if (!is_new && current.entry.state == run_state::unknown && entry.state == run_state::running)
        return;
    if (!is_new)
        m_bytes -= size_of(current.entry);
    current.recorded = now;
    m_bytes += size_of(entry);
    m_expiries.push_back({now + m_limits.window, entry.scope});
    current.entry = std::move(entry);
}

void history::erase(const std::string& scope)
{
    const auto it = m_entries.find(scope);
    if (it == m_entries.end())
        return;
    m_bytes -= size_of(it->second.entry);
    m_entries.erase(it);
}

void history::expire(instant now)
{
    for (; !m_expiries.empty() && m_expiries.front().at <= now; m_expiries.pop_front())
    {
        const auto it = m_entries.find(m_expiries.front().scope);
        const bool is_due = it != m_entries.end() && it->second.recorded + m_limits.window <= now;
        if (is_due && it->second.entry.state != run_state::running)
            erase(std::string(it->first));
    }
}

std::vector<history_entry> history::entries() const
{
    std::vector<history_entry> result;
    result.reserve(m_entries.size());
    for (const auto& [scope, value] : m_entries)
        result.push_back(value.entry);
    return result;
}

std::size_t history::size_of(const history_entry& entry) noexcept
{
    constexpr std::size_t fixed_overhead = 256; // map node, expiry and small strings
    return fixed_overhead + 2 * entry.scope.size() + entry.result.body.size() +
           entry.result.content_type.size();
}

std::string history_scope(const request& value)
{
    return value.tenant + '\n' + value.request_class + '\n' + value.idempotency_key;
}

} // namespace eelgrassrail
