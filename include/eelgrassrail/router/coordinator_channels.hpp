/// Calls of the coordinator to workers and to other processes.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>
#include <eelgrassrail/router/crash_message.hpp>
#include <eelgrassrail/router/evacuation_message.hpp>
#include <eelgrassrail/router/leaving_message.hpp>
#include <eelgrassrail/router/peer_link.hpp>
#include <eelgrassrail/router/permit_message.hpp>
#include <eelgrassrail/router/router_message.hpp>

#include <functional>
#include <span>
#include <string>

namespace eelgrassrail
{

class worker_links;

/// Type-erased, so that the coordinator can run without a network. All members are set.
struct coordinator_channels
{
    /// Sends a grant or release; `not_written` if the worker's address is invalid.
    std::function<boost::asio::awaitable<http_exchange>(const worker_entry&, http_call,
                                                        exchange_options)>
        call_worker;
    /// Sends a push to many processes, to some of them through relays. It may be lost.
    std::function<void(std::span<const relay_part<std::string>>, bool gathers,
                       const coordinator_push&)>
        push;
    /// Sends the rate limits to many processes. It may be lost.
    std::function<void(std::span<const relay_part<std::string>>, const limit_update&)>
        announce_limits;
    /// Sends the paces of workers to many processes. It may be lost.
    std::function<void(std::span<const relay_part<std::string>>, const pace_update&)>
        announce_paces;
    /// Sends the changes of evacuations to many processes. It may be lost.
    std::function<void(std::span<const relay_part<std::string>>, const evacuation_update&)>
        announce_evacuations;
    /// Fetches a copy of the state of another process and applies it.
    std::function<boost::asio::awaitable<bool>(std::string)> fetch_copy;
    /// Sends the leaving workers to many processes. It may be lost.
    std::function<void(std::span<const relay_part<std::string>>, const leaving_update&)>
        announce_leaving;
    /// Sends the crashes that count to many processes. It may be lost.
    std::function<void(std::span<const relay_part<std::string>>, const crash_update&)>
        announce_crashes;
};

/// @brief Channels over the network. Both arguments have to outlive the result.
[[nodiscard]] coordinator_channels make_coordinator_channels(worker_links& links, peer_link& peers);

} // namespace eelgrassrail
