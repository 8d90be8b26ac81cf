/// Implementation of the quarantine.
#include <eelgrassrail/requests/quarantine.hpp>

#include <algorithm>

namespace eelgrassrail
{

bool quarantine::on_server_lost(std::uint64_t fingerprint, const std::string& incident, instant at)
{
    auto& record = m_records[fingerprint];
    const auto known = record.incidents.try_emplace(incident, at).first;
    record.until = std::max(record.until, known->second + m_duration);
    record.refused = record.refused || record.incidents.size() >= incident_threshold;
    return record.refused;
}

void quarantine::add(std::uint64_t fingerprint, instant now)
{
    auto& record = m_records[fingerprint];
    record.until = now + m_duration;
    record.refused = true;
}

std::vector<server_loss> quarantine::losses(instant now) const
{
    std::vector<server_loss> result;
    for (const auto& [fingerprint, record] : m_records)
        for (const auto& [incident, at] : record.incidents)
            if (now < record.until)
                result.push_back({fingerprint, incident, at});
    return result;
}

bool quarantine::has_incident(std::uint64_t fingerprint, instant now) const
{
    const auto it = m_records.find(fingerprint);
    return it != m_records.end() && now < it->second.until;
}

bool quarantine::is_refused(std::uint64_t fingerprint, instant now) const
{
    const auto it = m_records.find(fingerprint);
    return it != m_records.end() && now < it->second.until && it->second.refused;
}

void quarantine::expire(instant now)
{
    std::erase_if(m_records, [now](const auto& entry) { return entry.second.until <= now; });
}

} // namespace eelgrassrail
