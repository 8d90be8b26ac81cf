/// Memory for bodies that are being received, shared by all connections of a process.
///
/// Pattern answered: servers in trouble send bytes without end. Each body is bounded, but some
/// dozen of them at once would take all memory of a small VM.
#pragma once

#include <algorithm>
#include <cstddef>

namespace eelgrassrail
{

/// Counts the bytes beyond those that each body may always have.
class receive_budget
{
  public:
    /// @param most bytes of all large bodies together
    explicit receive_budget(std::size_t most) noexcept
        : m_most(most)
    {
    }

    /// @brief Takes bytes.
    /// @return false if there are not as many left; nothing is taken then
    [[nodiscard]] bool take(std::size_t bytes) noexcept
    {
        if (bytes > m_most - m_taken)
            return false;
        m_taken += bytes;
        m_peak = std::max(m_peak, m_taken);
        return true;
    }

    void give_back(std::size_t bytes) noexcept { m_taken -= bytes; }

    /// @brief Most bytes that were taken at a time.
    [[nodiscard]] std::size_t peak() const noexcept { return m_peak; }

  private:
    std::size_t m_most;
    std::size_t m_taken{}; ///< invariant: at most `m_most`
    std::size_t m_peak{};
};

} // namespace eelgrassrail
