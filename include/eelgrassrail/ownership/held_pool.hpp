/// A pool that this process holds: lease, waits, standbys, open records.
#pragma once

#include <eelgrassrail/ownership/holder_lease.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrassrail
{

/// State of one held pool; owned by the ownership agent.
struct held_pool
{
    pool_id id;
    epoch_number epoch{};
    holder_lease lease;
    instant starts_at;   ///< invariant: counted from meeting the own claim in the log
    bool started{};      ///< the wait is over
    bool handing_over{}; ///< invariant: never acts again in this epoch once set
    std::map<process_id, instant> standby_heard;
    std::optional<process_id> syncing;           ///< candidate that is being brought up to date
    std::optional<std::string> open_appointment; ///< id of an appointment that may still land
    std::set<process_id> failed;                 ///< standbys that miss history; to be dropped
    std::optional<std::uint64_t> resume_number;  ///< resumption that is still to be written
    std::map<std::string, instant> failed_candidates; ///< vm to the end of its back-off
};

} // namespace eelgrassrail
