/// Reads and appends with a tree of sources.
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

constexpr std::size_t roots_of_a_zone = 2;
constexpr std::size_t children_of_a_node = 8;
constexpr std::size_t most_remote_tries = 2;
constexpr int rounds_of_a_poll = 3;
constexpr int polls_of_a_timeout = 3;
constexpr millis vms_interval{1000};
constexpr millis peer_append_timeout{1200};
constexpr millis platform_pause{1000};

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
                         peer_network& network, peer_place self, std::vector<peer_place> peers,
                         millis poll)
    : m_executor(std::move(executor))
    , m_platform(platform)
    , m_network(network)
    , m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_round_spacing(poll / rounds_of_a_poll)
    , m_peer_timeout(poll * polls_of_a_timeout)
{
    update_places();
}

void log_gateway::update_places()
{
    std::set<peer_place> result(m_peers.begin(), m_peers.end());
    for (const auto& vm : m_vms)
        if (!vm.address.empty())
            result.insert({vm.zone, vm.address});
    result.erase(m_self);
    m_places = {result.begin(), result.end()};
}

void log_gateway::set_vms(std::vector<listed_vm> vms)
{
    m_vms = std::move(vms);
    m_vms_hash = hash_of(m_vms);
    update_places();
    confirm_vms();
}

void log_gateway::confirm_vms()
{
    m_vms_confirmed = boot_clock::now();
    if (m_vms_confirmed - m_vms_counted < vms_interval)
        return;
    m_vms_counted = m_vms_confirmed;
    ++m_vms_version;
}

std::vector<peer_place> log_gateway::zone_places() const
{
    std::vector<peer_place> result;
    std::ranges::copy_if(m_places, std::back_inserter(result),
                         [this](const peer_place& place) { return place.zone == m_self.zone; });
    return result;
}

std::size_t log_gateway::rank() const
{
    const auto zone = zone_places();
    return static_cast<std::size_t>(std::ranges::lower_bound(zone, m_self) - zone.begin());
}

bool log_gateway::is_reader() const
{
    return rank() < roots_of_a_zone;
}

/// The peer of another zone that answered last, then one of each zone.
void log_gateway::add_remote(std::vector<peer_place>& sources) const
{
    std::vector<peer_place> remote;
    std::ranges::copy_if(m_places, std::back_inserter(remote),
                         [this](const peer_place& place) { return place.zone != m_self.zone; });
    std::stable_partition(remote.begin(), remote.end(),
                          [this](const peer_place& place)
                          { return place.address == m_last_source; });
    std::set<std::string> zones;
    for (const auto& place : remote)
        if (zones.size() < most_remote_tries && zones.insert(place.zone).second)
            sources.push_back(place);
}

std::vector<peer_place> log_gateway::read_sources() const
{
    std::vector<peer_place> result;
    const auto zone = zone_places();
    if (const auto own = rank(); own >= roots_of_a_zone)
    {
        // Nodes before this one keep their rank without it, so ranks below are indexes in `zone`.
        result.push_back(zone[(own - roots_of_a_zone) / children_of_a_node]);
        for (std::size_t n = 0; n < roots_of_a_zone; ++n)
            if (zone[n] != result.front())
                result.push_back(zone[n]);
    }
    add_remote(result);
    return result;
}

std::vector<peer_place> log_gateway::append_sources() const
{
    auto result = zone_places();
    result.resize(std::min(result.size(), roots_of_a_zone));
    add_remote(result);
    return result;
}

asio::awaitable<std::optional<log_page>> log_gateway::read(log_offset from)
{
    return read_shared(way::any, from);
}

asio::awaitable<std::optional<log_page>> log_gateway::read_shared(way how, log_offset from)
{
    const auto self = shared_from_this();
    // A read that is under way began before this question: wait for the one after it.
    auto& rounds = m_rounds.at(static_cast<std::size_t>(how));
    std::shared_ptr<read_round> round;
    if (rounds.running)
    {
        if (!rounds.next)
            rounds.next = std::make_shared<read_round>(m_executor);
        round = rounds.next;
    }
    else
    {
        rounds.running = std::make_shared<read_round>(m_executor);
        round = rounds.running;
        asio::co_spawn(m_executor, run_round(how, round), asio::detached);
    }
    if (!round->finished)
    {
        boost::system::error_code ec;
        co_await round->done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!round->succeeded)
        co_return std::nullopt;
    if (auto page = m_cache.page(from))
        co_return page;
    co_return co_await fetch(how, from);
}

asio::awaitable<void> log_gateway::run_round(way how, std::shared_ptr<read_round> round)
{
    const auto self = shared_from_this();
    auto& rounds = m_rounds.at(static_cast<std::size_t>(how));
    if (const auto due = rounds.last_start + m_round_spacing; boot_clock::now() < due)
    {
        asio::steady_timer timer(m_executor, due - boot_clock::now());
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    rounds.last_start = boot_clock::now();
    auto page = co_await fetch(how, m_cache.end());
    round->succeeded = page.has_value();
    if (page)
        m_cache.add(std::move(*page));
    round->finished = true;
    round->done.cancel();
    rounds.running = std::exchange(rounds.next, nullptr);
    if (rounds.running)
        asio::co_spawn(m_executor, run_round(how, rounds.running), asio::detached);
}

asio::awaitable<std::optional<log_page>> log_gateway::fetch(way how, log_offset from)
{
    const bool is_root = is_reader();
    const bool asks_platform =
        how == way::direct || (is_root && boot_clock::now() >= m_platform_retry);
    if (asks_platform)
    {
        auto page = co_await m_platform.read(from);
        if (page && boot_clock::now() >= m_next_vms)
            co_await refresh_vms();
        if (page && how == way::any)
            m_route = log_route::platform;
        if (page || how == way::direct)
            co_return page;
        m_platform_retry = boot_clock::now() + platform_pause;
    }
    auto page = co_await fetch_from_peers(from);
    if (!page && !is_root)
    {
        page = co_await m_platform.read(from);
        m_route = page ? log_route::platform : log_route::none;
    }
    co_return page;
}

asio::awaitable<std::optional<log_page>> log_gateway::fetch_from_peers(log_offset from)
{
    const auto places = read_sources();
    for (const auto& place : places)
    {
        auto page = co_await read_peer(place.address, from);
        if (!page)
            continue;
        m_last_source = place.address;
        m_route = place.zone == m_self.zone ? log_route::zone_peer : log_route::remote_peer;
        co_return page;
    }
    m_route = log_route::none;
    co_return std::nullopt;
}

asio::awaitable<std::optional<log_page>> log_gateway::read_peer(std::string address,
                                                                log_offset from)
{
    const log_read_call question{from, m_self.zone, m_vms_hash};
    auto outcome = co_await m_network.call(address, question, m_peer_timeout);
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
    const auto how = call.zone == m_self.zone ? way::any : way::direct;
    auto page = co_await read_shared(how, call.from);
    if (!page)
        co_return result;
    result.succeeded = true;
    result.page = std::move(*page);
    // An old list is not passed on: its absences would count as evidence.
    result.vms_confirmed = boot_clock::now() - m_vms_confirmed < 2 * vms_interval;
    if (result.vms_confirmed && call.vms_hash != m_vms_hash)
        result.vms = m_vms;
    co_return result;
}

asio::awaitable<void> log_gateway::refresh_vms()
{
    m_next_vms = boot_clock::now() + vms_interval;
    if (auto vms = co_await m_platform.list_vms())
        set_vms(std::move(*vms));
}

asio::awaitable<append_result> log_gateway::append(std::string text)
{
    const auto self = shared_from_this();
    const bool asks_platform = is_reader() && boot_clock::now() >= m_platform_retry;
    auto result = append_result::not_sent;
    if (asks_platform)
        result = co_await m_platform.append(text);
    if (result != append_result::not_sent)
        co_return result;
    const log_append_call question{text};
    const auto places = append_sources();
    for (const auto& place : places)
    {
        auto outcome = co_await m_network.call(place.address, question, peer_append_timeout);
        const auto* reply = outcome.body ? std::get_if<log_append_answer>(&*outcome.body) : nullptr;
        if (reply != nullptr && reply->result != append_result::not_sent)
            co_return reply->result;
        if (outcome.result == call_result::lost)
            co_return append_result::unknown;
    }
    co_return asks_platform ? result : co_await m_platform.append(std::move(text));
}

asio::awaitable<log_append_answer> log_gateway::append_for_peer(std::string text)
{
    log_append_answer reply;
    reply.result = co_await m_platform.append(std::move(text));
    co_return reply;
}

} // namespace eelgrassrail
