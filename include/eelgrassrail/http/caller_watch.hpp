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
    /// @brief Whether the caller has closed its connection.
    [[nodiscard]] bool is_gone() const noexcept { return m_gone; }

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
};

} // namespace eelgrassrail
