/// One event in the leases of a stand-in worker, and its line in the worker's log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// What happened to a range of keys at a worker.
enum class hold_kind : std::uint8_t
{
    grant,    ///< the worker took keys of which it did not hold all
    renewal,  ///< it held all of them; the token may be higher than before
    refusal,  ///< a grant got 409
    release,  ///< a release arrived: no new work begins
    released, ///< the release was answered
    end       ///< the process ended
};

/// Times are those of the boot clock, in microseconds, common to all processes.
struct hold_event
{
    std::string life; ///< id and start time of the worker
    hold_kind kind{};
    std::uint32_t first{};
    std::uint32_t last{}; ///< inclusive
    std::uint64_t fence{};
    std::int64_t at_us{};      ///< when the worker applied it; for `released`: answered it
    std::int64_t arrived_us{}; ///< when the call arrived
    std::int64_t until_us{};   ///< end of the lease by the worker's own clock; 0: not a grant
    bool was_late{};           ///< the worker took the grant later than it arrived
};

/// Events of several workers, in the order in which they happened.
using hold_journal = std::vector<hold_event>;

/// @brief The line `hold LIFE KIND FIRST LAST FENCE AT ARRIVED UNTIL LATE SENDER`. The sender is
/// named by its epoch, which its log repeats in "claimed ... epoch=".
[[nodiscard]] std::string to_line(const hold_event& event);

/// @brief Parses such a line; nothing if it is another line or incomplete.
[[nodiscard]] std::optional<hold_event> parse_hold_line(const std::string& line);

/// @brief Epoch of the coordinator that made a token.
[[nodiscard]] std::uint64_t epoch_of(std::uint64_t fence);

} // namespace eelgrassrail::test
