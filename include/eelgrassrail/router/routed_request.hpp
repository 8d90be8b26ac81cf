/// State of one caller's request while it is routed.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/http/caller_watch.hpp>
#include <eelgrassrail/http/message.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrassrail
{

/// A request and the routing decisions made so far.
struct routed_request
{
    http_call call;
    std::shared_ptr<caller_watch> watch;
    std::shared_ptr<const route_table> table; ///< keeps `matched_route` and `settings` alive
    const route* matched_route{};
    const service_settings* settings{};
    std::string service;
    std::string attempt_id;
    std::optional<std::uint32_t> key; ///< set if the caller sent a valid key
    std::uint64_t fingerprint{};      ///< hash of method, target and body
    instant arrived{};
    instant caller_deadline{}; ///< as sent by the caller, or the default
    instant deadline{};        ///< the earlier of the caller's deadline and the route's timeout
    double admission_sample{}; ///< random, 0 to 1, one per request; for
                               ///< `admission_inputs::admission_sample`
    unsigned attempts{};       ///< how often it was written to a worker
    unsigned permit_denials{}; ///< how often a worker with a rate limit had no permit for it
    double paused_ms{};  ///< for which no worker for this request wants any; the caller is to wait
    bool may_have_run{}; ///< a worker may have started to run it
    std::set<std::string> refused_by; ///< ids of workers not tried again; unused for keyed services
    /// Connections on which a worker refused it. It is not sent there again: a late copy of the
    /// refusal bears the same attempt id.
    std::set<std::uint64_t> refused_on;
    std::string last_worker;            ///< id of the worker of the last attempt
    error_kind error{error_kind::none}; ///< why it was refused; `none` if a worker answered
};

} // namespace eelgrassrail
