/// Records of the platform's log. A record is a proposal; the fold decides whether it is applied.
#pragma once

#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/tickets/service_spec.hpp>

#include <boost/describe/enum.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassrail
{

/// A change ticket: the complete new state of the services it names.
struct ticket
{
    ticket_number base{}; ///< the ticket that was in force when the author wrote this one
    std::string author;
    std::string reason;
    std::vector<service_spec> services;
    std::vector<std::string> removed_services;
};
BOOST_DESCRIBE_STRUCT(ticket, (), (base, author, reason, services, removed_services))

/// Reason for which a process claims a pool. It determines how long the claimer waits before it
/// acts.
enum class claim_evidence : std::uint8_t
{
    unheld,       ///< the pool has never had a holder
    silence,      ///< an appointed standby gets no heartbeats any more
    same_address, ///< the claimer has bound the holder's address, so the holder's process is gone
    vm_gone,      ///< the VMs of holder and standbys are missing in the platform's list
    isolation,    ///< the holder is unreachable; the claimer waits for the isolation grace
    handed_over   ///< not a claim: the former holder appointed its successor
};
BOOST_DESCRIBE_ENUM(claim_evidence, unheld, silence, same_address, vm_gone, isolation, handed_over)

/// Proposes the claimer as the next lease holder of a pool.
struct claim
{
    pool_id pool;
    epoch_number ends{}; ///< the epoch that this claim ends
    process_id claimer;
    std::vector<process_id> standbys;
    claim_evidence evidence{};
};
BOOST_DESCRIBE_STRUCT(claim, (), (pool, ends, claimer, standbys, evidence))

/// The wait of an epoch's holder is over; it acts from now on.
struct activation
{
    pool_id pool;
    epoch_number epoch{};
};
BOOST_DESCRIBE_STRUCT(activation, (), (pool, epoch))

/// The holder has stopped acting and appoints its successor.
struct handover
{
    pool_id pool;
    epoch_number epoch{};
    process_id successor;
    std::vector<process_id> standbys;
};
BOOST_DESCRIBE_STRUCT(handover, (), (pool, epoch, successor, standbys))

/// Replaces the set of standbys that may claim a pool by silence.
struct appointment
{
    pool_id pool;
    epoch_number epoch{};
    log_offset base{}; ///< `pool_state::appointed` when the holder wrote this record
    std::vector<process_id> standbys;
};
BOOST_DESCRIBE_STRUCT(appointment, (), (pool, epoch, base, standbys))

/// The holder can read the log again; ends relinquishments up to `number`.
struct resumption
{
    pool_id pool;
    epoch_number epoch{};
    std::uint64_t number{};
};
BOOST_DESCRIBE_STRUCT(resumption, (), (pool, epoch, number))

/// The holder sends no more work for slices that tickets moved away from its pool before `as_of`.
struct slice_release
{
    pool_id pool;
    epoch_number epoch{};
    log_offset as_of{}; ///< offset of the first record that the writer had not folded
    bool evacuated{}; ///< written for a pool in an evacuated zone, after a wait, by another holder
};
BOOST_DESCRIBE_STRUCT(slice_release, (), (pool, epoch, as_of, evacuated))

/// The folded state of all records below `as_of`.
struct snapshot
{
    log_offset as_of{};
    std::string state;    ///< JSON text of `deployment_state`
    std::uint64_t hash{}; ///< XXH64 of `state`
};
BOOST_DESCRIBE_STRUCT(snapshot, (), (as_of, state, hash))

/// One record with its unique id, which the copies of a repeated append share.
struct log_record
{
    using body_type = std::variant<ticket, claim, activation, handover, appointment, resumption,
                                   slice_release, snapshot>;
    std::string id;
    body_type body;
};

/// Version of the record format that this library writes and reads.
constexpr std::uint64_t record_version = 1;

/// Maximum size of a record that is read or written.
constexpr std::size_t max_record_bytes = 4UL * 1024UL * 1024;

/// @brief Encodes a record as one line of JSON.
/// @throws ticket_error 220 the record is longer than `max_record_bytes`
[[nodiscard]] std::string encode(const log_record& record);

/// @brief Decodes a record.
/// @throws ticket_error 201 to 203 for fields; 220 too long; 221 not JSON; 222 an unknown version
///         or kind
[[nodiscard]] log_record decode_record(std::string_view text);

/// @brief Decodes and validates a ticket file as written by an operator: a `ticket` without `base`.
/// @throws ticket_error 202 for a `base`; 201 to 203 for fields; 220 too long; 221 not JSON; 21x as
///         `validate`
[[nodiscard]] ticket decode_ticket_file(std::string_view text);

/// @brief Checks author, reason and services of a ticket, and that no service is named twice.
/// @throws ticket_error 21x with the path of the field
void validate(const ticket& value);

} // namespace eelgrassrail
