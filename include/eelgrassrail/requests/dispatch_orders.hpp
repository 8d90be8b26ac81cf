/// Orders that a pool's dispatcher gives to the process around it.
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

/// The server of one slice.
struct slice_owner
{
    slice_index slice{};
    std::string server;

    bool operator==(const slice_owner&) const = default;
};
BOOST_DESCRIBE_STRUCT(slice_owner, (), (slice, server))

/// Changes of a pool's history and server map, for its standbys.
struct pool_delta
{
    pool_id pool;
    epoch_number epoch{};
    std::uint64_t number{}; ///< counts the deltas of one epoch
    std::uint64_t after{};  ///< number of the delta that was sent to this standby before
    bool whole{};           ///< replaces everything that was sent before
    std::vector<history_entry> entries;
    std::vector<slice_owner> owners;
};
BOOST_DESCRIBE_STRUCT(pool_delta, (), (pool, epoch, number, after, whole, entries, owners))

/// Send a request to a server now.
struct start_order
{
    request_number id{};
    std::string server;
    fencing_token token;
    slice_index slice{};
    instant run_until; ///< the server must not run it after this instant
};

/// Give a request its answer.
struct answer_order
{
    request_number id{};
    answer result;
};

/// Give up a request that was sent to a server: close its connection.
struct cancel_order
{
    request_number id{};
    std::string server;
};

/// Tell a token-checking server which slices it may serve.
struct grant_order
{
    std::string server;
    fencing_token token;
    std::vector<slice_index> slices;
    millis length{};
};

/// Ask a server whether it is alive.
struct probe_order
{
    std::string server;
};

/// Answer to a probe.
enum class probe_result : std::uint8_t
{
    alive,
    draining,
    refused, ///< no process listens
    timeout
};

/// How the run of a request at a server failed.
enum class run_failure : std::uint8_t
{
    not_written,        ///< nothing was written to the server
    refused_before_run, ///< the server said that it did not run it
    draining,           ///< the server did not run it and takes no more work
    lost_after_write,   ///< the connection was lost after the first byte was written
    invalid_answer      ///< the answer was malformed, cut or contradictory
};

/// Orders since the last call of `take_outputs`.
struct dispatch_outputs
{
    std::vector<start_order> starts;
    std::vector<answer_order> answers;
    std::vector<cancel_order> cancels;
    std::vector<grant_order> grants;
    std::vector<probe_order> probes;
    std::vector<pool_delta> deltas;
    std::vector<std::uint64_t> quarantined; ///< fingerprints to tell the other processes
    std::vector<std::string> events;        ///< for the audit trail
    std::optional<log_offset> released;     ///< lost slices are drained up to this offset
};

} // namespace eelgrassrail
