/// Cache of the newest records of the log, from which readers that share one read are served.
#pragma once

#include <eelgrassrail/ownership/messages.hpp>

#include <deque>
#include <optional>
#include <string>

namespace eelgrassrail
{

/// A contiguous range of records that ends with the last read.
class log_cache
{
  public:
    /// @brief Adds the records of a page. A page that is not contiguous with the cached records
    /// replaces them.
    void add(log_page page);

    /// @brief The cached records from an offset on, up to the size of one page.
    /// @return an empty optional if the offset is outside the cached range
    [[nodiscard]] std::optional<log_page> page(log_offset from) const;

    /// @brief Offset after the newest cached record, from which the next read continues.
    [[nodiscard]] log_offset end() const noexcept { return m_first + m_records.size(); }

  private:
    log_offset m_start{};              ///< oldest retained offset at the last read
    log_offset m_first{};              ///< offset of m_records[0]
    log_offset m_head{};               ///< head at the last read; may be past `end()`
    std::deque<std::string> m_records; ///< invariant: contiguous
};

} // namespace eelgrassrail
