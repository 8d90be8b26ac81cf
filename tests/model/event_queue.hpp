/// Events of the ownership model in the order of virtual time.
#pragma once

#include "model_clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace eelgrassrail::test
{

/// Runs events in the order of their times; those of one time in the order of their entry.
class event_queue
{
  public:
    void at(instant when, std::function<void()> action)
    {
        m_events.push({{when, ++m_order}, std::move(action)});
    }
    void after(boot_clock::duration time, std::function<void()> action)
    {
        at(model_now() + time, std::move(action));
    }

    /// @brief Runs all events up to an instant, each at its time, and sets the clock to the
    /// instant.
    void run_until(instant end)
    {
        while (!m_events.empty() && m_events.top().key.first <= end)
        {
            const auto next = m_events.top();
            m_events.pop();
            model_now() = std::max(model_now(), next.key.first);
            next.action();
        }
        model_now() = end;
    }

  private:
    struct event
    {
        std::pair<instant, std::uint64_t> key;
        std::function<void()> action;
        bool operator<(const event& other) const { return key > other.key; } // earliest on top
    };

    std::priority_queue<event> m_events;
    std::uint64_t m_order{};
};

} // namespace eelgrassrail::test
