/// Memory budget for response bodies being received, shared by all connections of a process.
///
/// Faulty servers may send endless bodies. Each body is limited on its own, but a few dozen large
/// ones at a time would exhaust the memory of a small VM.
#pragma once

#include <algorithm>
#include <cstddef>

namespace eelgrassrail
{

/// Counts the reserved bytes. Clients reserve only what exceeds a fixed allowance for each body.
class receive_budget
{
  public:
    /// @param max_bytes limit on the sum of all reservations
    explicit receive_budget(std::size_t max_bytes) noexcept
        : m_max_bytes(max_bytes)
    {
    }

    /// @brief Reserves bytes.
    /// @return false if fewer are left; then nothing is reserved
    [[nodiscard]] bool reserve(std::size_t bytes) noexcept
    {
        if (bytes > m_max_bytes - m_reserved)
            return false;
        m_reserved += bytes;
        m_peak = std::max(m_peak, m_reserved);
        return true;
    }

    void release(std::size_t bytes) noexcept { m_reserved -= bytes; }

    /// @brief Highest number of bytes reserved at a time.
    [[nodiscard]] std::size_t peak() const noexcept { return m_peak; }

  private:
    std::size_t m_max_bytes;
    std::size_t m_reserved{}; ///< invariant: at most `m_max_bytes`
    std::size_t m_peak{};
};

} // namespace eelgrassrail
