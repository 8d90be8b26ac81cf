/// How requests and grants are written for callers and workers. The values come from the adapter of
/// a platform; the router itself knows no header's name.
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

/// Keys that a worker is to hold.
struct key_grant
{
    std::uint32_t first{};
    std::uint32_t last{}; ///< inclusive
    std::uint64_t fence{};
    millis hold{};
    std::string handover; ///< from the release by the last holder; empty if there is none
};

/// Header names and bodies.
struct wire_format
{
    std::string attempt_id;       ///< names one attempt of a caller; workers echo it
    std::string deadline;         ///< ms that the caller waits
    std::string expected_worker;  ///< the worker's id; another worker refuses
    std::string key;              ///< the request's key
    std::string worker_signature; ///< stands in a worker's own answers
    std::string not_executed;     ///< the worker says that it did not run the request
    std::string handover;         ///< in the answer to a release
    std::function<http_call(const key_grant&)> grant;
    std::function<http_call(const key_grant&)> release;
};

} // namespace eelgrassrail
