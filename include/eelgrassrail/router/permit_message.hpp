/// Messages about the rate limits of workers. Each is a datagram of a kind of its own, so processes
/// of earlier versions drop and count them without losing anything else.
#pragma once

#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/limits/rate_limit.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Sent to the coordinator before a request to a worker with a rate limit, and when the sender has
/// observed another limit than the coordinator has announced.
struct permit_request
{
    std::string sender;  ///< IP:PORT for peers
    std::uint64_t id{};  ///< of the sender; repeated in the reply
    std::string worker;  ///< id
    bool is_limited{};   ///< the sender knows a limit of the worker
    double per_s{};      ///< that limit
    bool is_notice{};    ///< the sender has just observed it, or that there is none any more
    bool wants_permit{}; ///< false: a notice only, which gets no reply
    bool is_urgent{};    ///< the request is of high priority
    bool is_repeat{};    ///< sent again with the same id, since there was no reply
};
BOOST_DESCRIBE_STRUCT(permit_request, (),
                      (sender, id, worker, is_limited, per_s, is_notice, wants_permit, is_urgent,
                       is_repeat))

/// The coordinator's reply.
struct permit_reply
{
    std::uint64_t id{};
    bool is_granted{};
    double next_ms{};        ///< as in `permit_decision`
    double retry_after_ms{}; ///< as in `permit_decision`
};
BOOST_DESCRIBE_STRUCT(permit_reply, (), (id, is_granted, next_ms, retry_after_ms))

/// All rate limits that the coordinator knows; sent to all processes through relays.
struct limit_update
{
    coordinator_identity sender;
    bool is_settled{}; ///< the sender has held its role for long enough to know all limits
    std::vector<rate_limit> limits;
};
BOOST_DESCRIBE_STRUCT(limit_update, (), (sender, is_settled, limits))

/// The paces of all workers that have started or recovered lately; sent by the coordinator to all
/// processes through relays.
struct pace_update
{
    coordinator_identity sender;
    bool is_settled{}; ///< the sender has held its role for long enough to know all paces
    std::vector<rate_limit> paces;
};
BOOST_DESCRIBE_STRUCT(pace_update, (), (sender, is_settled, paces))

} // namespace eelgrassrail
