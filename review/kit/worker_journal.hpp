/// Lines of the stand-in workers' logs about requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace review
{

/// A line about one attempt.
struct journal_line
{
    std::string kind; ///< "arrival", "begin" or "end"
    std::string attempt;
    std::int64_t at_us{}; ///< boot clock

    /// @brief Number of the router that sent the attempt.
    [[nodiscard]] std::size_t router() const;
};

/// @brief Reads the lines of a log from a position on, which is moved behind the last whole line.
[[nodiscard]] std::vector<journal_line> read_journal(const std::string& file,
                                                     std::streamoff& position);

} // namespace review
