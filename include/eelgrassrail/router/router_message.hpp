/// Messages between the processes of the router.
#pragma once

#include <eelgrassrail/dissemination/member_table.hpp>
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/registry/worker_change.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Activity of one worker, as seen by one process since its last report.
struct worker_report
{
    std::string id;
    std::uint32_t in_flight{};           ///< requests that this process has at the worker now
    std::uint32_t failures{};            ///< incomplete answers, and answers that report a failure
    std::uint32_t answers{};             ///< complete answers without a failure
    std::vector<std::uint16_t> times_ms; ///< response times of requests that found a free slot
};
BOOST_DESCRIBE_STRUCT(worker_report, (), (id, in_flight, failures, answers, times_ms))

/// Sample of the keys of one service that were requested since the last report.
struct key_sample
{
    std::string service;
    std::vector<std::uint16_t> keys; ///< one entry per request
};
BOOST_DESCRIBE_STRUCT(key_sample, (), (service, keys))

/// A request that was running when a worker was lost, or that is refused for that reason.
struct crash_report
{
    std::uint64_t fingerprint{};
    std::string worker;
};
BOOST_DESCRIBE_STRUCT(crash_report, (), (fingerprint, worker))

/// Sent to the coordinator over UDP, directly or through relays; it may be lost. Aggregates the
/// observations of the sender and of the processes that it relays for.
struct entry_report
{
    coordinator_identity sender;
    std::vector<member_report> members; ///< the sender, and those that reported through it
    coordinator_identity freshest;      ///< process that the next two fields come from
    std::uint64_t routes_version{};
    std::uint32_t age_ms{}; ///< since the platform's streams were last read to their ends
    std::vector<worker_report> workers;
    std::vector<key_sample> keys;
    std::vector<crash_report> crashes;
};
BOOST_DESCRIBE_STRUCT(entry_report, (),
                      (sender, members, freshest, routes_version, age_ms, workers, keys, crashes))

/// Aggregate of all reports on one worker, computed by the coordinator.
struct worker_load
{
    std::string id;
    std::uint32_t in_flight{};
    std::uint32_t typical_ms{}; ///< typical run time; 0: unknown
    std::uint32_t room{1'000};  ///< admission ratio of the requests for its keys, in 1/1,000

    bool operator==(const worker_load&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_load, (), (id, in_flight, typical_ms, room))

/// A change of ownership of one service.
struct slice_change
{
    std::uint64_t version{};
    std::string service;
    key_slice slice;
};
BOOST_DESCRIBE_STRUCT(slice_change, (), (version, service, slice))

/// Sent by the coordinator to each process over UDP; it may be lost.
struct coordinator_push
{
    coordinator_identity sender;
    std::uint64_t ownership_version{};
    std::uint64_t ownership_base{}; ///< the changes below start after this version and are complete
    std::vector<slice_change> ownership;
    std::uint64_t routes_version{};
    std::uint64_t workers_revision{}; ///< of the sender's registry
    std::uint64_t workers_base{};     ///< the changes below are all those after this revision
    std::uint64_t workers_end{};      ///< offset up to which the stream was read
    std::vector<worker_change> workers;
    std::uint32_t age_ms{}; ///< since the platform's streams were last read to their ends
    bool lacks_store{}; ///< the store does not answer the coordinator: it renews, but moves no keys
    std::vector<worker_load> use;
    std::vector<cluster_member> members; ///< all live processes in claim order; empty: unchanged
    std::vector<crash_report> crashes;
};
BOOST_DESCRIBE_STRUCT(coordinator_push, (),
                      (sender, ownership_version, ownership_base, ownership, routes_version,
                       workers_revision, workers_base, workers_end, workers, age_ms, lacks_store,
                       use, members, crashes))

/// Precedes a push: the processes that the receiver relays it to.
struct push_route
{
    std::vector<std::string> receivers; ///< addresses; those that relay further come first
    bool gathers{};                     ///< reports return along the same path
};
BOOST_DESCRIBE_STRUCT(push_route, (), (receivers, gathers))

/// Full state of a process, for one that starts or has missed changes.
struct state_copy
{
    ownership_record ownership;
    std::uint64_t routes_version{};
    std::string routes_text;            ///< as the platform's store holds it
    std::vector<worker_change> workers; ///< all known workers, including removed ones
    /// Process whose registry `workers_revision` refers to; no address: `workers` is partly of
    /// reads of other processes.
    coordinator_identity revision_of;
    std::uint64_t workers_revision{};
    std::uint64_t workers_end{};
    std::uint32_t age_ms{};
};
BOOST_DESCRIBE_STRUCT(state_copy, (),
                      (ownership, routes_version, routes_text, workers, revision_of,
                       workers_revision, workers_end, age_ms))

} // namespace eelgrassrail
