/// Text record of one run of a case.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <fstream>
#include <string>

namespace review
{

/// Writes `record.txt` in the folder of a case: one line for each event, with the time in ms since
/// the start.
class record
{
  public:
    explicit record(const std::string& folder);

    void add(const std::string& text);

    /// @brief Time since the start, in ms.
    [[nodiscard]] std::int64_t elapsed_ms() const;

    /// @brief Converts a time of the boot clock, in microseconds, to ms since the start.
    [[nodiscard]] std::int64_t elapsed_ms(std::int64_t boot_us) const;

  private:
    eelgrassrail::instant m_start;
    std::ofstream m_out;
};

/// @brief Time of the boot clock, in microseconds.
[[nodiscard]] std::int64_t now_us();

} // namespace review
