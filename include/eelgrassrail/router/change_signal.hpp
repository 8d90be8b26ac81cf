/// Wakes tasks that wait for a change of state.
#pragma once

#include <eelgrassrail/router/boot_timer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <set>

namespace eelgrassrail
{

/// A condition variable for coroutines on one thread.
class change_signal
{
  public:
    explicit change_signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /// @brief Waits until the next `notify` or the timeout, whichever is first.
    boost::asio::awaitable<void> wait(boot_clock::duration timeout);

    /// @brief Wakes all tasks that are waiting.
    void notify();

  private:
    boost::asio::any_io_executor m_executor;
    std::set<boot_timer*> m_waiting;
};

} // namespace eelgrassrail
