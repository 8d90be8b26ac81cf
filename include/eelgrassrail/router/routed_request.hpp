/// One caller's request on its way.
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

/// A request with what was decided about it so far.
struct routed_request
{
    http_call call;
    std::shared_ptr<caller_watch> watch;
    std::shared_ptr<const route_table> table; ///< keeps `way` and `terms` alive
    const route* way{};
    const service_terms* terms{};
    std::string service;
    std::string attempt_id;
    std::optional<std::uint32_t> key; ///< if the service is divided by key
    std::uint64_t fingerprint{};      ///< of method, target and body
    instant arrived{};
    instant caller_deadline{}; ///< the caller waits no longer
    instant give_up{};         ///< the earlier of the caller's deadline and the route's timeout
    double draw{};             ///< drawn once: it decides whether a full worker takes it
    unsigned sent{};           ///< workers that it was sent to
    bool may_have_run{};       ///< a worker may have begun to run it
    std::set<std::string> refused_by; ///< ids of workers that did not run it
    std::string last_worker;          ///< id of the worker that it was sent to last
    error_kind end{error_kind::none}; ///< why it has no worker's answer
};

} // namespace eelgrassrail
