/// The newest records of the log, kept to answer questions that share one read.
#pragma once

#include <eelgrassrail/ownership/messages.hpp>

#include <deque>
#include <optional>
#include <string>

namespace eelgrassrail
{

/// A contiguous run of records up to the last read.
class log_cache
{
  public:
    /// @brief Adds the records of a page; a page that does not join up replaces everything.
    void add(log_page page);

    /// @brief The records from an offset on, as far as one page goes.
    /// @return nothing if the offset is not covered
    [[nodiscard]] std::optional<log_page> page(log_offset from) const;

    /// @brief The offset after the newest record: where the next read goes on.
    [[nodiscard]] log_offset end() const noexcept { return m_first + m_records.size(); }

  private:
    log_offset m_start{};              ///< oldest retained offset at the last read
    log_offset m_first{};              ///< offset of m_records[0]
    log_offset m_head{};               ///< head at the last read; may be past `end()`
    std::deque<std::string> m_records; ///< invariant: contiguous
};

} // namespace eelgrassrail
