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

/// What one process has seen of one worker since its last report.
struct worker_sight
{
    std::string id;
    std::uint32_t in_flight{};           ///< requests that it has at the worker now
    std::uint32_t failures{};            ///< answers that were no whole answer, or a failure's
    std::uint32_t answers{};             ///< whole answers that were no failure
    std::vector<std::uint16_t> times_ms; ///< of answers to requests that found a free slot
};
BOOST_DESCRIBE_STRUCT(worker_sight, (), (id, in_flight, failures, answers, times_ms))

/// Requests for keys of one service since the last report.
struct key_sight
{
    std::string service;
    std::vector<std::uint16_t> keys; ///< one for each request
};
BOOST_DESCRIBE_STRUCT(key_sight, (), (service, keys))

/// A request that was running when a worker was lost, or that is refused for it.
struct crash_sight
{
    std::uint64_t fingerprint{};
    std::string worker;
};
BOOST_DESCRIBE_STRUCT(crash_sight, (), (fingerprint, worker))

/// Sent towards the coordinator over UDP; it may be lost. It sums up what the sender and those
/// behind it have seen.
struct entry_report
{
    coordinator_identity sender;
    std::vector<member_sight> members; ///< the sender, and those behind it that have reported
    coordinator_identity freshest;     ///< whom the next two fields are from
    std::uint64_t routes_version{};
    std::uint32_t age_ms{}; ///< since the platform's streams were last read to their ends
    std::vector<worker_sight> workers;
    std::vector<key_sight> keys;
    std::vector<crash_sight> crashes;
};
BOOST_DESCRIBE_STRUCT(entry_report, (),
                      (sender, members, freshest, routes_version, age_ms, workers, keys, crashes))

/// The coordinator's sum of all reports on one worker.
struct worker_use
{
    std::string id;
    std::uint32_t in_flight{};
    std::uint32_t typical_ms{}; ///< time of a typical run; 0: unknown
    std::uint32_t room{1'000};  ///< of 1,000 requests for its keys, how many it can run

    bool operator==(const worker_use&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_use, (), (id, in_flight, typical_ms, room))

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
    std::uint64_t ownership_base{}; ///< the changes below follow this version without a gap
    std::vector<slice_change> ownership;
    std::uint64_t routes_version{};
    std::uint64_t workers_revision{}; ///< of the sender's registry
    std::uint64_t workers_base{};     ///< the changes below are all that came after this revision
    std::uint64_t workers_end{};      ///< offset up to which the stream was read
    std::vector<worker_change> workers;
    std::uint32_t age_ms{}; ///< since the platform's streams were last read to their ends
    bool lacks_store{}; ///< the store does not answer the coordinator; it can renew, but not move
    std::vector<worker_use> use;
    std::vector<news_member> members; ///< all that live, in the order in which they are to claim;
                                      ///< empty: not said
    std::vector<crash_sight> crashes;
};
BOOST_DESCRIBE_STRUCT(coordinator_push, (),
                      (sender, ownership_version, ownership_base, ownership, routes_version,
                       workers_revision, workers_base, workers_end, workers, age_ms, lacks_store,
                       use, members, crashes))

/// Goes before a push: to whom the receiver passes it on.
struct push_route
{
    std::vector<std::string> receivers; ///< addresses; those that are to relay come first
    bool gathers{};                     ///< reports go back this way
};
BOOST_DESCRIBE_STRUCT(push_route, (), (receivers, gathers))

/// The whole state of a process, for one that starts or has missed changes.
struct state_copy
{
    ownership_record ownership;
    std::uint64_t routes_version{};
    std::string routes_text;            ///< as the platform's store holds it
    std::vector<worker_change> workers; ///< all that are known, removed ones too
    coordinator_identity revision_of;   ///< whose registry counts the revision
    std::uint64_t workers_revision{};
    std::uint64_t workers_end{};
    std::uint32_t age_ms{};
};
BOOST_DESCRIBE_STRUCT(state_copy, (),
                      (ownership, routes_version, routes_text, workers, revision_of,
                       workers_revision, workers_end, age_ms))

} // namespace eelgrassrail
