/// A message body in blocks: it grows without a copy, so it never takes more than its own size.
#pragma once

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Bytes in blocks of up to `block_bytes`.
class body_blocks
{
  public:
    /// Blocks of this size are returned to the system when they are freed.
    static constexpr std::size_t block_bytes = 256UL * 1024;

    /// @brief Adds bytes at the end.
    void append(std::span<const char> bytes);

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// @brief Memory that the blocks take.
    [[nodiscard]] std::size_t capacity() const noexcept { return m_capacity; }

    /// @brief The blocks in order; valid until the next `append`.
    [[nodiscard]] std::vector<boost::asio::const_buffer> buffers() const;

    /// @brief All bytes in one string.
    [[nodiscard]] std::string joined() const;

  private:
    std::vector<std::string> m_blocks; ///< invariant: no block exceeds its reserved capacity
    std::size_t m_size{};
    std::size_t m_capacity{};
};

} // namespace eelgrassrail
