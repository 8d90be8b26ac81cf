/// Commands that a pool's dispatcher returns to the surrounding process, which carries them out.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/requests/history.hpp>
#include <eelgrassrail/requests/request.hpp>
#include <eelgrassrail/requests/work_queue.hpp>

#include <string>
#include <vector>

namespace eelgrassrail
{

/// Maps a slice to the server that owns it.
struct slice_owner
{
    slice_index slice{};
    std::string server;

    bool operator==(const slice_owner&) const = default;
};
BOOST_DESCRIBE_STRUCT(slice_owner, (), (slice, server))

/// Changes to a pool's history and slice map, replicated to its standbys.
struct pool_delta
{
    pool_id pool;
    epoch_number epoch{};
    std::uint64_t number{}; ///< sequence number within the epoch; full state: of the last delta
    std::uint64_t after{};  ///< number of the previous delta sent to this standby
    bool whole{};           ///< true: full state that replaces all earlier deltas
    std::vector<history_entry> entries;
    std::vector<slice_owner> owners;
};
BOOST_DESCRIBE_STRUCT(pool_delta, (), (pool, epoch, number, after, whole, entries, owners))

/// Send a request to a server.
struct start_command
{
    request_number id{};
    std::string server;
    fencing_token token;
    slice_index slice{};
    instant run_until; ///< the server must not run it after this instant
};

/// Return the answer of a request to its caller.
struct answer_command
{
    request_number id{};
    answer result;
};

/// Abort a request that was sent to a server by closing its connection.
struct cancel_command
{
    request_number id{};
    std::string server;
};

/// Grant slices to a server that checks fencing tokens; replaces its previous grant.
struct grant_command
{
    std::string server;
    fencing_token token;
    std::vector<slice_index> slices;
    millis length{}; ///< validity of the grant
};

/// Send a health probe to a server.
struct probe_command
{
    std::string server;
};

/// Result of a health probe.
enum class probe_result : std::uint8_t
{
    alive,
    draining,
    refused, ///< connection refused: no process listens
    timeout
};

/// Why a request failed at a server.
enum class run_failure : std::uint8_t
{
    not_written,        ///< no byte was written to the server
    refused_before_run, ///< the server reported that it did not run the request
    draining,           ///< the server did not run it and accepts no more requests
    lost_after_write,   ///< the connection broke after the first byte was written
    invalid_answer      ///< the answer was malformed, truncated or inconsistent
};

/// Commands and notifications since the last call of `dispatcher::take_outputs`.
struct dispatch_outputs
{
    std::vector<start_command> starts;
    std::vector<answer_command> answers;
    std::vector<cancel_command> cancels;
    std::vector<grant_command> grants;
    std::vector<probe_command> probes;
    std::vector<pool_delta> deltas;
    std::vector<std::uint64_t> quarantined; ///< fingerprints to send to the other processes
    std::vector<std::string> events;        ///< messages for the audit trail
    std::optional<log_offset> released;     ///< set when slices lost up to this offset have drained
};

} // namespace eelgrassrail
