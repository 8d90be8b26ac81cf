/// Notifies a request's handler that the caller has closed its connection.
#pragma once

#include <functional>
#include <utility>

namespace eelgrassrail
{

/// Connection state of the caller of one request: set by the connection's task, read by the
/// handler.
class caller_watch
{
  public:
    /// @brief Whether the caller has closed its connection. Checks the socket as well, as the
    /// connection's task may not have run since the close arrived.
    [[nodiscard]] bool is_gone()
    {
        if (!m_disconnected && m_is_closed && m_is_closed())
            set_disconnected();
        return m_disconnected;
    }

    /// @brief Sets the check of the socket; an empty function once the socket may be destroyed.
    void set_close_check(std::function<bool()> is_closed) { m_is_closed = std::move(is_closed); }

    /// @brief Sets the callback for the caller's disconnect; it is called at most once.
    void on_gone(std::function<void()> callback) { m_on_gone = std::move(callback); }

    /// @brief Marks the connection as closed by the caller and runs the callback.
    void set_disconnected()
    {
        if (std::exchange(m_disconnected, true))
            return;
        if (m_on_gone)
            m_on_gone();
    }

  private:
    bool m_disconnected{};
    std::function<void()> m_on_gone;
    std::function<bool()> m_is_closed;
};

} // namespace eelgrassrail
