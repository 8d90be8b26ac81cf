/// Merges the reports of the processes below a relay into the relay's own report.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/router/router_message.hpp>

#include <map>
#include <string>

namespace eelgrassrail
{

/// Reports of other processes that are to be forwarded with the next report of this one. Counts are
/// forwarded once. Requests in flight are a gauge: the value in the latest report of each process
/// applies until the next one arrives.
class report_collector
{
  public:
    /// @brief Adds the report of a process below this one in the relay tree.
    void take(entry_report report, instant now);

    /// @brief Merges the reports added since the last call into this process's own report.
    [[nodiscard]] entry_report merge_into(entry_report own, instant now);

  private:
    /// Requests in flight of one process and of those that it relays for.
    struct in_flight_requests
    {
        instant last_report{};
        std::map<std::string, std::uint32_t, std::less<>> by_worker;
    };

    std::map<std::string, in_flight_requests, std::less<>>
        m_in_flight;       ///< by address of the process
    entry_report m_merged; ///< counts since the last call; no requests in flight
};

/// @brief Adds the members, counts and crashes of one report to another; its requests in flight are
/// left out. Versions and age are those of the fresher report. Ignores a report without members.
void merge_counts(entry_report& into, entry_report&& from);

} // namespace eelgrassrail
