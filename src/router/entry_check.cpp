/// Limits of the properties of a worker.
#include <eelgrassrail/registry/worker_entry.hpp>
#include <eelgrassrail/router/entry_check.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <algorithm>
#include <string_view>

namespace eelgrassrail
{
namespace
{

/// Of ids, services and zones. A push with hundreds of entries has to fit into a datagram.
constexpr std::size_t max_name_bytes = 128;

/// No worker runs more requests concurrently; the keys that it gets are proportional to it.
constexpr std::uint32_t max_slots = 10'000;

constexpr std::uint32_t max_cold_ms = 3'600'000; ///< one hour

/// Whether a text can be part of a header value and of a log line.
bool is_name(std::string_view text)
{
    constexpr char first_visible = '!';
    constexpr char last_visible = '~';
    return !text.empty() && text.size() <= max_name_bytes &&
           std::ranges::all_of(text,
                               [](char c) { return c >= first_visible && c <= last_visible; });
}

bool is_callable(const std::string& address)
{
    try
    {
        return parse_tcp_address(address).port() != 0;
    }
    catch (const std::invalid_argument&)
    {
        return false;
    }
}

} // namespace

std::string find_defect(const worker_entry& entry)
{
    if (!is_name(entry.life.id))
        return "its id is not a name";
    if (!is_name(entry.service) || !is_name(entry.zone))
        return "its service or zone is not a name";
    if (!is_callable(entry.address))
        return "its address is not IP:PORT";
    if (entry.slots > max_slots || entry.cold_ms > max_cold_ms)
        return "its slots or its warm-up time are too large";
    return {};
}

} // namespace eelgrassrail
