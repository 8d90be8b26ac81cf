/// Exponential backoff of a router process towards a worker that rejects its requests.
///
/// Needed when hundreds of router processes get requests for one key whose owner runs three
/// requests at a time. No process knows of the others' requests until some hundred ms later; each
/// would send, be rejected and send again at once. After consecutive rejections a process therefore
/// sends less and less often, until a request is answered.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstddef>

namespace eelgrassrail
{

/// The backoff of one router process towards one worker or one availability zone. Requests may be
/// sent until the worker rejects some.
class send_backoff
{
  public:
    /// @param tolerated_rejections consecutive rejections that cause no backoff
    explicit send_backoff(std::size_t tolerated_rejections = 1) noexcept
        : m_tolerated_rejections(tolerated_rejections)
    {
    }

    /// @brief Records that the worker rejected a request or reset its connection at once.
    /// @param random_sample uniform random sample from 0 to 1, the jitter that keeps router
    /// processes from retrying at the same time
    void on_rejected(instant now, double random_sample) noexcept;

    /// @brief Records that the worker rejected a request although it is known to have free slots.
    /// Such a worker rejects some requests by chance, whoever sends them, so the backoff stays
    /// short.
    void on_rejected_by_chance(instant now, double random_sample) noexcept;

    /// @brief Records that the worker answered a request. This ends the backoff and shortens the
    /// next one.
    void on_answered() noexcept;

    /// @brief Remaining backoff in ms until the next request may be sent; 0: now.
    [[nodiscard]] double remaining_backoff_ms(instant now) const noexcept;

  private:
    void start_backoff(instant now, double random_sample) noexcept;

    std::size_t m_tolerated_rejections;
    std::size_t m_consecutive_rejections{}; ///< halved by each answer
    instant m_backoff_until{};
    instant m_last_rejection{};
};

} // namespace eelgrassrail
