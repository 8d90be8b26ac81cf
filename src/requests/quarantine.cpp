/// Implementation of the quarantine.
#include <eelgrassrail/requests/quarantine.hpp>

namespace eelgrassrail
{

bool quarantine::on_server_lost(std::uint64_t fingerprint, const std::string& incident, instant now)
{
    auto& record = m_records[fingerprint];
    record.incidents.insert(incident);
    record.until = now + m_duration;
    record.refused = record.refused || record.incidents.size() >= incident_threshold;
    return record.refused;
}

void quarantine::add(std::uint64_t fingerprint, instant now)
{
    auto& record = m_records[fingerprint];
    record.until = now + m_duration;
    record.refused = true;
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
