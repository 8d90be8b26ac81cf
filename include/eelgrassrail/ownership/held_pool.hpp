/// A pool that this process holds: its lease, initial wait, standbys and pending records.
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
    instant starts_at;   ///< invariant: counted from reading the own claim back from the log
    bool started{};      ///< the initial wait is over
    bool handing_over{}; ///< invariant: never acts again in this epoch once set
    std::map<process_id, instant> standby_last_seen;  ///< last reply, at first the appointment
    std::optional<process_id> sync_candidate;         ///< candidate that is being synchronized
    std::optional<std::string> pending_appointment;   ///< record id of a pending appointment
    std::set<process_id> failed_standbys;             ///< lack part of the history; to be dropped
    std::optional<std::uint64_t> resumption_number;   ///< number of the resumption to append
    std::map<std::string, instant> failed_candidates; ///< end of the backoff, by VM
};

} // namespace eelgrassrail
