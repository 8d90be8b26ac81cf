/// The place of one reply that a coroutine of a process waits for.
#pragma once

#include <eelgrassrail/router/boot_timer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace eelgrassrail::test
{

/// Only the waiting coroutine owns it, so that it ends with its process; events refer to it weakly.
template <class Value>
class reply_slot
{
  public:
    explicit reply_slot(const boost::asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    /// @brief Sets the reply; only the first one counts.
    void set(Value value)
    {
        if (m_value)
            return;
        m_value = std::move(value);
        m_timer.cancel();
    }

    /// @brief Waits for the reply.
    /// @return nothing if there is none at `until`
    boost::asio::awaitable<std::optional<Value>> wait(instant until)
    {
        boost::system::error_code ec;
        if (!m_value)
        {
            m_timer.expires_at(until);
            co_await m_timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        }
        co_return std::exchange(m_value, std::nullopt);
    }

  private:
    boot_timer m_timer;
    std::optional<Value> m_value;
};

} // namespace eelgrassrail::test
