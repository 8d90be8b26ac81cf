/// Whether one entry sends to a worker that has just turned it away.
///
/// Pattern answered: one key is asked for at hundreds of entries, and its owner runs three requests
/// at a time. No entry can know that before it hears of the others, some hundred ms later; each
/// sends, is turned away, and would send again at once. So an entry that is turned away again and
/// again sends less and less often, until it is answered.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstddef>

namespace eelgrassrail
{

/// The window of one entry to one worker, or to one availability zone. It is open until requests
/// are turned away.
class send_window
{
  public:
    /// @param by_chance requests in a row that may be turned away before the window closes
    explicit send_window(std::size_t by_chance = 1) noexcept
        : m_by_chance(by_chance)
    {
    }

    /// @brief The worker was full: it rejected a request, or reset its connection at once.
    /// @param draw random number from 0 to 1, so that entries do not come back together
    void on_turned_away(instant now, double draw) noexcept;

    /// @brief The worker has answered a request. It is open again; the next pauses are shorter.
    void on_answered() noexcept;

    /// @brief Time until the next request may be sent, in ms; 0: now.
    [[nodiscard]] double closed_for_ms(instant now) const noexcept;

  private:
    std::size_t m_by_chance;
    std::size_t m_in_a_row{}; ///< requests that were turned away, less for each answer
    instant m_closed_until{};
    instant m_turned_away_at{};
};

} // namespace eelgrassrail
