/// Growth of a body by blocks.
#include <eelgrassrail/http/body_blocks.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

/// Most bodies are small; the first block grows up to this size before further blocks are added.
constexpr std::size_t min_block_bytes = 4UL * 1024;

} // namespace

void body_blocks::append(std::span<const char> bytes)
{
    while (!bytes.empty())
    {
        if (m_blocks.empty() || m_blocks.back().size() == m_blocks.back().capacity())
        {
            // Blocks double up to the full size, so a small body takes little more than its size.
            const auto wanted =
                std::clamp(std::max(bytes.size(), m_size), min_block_bytes, block_bytes);
            m_blocks.emplace_back().reserve(wanted);
            m_capacity += m_blocks.back().capacity();
        }
        auto& block = m_blocks.back();
        const auto n = std::min(bytes.size(), block.capacity() - block.size());
        block.append(bytes.data(), n);
        m_size += n;
        bytes = bytes.subspan(n);
    }
}

std::vector<boost::asio::const_buffer> body_blocks::buffers() const
{
    std::vector<boost::asio::const_buffer> result;
    result.reserve(m_blocks.size());
    std::ranges::transform(m_blocks, std::back_inserter(result),
                           [](const std::string& block) { return boost::asio::buffer(block); });
    return result;
}

std::string body_blocks::joined() const
{
    std::string result;
    result.reserve(m_size);
    for (const auto& block : m_blocks)
        result += block;
    return result;
}

} // namespace eelgrassrail
