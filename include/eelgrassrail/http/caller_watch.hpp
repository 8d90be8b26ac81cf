/// Tells a request's handler that its caller has closed the connection.
#pragma once

#include <functional>
#include <utility>

namespace eelgrassrail
{

/// One request's view of its caller. The connection's task sets it, the handler reads it.
class caller_watch
{
  public:
    /// @brief Whether the caller has closed its connection. The connection itself is asked, as its
    /// task may not have had its turn since the close arrived.
    [[nodiscard]] bool is_gone()
    {
        if (!m_gone && m_is_closed && m_is_closed())
            set_gone();
        return m_gone;
    }

    /// @brief Sets how the connection is asked; nothing once the connection may have ended.
    void ask_connection(std::function<bool()> is_closed) { m_is_closed = std::move(is_closed); }

    /// @brief Sets what is called once when the caller closes its connection.
    void on_gone(std::function<void()> call) { m_call = std::move(call); }

    /// @brief The connection was closed by the caller.
    void set_gone()
    {
        if (std::exchange(m_gone, true))
            return;
        if (m_call)
            m_call();
    }

  private:
    bool m_gone{};
    std::function<void()> m_call;
    std::function<bool()> m_is_closed;
};

} // namespace eelgrassrail
