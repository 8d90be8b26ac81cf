/// Until when each worker may hold the keys that it was granted.
///
/// A grant without an answer may still be applied, and its time counts from its arrival. So a
/// worker may hold its keys from the first byte of a grant until the latest arrival plus the
/// granted time, stretched by the drift of the worker's clock. It holds nothing any more once that
/// has passed, once a release was answered, or once its process is known to have ended.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>

#include <map>
#include <set>

namespace eelgrassrail
{

/// Bounds that the book counts with.
struct hold_bounds
{
    millis hold{};            ///< time that a grant gives
    millis latest_arrival{};  ///< a grant arrives at most this long after it was sent, or never
    double clock_drift{0.02}; ///< a worker's clock may run slow by this share
    millis margin{};          ///< timers and rounding
};

/// Grants by worker life.
class grant_book
{
  public:
    explicit grant_book(hold_bounds bounds)
        : m_bounds(bounds)
    {
    }

    /// @brief A grant is being sent.
    void on_grant_sent(const worker_life& worker, instant now);

    /// @brief Another process may have sent grants to the worker up to an instant.
    void on_unknown_grants(const worker_life& worker, instant last_sent);

    /// @brief The process of this life has ended.
    void on_ended(const worker_life& worker);

    /// @brief Whether the process of this life is known to have ended.
    [[nodiscard]] bool has_ended(const worker_life& worker) const;

    /// @brief Whether the worker may hold any key.
    [[nodiscard]] bool may_hold(const worker_life& worker, instant now) const;

    /// @brief First instant at which the worker holds nothing if no more grants are sent.
    [[nodiscard]] instant free_at(const worker_life& worker) const;

    /// @brief Forgets workers whose last grant ran out long ago.
    void forget(instant now);

    [[nodiscard]] const hold_bounds& bounds() const noexcept { return m_bounds; }

  private:
    hold_bounds m_bounds;
    std::map<worker_life, instant> m_free_at; ///< invariant: never moves back for a life
    std::set<worker_life> m_ended;
};

} // namespace eelgrassrail
