/// Coalesced reads, and reads and appends through the tree of peers.
#include <eelgrassrail/entry/log_gateway.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t readers_per_zone = 2;
constexpr std::size_t children_per_node = 8;
constexpr std::size_t max_remote_sources = 2;
constexpr int reads_per_poll = 3;
constexpr int polls_per_peer_timeout = 3;
constexpr millis vm_list_interval{1000};
constexpr millis peer_append_timeout{1200};
constexpr millis platform_retry_backoff{1000};

std::uint64_t hash_of(const std::vector<listed_vm>& vms)
{
    std::uint64_t hash = 1;
    for (const auto& vm : vms)
        for (const auto& part : {vm.vm, vm.zone, vm.address, std::string(vm.leaving ? "l" : "")})
            hash = XXH64(part.data(), part.size(), hash);
    return hash;
}

} // namespace

log_gateway::log_gateway(asio::any_io_executor executor, platform_http& platform,
                         peer_network& network, peer_endpoint self,
                         std::vector<peer_endpoint> peers, millis poll_interval)
    : m_executor(std::move(executor))
    , m_platform(platform)
    , m_network(network)
    , m_self(std::move(self))
    , m_configured_peers(std::move(peers))
    , m_min_read_interval(poll_interval / reads_per_poll)
    , m_peer_timeout(poll_interval * polls_per_peer_timeout)
{
    update_endpoints();
}

void log_gateway::update_endpoints()
{
    std::set<peer_endpoint> result(m_configured_peers.begin(), m_configured_peers.end());
    for (const auto& vm : m_vms)
        if (!vm.address.empty())
            result.insert({vm.zone, vm.address});
    result.erase(m_self);
    m_endpoints = {result.begin(), result.end()};
}

void log_gateway::set_vms(std::vector<listed_vm> vms)
{
    m_vms = std::move(vms);
    m_vms_hash = hash_of(m_vms);
    update_endpoints();
    confirm_vms();
}

void log_gateway::confirm_vms()
{
    m_vms_confirmed = boot_clock::now();
    if (m_vms_confirmed - m_vms_version_time < vm_list_interval)
        return;
    m_vms_version_time = m_vms_confirmed;
    ++m_vms_version;
}

std::vector<peer_endpoint> log_gateway::zone_endpoints() const
{
    std::vector<peer_endpoint> result;
    std::ranges::copy_if(m_endpoints, std::back_inserter(result),
                         [this](const peer_endpoint& endpoint)
                         { return endpoint.zone == m_self.zone; });
    return result;
}

std::size_t log_gateway::rank() const
{
    const auto zone = zone_endpoints();
    return static_cast<std::size_t>(std::ranges::lower_bound(zone, m_self) - zone.begin());
}

bool log_gateway::is_zone_reader() const
{
    return rank() < readers_per_zone;
}

/// Adds at most one peer of each other zone, the one that served the last read first.
void log_gateway::add_remote_sources(std::vector<peer_endpoint>& sources) const
{
    std::vector<peer_endpoint> remote;
    std::ranges::copy_if(m_endpoints, std::back_inserter(remote),
                         [this](const peer_endpoint& endpoint)
                         { return endpoint.zone != m_self.zone; });
    std::stable_partition(remote.begin(), remote.end(),
                          [this](const peer_endpoint& endpoint)
                          { return endpoint.address == m_last_source; });
    std::set<std::string> zones;
    for (const auto& endpoint : remote)
        if (zones.size() < max_remote_sources && zones.insert(endpoint.zone).second)
            sources.push_back(endpoint);
}

std::vector<peer_endpoint> log_gateway::read_sources() const
{
    std::vector<peer_endpoint> result;
    const auto zone = zone_endpoints();
    if (const auto own = rank(); own >= readers_per_zone)
    {
        // `zone` lacks this process, which does not shift lower ranks: they are indexes in `zone`.
        result.push_back(zone[(own - readers_per_zone) / children_per_node]);
        for (std::size_t n = 0; n < readers_per_zone; ++n)
            if (zone[n] != result.front())
                result.push_back(zone[n]);
    }
    add_remote_sources(result);
    return result;
}

std::vector<peer_endpoint> log_gateway::append_sources() const
{
    auto result = zone_endpoints();
    result.resize(std::min(result.size(), readers_per_zone));
    add_remote_sources(result);
    return result;
}

asio::awaitable<std::optional<log_page>> log_gateway::read(log_offset from)
{
    return read_shared(read_path::any, from);
}

asio::awaitable<std::optional<log_page>> log_gateway::read_shared(read_path path, log_offset from)
{
    const auto self = shared_from_this();
    // A running read may have begun before this call, so wait for the one after it.
    auto& reads = m_shared_reads.at(static_cast<std::size_t>(path));
    std::shared_ptr<shared_read> pending;
    if (reads.running)
    {
        if (!reads.next)
            reads.next = std::make_shared<shared_read>(m_executor);
        pending = reads.next;
    }
    else
    {
        reads.running = std::make_shared<shared_read>(m_executor);
        pending = reads.running;
        asio::co_spawn(m_executor, run_shared_read(path, pending), asio::detached);
    }
    if (!pending->finished)
    {
        boost::system::error_code ec;
        co_await pending->done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!pending->succeeded)
        co_return std::nullopt;
    if (auto page = m_cache.page(from))
        co_return page;
    co_return co_await fetch(path, from);
}

asio::awaitable<void> log_gateway::run_shared_read(read_path path,
                                                   std::shared_ptr<shared_read> pending)
{
    const auto self = shared_from_this();
    auto& reads = m_shared_reads.at(static_cast<std::size_t>(path));
    if (const auto due = reads.last_start + m_min_read_interval; boot_clock::now() < due)
    {
        asio::steady_timer timer(m_executor, due - boot_clock::now());
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    reads.last_start = boot_clock::now();
    auto page = co_await fetch(path, m_cache.end());
    pending->succeeded = page.has_value();
    if (page)
        m_cache.add(std::move(*page));
    pending->finished = true;
    pending->done.cancel();
    reads.running = std::exchange(reads.next, nullptr);
    if (reads.running)
        asio::co_spawn(m_executor, run_shared_read(path, reads.running), asio::detached);
}

asio::awaitable<std::optional<log_page>> log_gateway::fetch(read_path path, log_offset from)
{
    const bool is_reader = is_zone_reader();
    const bool uses_platform =
        path == read_path::direct || (is_reader && boot_clock::now() >= m_platform_retry_at);
    if (uses_platform)
    {
        auto page = co_await m_platform.read(from);
        if (page && boot_clock::now() >= m_next_vm_refresh)
            co_await refresh_vms();
        if (page && path == read_path::any)
            m_route = log_route::platform;
        if (page || path == read_path::direct)
            co_return page;
        m_platform_retry_at = boot_clock::now() + platform_retry_backoff;
    }
    auto page = co_await fetch_from_peers(from);
    if (!page && !is_reader)
    {
        page = co_await m_platform.read(from);
        m_route = page ? log_route::platform : log_route::none;
    }
    co_return page;
}

asio::awaitable<std::optional<log_page>> log_gateway::fetch_from_peers(log_offset from)
{
    const auto endpoints = read_sources();
    for (const auto& endpoint : endpoints)
    {
        auto page = co_await read_peer(endpoint.address, from);
        if (!page)
            continue;
        m_last_source = endpoint.address;
        m_route = endpoint.zone == m_self.zone ? log_route::zone_peer : log_route::remote_peer;
        co_return page;
    }
    m_route = log_route::none;
    co_return std::nullopt;
}

asio::awaitable<std::optional<log_page>> log_gateway::read_peer(std::string address,
                                                                log_offset from)
{
    const log_read_call message{from, m_self.zone, m_vms_hash};
    auto outcome = co_await m_network.call(address, message, m_peer_timeout);
    auto* reply = outcome.body ? std::get_if<log_read_answer>(&*outcome.body) : nullptr;
    if (reply == nullptr || !reply->succeeded)
        co_return std::nullopt;
    if (!reply->vms.empty())
        set_vms(std::move(reply->vms));
    else if (reply->vms_confirmed)
        confirm_vms();
    co_return std::move(reply->page);
}

asio::awaitable<log_read_answer> log_gateway::read_for_peer(log_read_call call)
{
    const auto self = shared_from_this();
    log_read_answer result;
    const auto path = call.zone == m_self.zone ? read_path::any : read_path::direct;
    auto page = co_await read_shared(path, call.from);
    if (!page)
        co_return result;
    result.succeeded = true;
    result.page = std::move(*page);
    // A stale list is not passed on: a VM missing from it would count as evidence that it is gone.
    result.vms_confirmed = boot_clock::now() - m_vms_confirmed < 2 * vm_list_interval;
    if (result.vms_confirmed && call.vms_hash != m_vms_hash)
        result.vms = m_vms;
    co_return result;
}

asio::awaitable<void> log_gateway::refresh_vms()
{
    m_next_vm_refresh = boot_clock::now() + vm_list_interval;
    if (auto vms = co_await m_platform.list_vms())
        set_vms(std::move(*vms));
}

asio::awaitable<append_result> log_gateway::append(std::string text)
{
    const auto self = shared_from_this();
    const bool uses_platform = is_zone_reader() && boot_clock::now() >= m_platform_retry_at;
    auto result = append_result::not_sent;
    if (uses_platform)
        result = co_await m_platform.append(text);
    if (result != append_result::not_sent)
        co_return result;
    const log_append_call message{text};
    const auto endpoints = append_sources();
    for (const auto& endpoint : endpoints)
    {
        auto outcome = co_await m_network.call(endpoint.address, message, peer_append_timeout);
        const auto* reply = outcome.body ? std::get_if<log_append_answer>(&*outcome.body) : nullptr;
        if (reply != nullptr && reply->result != append_result::not_sent)
            co_return reply->result;
        if (outcome.result == call_result::lost)
            co_return append_result::unknown;
    }
    co_return uses_platform ? result : co_await m_platform.append(std::move(text));
}

asio::awaitable<log_append_answer> log_gateway::append_for_peer(std::string text)
{
    log_append_answer reply;
    reply.result = co_await m_platform.append(std::move(text));
    co_return reply;
}

} // namespace eelgrassrail
