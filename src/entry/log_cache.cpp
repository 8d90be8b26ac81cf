/// Merging of pages into the cache, with limits on its records and on the bytes of a page.
#include <eelgrassrail/entry/log_cache.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

constexpr std::size_t max_records = 4096;
constexpr std::size_t max_page_bytes = 4UL * 1024 * 1024;

} // namespace

void log_cache::add(log_page page)
{
    const auto page_end = page.first + page.records.size();
    if (page.first > end() || page_end < m_first)
    {
        m_records.clear();
        m_first = page.first;
    }
    m_start = page.start;
    m_head = std::max(m_head, page.head);
    for (auto offset = std::max(end(), page.first); offset < page_end; ++offset)
        m_records.push_back(std::move(page.records[offset - page.first]));
    while (m_records.size() > max_records)
    {
        m_records.pop_front();
        ++m_first;
    }
}

std::optional<log_page> log_cache::page(log_offset from) const
{
    if (from < m_first || from > end())
        return std::nullopt;
    log_page result{m_start, from, m_head, {}};
    std::size_t bytes = 0;
    for (auto n = from - m_first; n < m_records.size() && bytes < max_page_bytes; ++n)
    {
        result.records.push_back(m_records[n]);
        bytes += m_records[n].size();
    }
    return result;
}

} // namespace eelgrassrail
