/// Header names and grant calls of the protocol with callers and workers. The adapter of a platform
/// supplies them; the router itself contains no header name.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/message.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace eelgrassrail
{

/// Status of the answers of a worker that is not the one that was addressed.
constexpr unsigned other_worker_status = 421;

/// A range of keys that is granted to a worker, or released by it.
struct key_grant
{
    std::uint32_t first{};
    std::uint32_t last{};  ///< inclusive
    std::uint64_t fence{}; ///< fencing token
    millis lease_duration{};
    std::string handover; ///< from the previous owner's release; empty if there is none
};

/// Header names and calls.
struct wire_format
{
    std::string attempt_id;       ///< identifies one attempt of a caller; workers echo it
    std::string deadline;         ///< remaining time in ms
    std::string expected_worker;  ///< id of the addressed worker; any other one refuses the request
    std::string key;              ///< key of the request
    std::string worker_signature; ///< present in answers that a worker generated itself
    std::string not_executed;     ///< present if the worker did not run the request
    std::string rate_limit;       ///< requests per second that a worker accepts from all processes
    std::string leaving;          ///< in all answers of a worker that is leaving: "1"
    std::string handover;         ///< state for the next owner, in the answer to a release
    std::function<http_call(const key_grant&)> grant;
    std::function<http_call(const key_grant&)> release;
};

} // namespace eelgrassrail
