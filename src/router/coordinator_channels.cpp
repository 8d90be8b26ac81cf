/// Channels of the coordinator over HTTP and UDP.
#include <eelgrassrail/router/coordinator_channels.hpp>
#include <eelgrassrail/router/worker_links.hpp>

namespace eelgrassrail
{

coordinator_channels make_coordinator_channels(worker_links& links, peer_link& peers)
{
    return {
        [&links](const worker_entry& worker, http_call call,
                 exchange_options options) -> boost::asio::awaitable<http_exchange>
        {
            const auto link = links.get(worker);
            if (!link)
                co_return http_exchange{};
            co_return co_await link->control.exchange(std::move(call), std::move(options));
        },
        [&peers](std::span<const relay_part<std::string>> parts, bool gathers,
                 const coordinator_push& message) { peers.send(parts, gathers, message); },
        [&peers](std::span<const relay_part<std::string>> parts, const limit_update& message)
        { peers.send(parts, message); },
        [&peers](std::span<const relay_part<std::string>> parts, const pace_update& message)
        { peers.send(parts, message); },
        [&peers](std::span<const relay_part<std::string>> parts, const evacuation_update& message)
        { peers.send(parts, message); },
        [&peers](std::string address) { return peers.fetch_copy(std::move(address), {}); },
        [&peers](std::span<const relay_part<std::string>> parts, const leaving_update& message)
        { peers.send(parts, message); },
        [&peers](std::span<const relay_part<std::string>> parts, const crash_update& message)
        { peers.send(parts, message); },
    };
}

} // namespace eelgrassrail
