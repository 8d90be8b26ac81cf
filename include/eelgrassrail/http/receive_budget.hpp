/// Memory budget for messages being received and held, shared by all connections of a process.
///
/// Faulty servers may send endless bodies, and clients that are not controlled may send many large
/// ones. Each body is limited on its own, but a few dozen at a time would exhaust the memory of a
/// small VM.
#pragma once

#include <eelgrassrail/http/memory_holder.hpp>

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>

namespace eelgrassrail
{

/// Counts the reserved bytes. Holders reserve only what exceeds a fixed allowance for each.
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
    [[nodiscard]] bool reserve(std::size_t bytes) noexcept;

    /// @brief Reserves bytes; if fewer are left, holders are ended, the largest first.
    /// @return false if that was not enough; then nothing is reserved
    [[nodiscard]] bool reserve_or_reclaim(std::size_t bytes);

    void release(std::size_t bytes) noexcept { m_reserved -= bytes; }

    /// @brief Adds a holder that may be ended; it leaves the budget on destruction.
    void add(memory_holder& holder) { m_holders.push_back(holder); }

    /// @brief Ends the holder that has most and can be ended.
    /// @param more_than only one that has reserved more bytes than this
    /// @return false if there is none
    bool abort_largest(std::size_t more_than);

    /// @brief Counts a holder that was ended.
    void on_ended() noexcept { ++m_ended; }

    /// @brief Number of holders that were ended.
    [[nodiscard]] std::uint64_t ended() const noexcept { return m_ended; }

    /// @brief Number of bytes reserved now.
    [[nodiscard]] std::size_t reserved() const noexcept { return m_reserved; }

    /// @brief Highest number of bytes reserved at a time.
    [[nodiscard]] std::size_t peak() const noexcept { return m_peak; }

  private:
    using holder_list =
        boost::intrusive::list<memory_holder, boost::intrusive::constant_time_size<false>>;

    std::size_t m_max_bytes;
    std::size_t m_reserved{}; ///< invariant: at most `m_max_bytes`
    std::size_t m_peak{};
    std::uint64_t m_ended{};
    holder_list m_holders;
};

} // namespace eelgrassrail
