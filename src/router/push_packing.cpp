/// Packs a push; parts that do not fit into a datagram are left out in two steps.
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/peers/packing.hpp>
#include <eelgrassrail/router/push_packing.hpp>

namespace eelgrassrail
{

std::string pack_push(coordinator_push push)
{
    auto bytes = pack(write_message(push));
    if (bytes.size() <= max_push_bytes)
        return bytes;
    push.ownership.clear();
    push.ownership_base = push.ownership_version;
    push.workers.clear();
    push.workers_base = push.workers_revision;
    bytes = pack(write_message(push));
    if (bytes.size() <= max_push_bytes)
        return bytes;
    push.use.clear();
    push.members.clear();
    push.crashes.clear();
    return pack(write_message(push));
}

} // namespace eelgrassrail
