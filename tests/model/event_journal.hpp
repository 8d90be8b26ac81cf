/// What has led to a state of the ownership model: lines, and the calls that workers took.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassrail::test
{

/// A grant or release that arrived at a worker.
struct worker_event
{
    instant at{};
    std::size_t life{}; ///< of the worker
    bool is_release{};
    std::uint32_t first{};
    std::uint32_t last{};
    std::uint64_t fence{};
    unsigned status{};
    std::size_t process{}; ///< sender
    std::string sender;    ///< sender and its start time
    instant written_at{};
    instant until{}; ///< end of the lease; of a release: of the work
    bool is_excused{};
};

/// Events of the last minute.
class event_journal
{
  public:
    /// @param first first and last key that the line is about; none: all keys
    void add_line(std::string text, std::uint32_t first = 0, std::uint32_t last = ~0U);
    void add(worker_event event);

    /// @brief Called with each line as it is added.
    void on_line(std::function<void(const std::string&)> call) { m_on_line = std::move(call); }

    /// @brief The events that concern a key, in the order of time.
    /// @param concerns whether the events of a worker's life count
    /// @param name of a worker's life
    [[nodiscard]] std::vector<std::string>
    lines(std::uint32_t key, const std::function<bool(std::size_t)>& concerns,
          const std::function<std::string(std::size_t)>& name) const;

  private:
    struct line
    {
        instant at{};
        std::string text;
        std::uint32_t first{};
        std::uint32_t last{};
    };

    void forget();

    std::function<void(const std::string&)> m_on_line;
    std::deque<line> m_lines;
    std::deque<worker_event> m_events;
};

/// @brief An instant as seconds with three decimals.
[[nodiscard]] std::string time_text(instant at);

/// @brief A fencing token or version as epoch and change.
[[nodiscard]] std::string version_text(std::uint64_t version);

} // namespace eelgrassrail::test
