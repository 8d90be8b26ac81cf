/// Requests that were running when backend servers were lost.
///
/// A fingerprint that was running during two distinct losses of servers is refused for a time. A
/// successful run clears it.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace eelgrassrail
{

/// Strikes by fingerprint. Time is passed in.
class quarantine
{
  public:
    /// Losses during which a request may be running before it is refused.
    static constexpr std::size_t strikes_allowed = 2;

    explicit quarantine(millis duration = millis(120'000))
        : m_duration(duration)
    {
    }

    /// @brief A server was lost while the request was running on it.
    /// @param incident name of the loss; all requests that ran at the time share it
    /// @return true if the request is refused from now on
    bool on_server_lost(std::uint64_t fingerprint, const std::string& incident, instant now);

    /// @brief A server answered the request.
    void on_success(std::uint64_t fingerprint) { m_strikes.erase(fingerprint); }

    /// @brief Another process has put the request into quarantine.
    void add(std::uint64_t fingerprint, instant now);

    [[nodiscard]] bool has_strike(std::uint64_t fingerprint, instant now) const;
    [[nodiscard]] bool is_refused(std::uint64_t fingerprint, instant now) const;

    /// @brief Forgets strikes that are older than the duration.
    void expire(instant now);

  private:
    struct strike_record
    {
        std::set<std::string> incidents;
        instant until;
        bool refused{};
    };

    millis m_duration;
    std::unordered_map<std::uint64_t, strike_record> m_strikes;
};

} // namespace eelgrassrail
