/// The state that results from folding the log: the services in force and the pools' lease holders.
///
/// It is plain data with a JSON form; a snapshot consists of this state only.
#pragma once

#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/tickets/log_record.hpp>
#include <eelgrassrail/tickets/service_spec.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// A slice that a ticket moved to another pool and that its former pool has not released yet.
struct pending_slice
{
    slice_index slice{};
    std::uint32_t from{}; ///< index of the pool that still has to release it
    log_offset since{};   ///< offset of the record that moved it

    bool operator==(const pending_slice&) const = default;
};
BOOST_DESCRIBE_STRUCT(pending_slice, (), (slice, from, since))

/// One service with the ticket that last changed it.
struct service_state
{
    service_spec spec;
    ticket_number number{}; ///< the ticket that set `spec`
    std::string author;
    std::string reason;
    log_offset offset{};
    std::vector<std::uint32_t> slice_pools; ///< index of the owning pool for each slice
    std::vector<pending_slice> pending;     ///< invariant: sorted by slice, no duplicates

    bool operator==(const service_state&) const = default;
};
BOOST_DESCRIBE_STRUCT(service_state, (),
                      (spec, number, author, reason, offset, slice_pools, pending))

/// One pool with its lease holder.
struct pool_state
{
    pool_id id;
    std::vector<std::string> workers; ///< ids of at most `max_pool_workers` workers
    epoch_number epoch{};
    std::optional<process_id> holder;
    std::vector<process_id> standbys; ///< the only processes that may claim by silence
    log_offset appointed{};           ///< offset of the record that set `standbys`
    bool active{};                    ///< the holder's activation was read
    std::uint32_t wait_ms{};          ///< invariant: at least as long as any wait in progress
    std::uint32_t longest_lease_ms{}; ///< largest lease since the epoch began
    claim_evidence evidence{};
    log_offset since{}; ///< offset of the record that began the epoch

    bool operator==(const pool_state&) const = default;
};
BOOST_DESCRIBE_STRUCT(pool_state, (),
                      (id, workers, epoch, holder, standbys, appointed, active, wait_ms,
                       longest_lease_ms, evidence, since))

/// Result of one published ticket.
struct ticket_result
{
    std::string id;
    bool accepted{};
    ticket_number number{}; ///< its own number if accepted, else the number in force at its offset
    ticket_number base{};
    log_offset offset{};
    std::string author;
    std::string reason; ///< the author's reason if accepted, else the reason of the rejection

    bool operator==(const ticket_result&) const = default;
};
BOOST_DESCRIBE_STRUCT(ticket_result, (), (id, accepted, number, base, offset, author, reason))

/// The complete folded state.
struct deployment_state
{
    log_offset next{};                         ///< the offset of the next record to fold
    ticket_number in_force{};                  ///< invariant: never decreases
    std::vector<service_state> services;       ///< invariant: sorted by name
    std::vector<pool_state> pools;             ///< invariant: sorted by id
    std::vector<std::string> retired_services; ///< names of removed services; cannot be reused
    std::vector<ticket_result> results; ///< the last `max_ticket_results` tickets, oldest first
    log_offset last_snapshot{};         ///< `as_of` of the newest snapshot in the log

    bool operator==(const deployment_state&) const = default;
};
BOOST_DESCRIBE_STRUCT(deployment_state, (),
                      (next, in_force, services, pools, retired_services, results, last_snapshot))

/// Maximum number of workers in one pool.
constexpr std::size_t max_pool_workers = 16;

/// Number of tickets whose results are kept.
constexpr std::size_t max_ticket_results = 256;

/// Time that a claimer waits in addition to the lease: covers clock drift and the delay between a
/// check of the lease and the write that follows it.
constexpr std::uint32_t lease_margin_ms = 100;

/// @brief Finds a service by name; nullptr if there is none.
[[nodiscard]] const service_state* find_service(const deployment_state& state,
                                                std::string_view name) noexcept;

/// @brief Finds a pool by id; nullptr if there is none.
[[nodiscard]] const pool_state* find_pool(const deployment_state& state,
                                          const pool_id& id) noexcept;

/// @brief Finds the pool that owns a slice; nullptr if there is none.
[[nodiscard]] const pool_state* find_owning_pool(const deployment_state& state,
                                                 const service_state& service,
                                                 slice_index slice) noexcept;

/// @brief Finds the release that a slice awaits before its new pool may serve it; nullptr if none.
[[nodiscard]] const pending_slice* find_pending_slice(const service_state& service,
                                                      slice_index slice) noexcept;

/// @brief Creates the snapshot record body of a state.
[[nodiscard]] snapshot make_snapshot(const deployment_state& state);

/// @brief Restores the state of a snapshot.
/// @throws ticket_error 230 the hash does not match; 221 not JSON; 201 to 203 for fields
[[nodiscard]] deployment_state read_snapshot(const snapshot& value);

} // namespace eelgrassrail
