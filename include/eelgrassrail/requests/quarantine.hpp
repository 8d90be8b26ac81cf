/// Quarantine for requests that may crash backend servers.
///
/// A fingerprint that was running during two distinct losses of servers is refused for a limited
/// time. A successful run clears its record.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassrail
{

/// Loss of a server while a request was running on it.
struct server_loss
{
    std::uint64_t fingerprint{}; ///< of the request
    std::string incident;        ///< identifies the loss
    instant at{};
};

/// Counts server losses by request fingerprint. The caller passes the current time.
class quarantine
{
  public:
    /// Number of distinct server losses from which a request is refused.
    static constexpr std::size_t incident_threshold = 2;

    explicit quarantine(millis duration = millis(120'000))
        : m_duration(duration)
    {
    }

    /// @brief Records that a server was lost while the request was running on it.
    /// @param incident identifies the loss; the same for all requests running on the server then
    /// @param at when the server was lost; a repeated report of a loss does not prolong the refusal
    /// @return true if the request is refused from now on
    bool on_server_lost(std::uint64_t fingerprint, const std::string& incident, instant at);

    /// @brief Clears the record of a request that a server answered.
    void on_success(std::uint64_t fingerprint) { m_records.erase(fingerprint); }

    /// @brief Refuses a request that another process quarantined.
    void add(std::uint64_t fingerprint, instant now);

    /// @brief The losses that count at an instant, for other processes.
    [[nodiscard]] std::vector<server_loss> losses(instant now) const;

    [[nodiscard]] bool has_incident(std::uint64_t fingerprint, instant now) const;
    [[nodiscard]] bool is_refused(std::uint64_t fingerprint, instant now) const;

    /// @brief Removes records older than the quarantine duration.
    void expire(instant now);

  private:
    struct incident_record
    {
        std::map<std::string, instant> incidents; ///< with the time of each
        instant until;
        bool refused{};
    };

    millis m_duration;
    std::unordered_map<std::uint64_t, incident_record> m_records;
};

} // namespace eelgrassrail
