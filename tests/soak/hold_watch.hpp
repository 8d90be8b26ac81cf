/// Reads lease events from the logs of the workers, while they run, and checks them.
#pragma once

#include "hold_check.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// A time in which grants were held up on their way or came from a router that was just thawed, so
/// that rule OWNER does not count them.
struct uncounted_span
{
    std::string worker; ///< id; empty: any
    std::string router; ///< name; empty: any
    std::int64_t from_us{};
    std::int64_t to_us{};
    std::string why;
};

/// Time after a thaw or the end of a network fault in which arriving grants don't count.
constexpr std::int64_t thaw_us = 300'000;

/// The logs of one run: worker*.log, and NAME-*.log of the router NAME.
class hold_watch
{
  public:
    explicit hold_watch(std::string folder);

    void add_span(uncounted_span span) { m_spans.push_back(std::move(span)); }

    /// @brief Adds the end of a killed worker process.
    void add_end(const std::string& life, std::int64_t at_us);

    /// @brief Reads what the logs got since the last call, and checks what is old enough that no
    /// worker will log anything before it.
    /// @return the violations found since the last call
    std::vector<std::string> poll();

    /// @brief Checks all events anew, after the workers have ended.
    /// @param excluded gets the cases that rule OWNER does not count
    [[nodiscard]] std::vector<std::string> finish(std::vector<std::string>& excluded);

    /// @brief Whether rule OWNER does not count the grant by which a worker process had some keys.
    [[nodiscard]] bool is_excluded(const std::string& life, std::uint64_t fence);

    /// Time of the last renewal that poll() has read; 0: none.
    [[nodiscard]] std::int64_t last_renewal_us() const { return m_last_renewal_us; }

    [[nodiscard]] std::size_t events_count() const { return m_events.size(); }

  private:
    void read_logs();
    [[nodiscard]] std::string why_excluded(const test::hold_event& event);
    [[nodiscard]] std::string router_of(std::uint64_t epoch);

    std::string m_folder;
    std::map<std::string, std::streamoff> m_read; ///< position by file, after the last whole line
    test::hold_journal m_events;                  ///< sorted by `at_us` up to m_checked
    std::size_t m_checked{};                      ///< number of events that poll() has checked
    std::size_t m_reported{};                     ///< number of violations that poll() has returned
    std::int64_t m_last_renewal_us{};
    std::vector<uncounted_span> m_spans;
    std::map<std::uint64_t, std::string> m_routers; ///< by epoch of their claims
    test::hold_check m_check;
};

} // namespace eelgrassrail::soak
