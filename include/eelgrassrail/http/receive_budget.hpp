/// Memory budget for messages being received and held, shared by all connections of a process.
///
/// Faulty servers may send endless bodies, and clients that are not controlled may send many large
/// ones. Each body is limited on its own, but a few dozen at a time would exhaust the memory of a
/// small VM.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

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

    /// @brief Reserves bytes; if fewer are left, memory of others is reclaimed as far as needed.
    /// @return false if that was not enough; then nothing is reserved
    [[nodiscard]] bool reserve_or_reclaim(std::size_t bytes)
    {
        while (!reserve(bytes))
            if (!m_reclaim || !m_reclaim())
                return false;
        return true;
    }

    /// @brief Sets a function that releases some memory that others hold; it returns false if there
    /// is none.
    void set_reclaim(std::function<bool()> reclaim) { m_reclaim = std::move(reclaim); }

    void release(std::size_t bytes) noexcept { m_reserved -= bytes; }

    /// @brief Number of bytes reserved now.
    [[nodiscard]] std::size_t reserved() const noexcept { return m_reserved; }

    /// @brief Highest number of bytes reserved at a time.
    [[nodiscard]] std::size_t peak() const noexcept { return m_peak; }

  private:
    std::size_t m_max_bytes;
    std::size_t m_reserved{}; ///< invariant: at most `m_max_bytes`
    std::size_t m_peak{};
    std::function<bool()> m_reclaim;
};

} // namespace eelgrassrail
