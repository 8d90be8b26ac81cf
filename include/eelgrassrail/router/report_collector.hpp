/// Merging of the reports of the processes behind a relay.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/router/router_message.hpp>

#include <map>
#include <string>

namespace eelgrassrail
{

/// Reports of others that wait to be passed on with the own one. Counts are passed on once.
/// Requests in flight are a state: the newest report of each process counts until the next one
/// comes.
class report_collector
{
  public:
    /// @brief Takes the report of a process behind this one.
    void take(entry_report report, instant now);

    /// @brief The own report with all that was taken since the last call.
    [[nodiscard]] entry_report merge_into(entry_report own, instant now);

  private:
    /// Requests in flight of one process and those behind it.
    struct running_requests
    {
        instant heard{};
        std::map<std::string, std::uint32_t, std::less<>> by_worker;
    };

    std::map<std::string, running_requests, std::less<>> m_running; ///< by address of the process
    entry_report m_merged; ///< counts since the last call; no requests in flight
};

/// @brief Adds the counts of one report to those of another. Requests in flight are left out.
void merge_counts(entry_report& into, entry_report&& from);

} // namespace eelgrassrail
