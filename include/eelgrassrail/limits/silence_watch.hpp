/// Detects that a worker has stopped responding, from what the processes report.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>

namespace eelgrassrail
{

/// The responses of one worker to all processes. A worker that was silent for some time may have
/// turned cold meanwhile, and its entry does not say so until it writes the next one.
class silence_watch
{
  public:
    /// @brief Records a report of one process.
    /// @param responses complete responses since its last report, failures included
    void on_report(std::uint32_t responses, instant now) noexcept
    {
        if (responses > 0)
            m_last_response = now;
    }

    /// @brief Records how many requests the worker has from all processes; to be called regularly.
    void on_load(std::uint32_t in_flight, instant now) noexcept
    {
        if (in_flight == 0)
            m_busy_since = {};
        else if (m_busy_since == instant{})
            m_busy_since = now;
    }

    /// @brief Whether it has had requests, and has responded to none, for so long that its runs do
    /// not explain it.
    /// @param run_ms usual run time of its service
    [[nodiscard]] bool is_silent(double run_ms, instant now) const noexcept;

  private:
    instant m_last_response{};
    instant m_busy_since{}; ///< none: it has no requests
};

} // namespace eelgrassrail
