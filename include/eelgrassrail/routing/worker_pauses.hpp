/// Times for which workers have asked this process for no requests, by 503 with `Retry-After`.
///
/// Unlike a `send_backoff`, a pause is not ended by an answer: answers to requests that were sent
/// before may still arrive.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>

#include <map>
#include <optional>
#include <string_view>

namespace eelgrassrail
{

/// @brief Parses the text of `Retry-After`: seconds, which may include fractions.
/// @return std::nullopt if it is no decimal number, or 0
[[nodiscard]] std::optional<double> parse_retry_after(std::string_view text) noexcept;

/// Pauses by incarnation of a worker.
class worker_pauses
{
  public:
    /// @brief Starts a pause. The longest of several counts; none is longer than `max_pause`.
    /// @param seconds positive
    /// @return whether the worker has not been paused within the last `repeat_window`
    bool start(const worker_incarnation& worker, double seconds, instant now);

    /// @brief Remaining pause of a worker in ms; 0: none.
    [[nodiscard]] double remaining_ms(const worker_incarnation& worker, instant now) const;

    /// Longest pause. A worker that names a day, or a time in another unit, is tried again within
    /// minutes; one that is not to be used for longer is taken out of the store.
    static constexpr std::chrono::minutes max_pause{5};

    /// A pause that starts within this time after the last one continues it.
    static constexpr millis repeat_window{1'000};

  private:
    std::map<worker_incarnation, instant>
        m_until; ///< ended pauses are erased after `repeat_window`
};

} // namespace eelgrassrail
