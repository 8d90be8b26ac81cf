/// UDP datagrams and HTTP requests on the peer address.
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/peers/packing.hpp>
#include <eelgrassrail/router/peer_link.hpp>
#include <eelgrassrail/router/push_packing.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t max_datagram_bytes = 65'507; ///< of UDP over IPv4
constexpr millis copy_timeout{800};      ///< the wait below, and the transfer of a large copy
constexpr millis copy_wait_timeout{400}; ///< for the requested versions
constexpr millis copy_poll_interval{50};
constexpr millis copy_reuse_time{100}; ///< for which a packed copy is reused
constexpr unsigned not_found = 404;
constexpr std::string_view copy_target = "/copy";

/// Size of the length field before the route of a push; little-endian.
constexpr unsigned route_length_bytes = 2;
constexpr unsigned bits_per_byte = 8;

/// First byte of a datagram.
enum class datagram_kind : char
{
    report = 'r',
    push = 'p',
    permit_request = 'q',
    permit_reply = 'a',
    limit_update = 'l',
    pace_update = 'o',
    evacuation_update = 'e',
    leaving_notice = 'd',
    leaving_update = 'w',
    crash_update = 'c'
};

/// @brief Decompresses and parses a message.
/// @return empty if the bytes are not exactly one message
template <class Message>
std::optional<Message> unpack_message(std::span<const char> packed)
{
    const auto bytes = unpack(packed);
    return bytes ? read_message<Message>(*bytes) : std::nullopt;
}

/// @brief The number after a name in a request target; 0 if there is none.
std::uint64_t read_number(std::string_view target, std::string_view name)
{
    const auto at = target.find(name);
    std::uint64_t number = 0;
    if (at != std::string_view::npos)
        std::from_chars(target.data() + at + name.size(), target.data() + target.size(), number);
    return number;
}

copy_versions read_versions(std::string_view target)
{
    return {read_number(target, "ownership="), read_number(target, "routes=")};
}

http_reply reply_to_malformed(request_defect)
{
    http_reply reply;
    reply.status = 400;
    return reply;
}

} // namespace

peer_link::peer_link(const asio::any_io_executor& executor, router_state& state)
    : m_executor(executor)
    , m_state(state)
    , m_socket(executor, parse_udp_address(state.settings.peer_address))
    , m_listener(
          executor, parse_tcp_address(state.settings.peer_address), limits_without_body(),
          [this](http_call call, const auto&) { return serve(std::move(call)); },
          reply_to_malformed)
{
    m_socket.non_blocking(true);
}

void peer_link::start(peer_handlers handlers)
{
    m_handlers = std::move(handlers);
    m_listener.start();
    asio::co_spawn(m_executor, receive(), asio::detached);
}

void peer_link::stop()
{
    boost::system::error_code ec;
    m_socket.close(ec);
    m_listener.stop();
}

void peer_link::send(const std::string& address, const entry_report& message)
{
    send_datagram(address, static_cast<char>(datagram_kind::report) + pack(write_message(message)));
}

void peer_link::send(std::span<const relay_part<std::string>> parts, bool gathers,
                     const coordinator_push& message)
{
    relay(static_cast<char>(datagram_kind::push), parts, gathers, pack_push(message));
}

void peer_link::send(const std::string& address, const permit_request& message)
{
    send_datagram(address,
                  static_cast<char>(datagram_kind::permit_request) + write_message(message));
}

void peer_link::send(const std::string& address, const permit_reply& message)
{
    send_datagram(address, static_cast<char>(datagram_kind::permit_reply) + write_message(message));
}

void peer_link::send(std::span<const relay_part<std::string>> parts, const limit_update& message)
{
    relay(static_cast<char>(datagram_kind::limit_update), parts, false,
          pack(write_message(message)));
}

void peer_link::send(std::span<const relay_part<std::string>> parts, const pace_update& message)
{
    relay(static_cast<char>(datagram_kind::pace_update), parts, false,
          pack(write_message(message)));
}

void peer_link::send(std::span<const relay_part<std::string>> parts,
                     const evacuation_update& message)
{
    relay(static_cast<char>(datagram_kind::evacuation_update), parts, false,
          pack(write_message(message)));
}

void peer_link::send(const std::string& address, const leaving_notice& message)
{
    send_datagram(address,
                  static_cast<char>(datagram_kind::leaving_notice) + write_message(message));
}

void peer_link::send(std::span<const relay_part<std::string>> parts, const leaving_update& message)
{
    relay(static_cast<char>(datagram_kind::leaving_update), parts, false,
          pack(write_message(message)));
}

void peer_link::send(std::span<const relay_part<std::string>> parts, const crash_update& message)
{
    relay(static_cast<char>(datagram_kind::crash_update), parts, false,
          pack(write_message(message)));
}

/// Each receiver gets the same packed message after a route of its own.
void peer_link::relay(char kind, std::span<const relay_part<std::string>> parts, bool gathers,
                      std::string_view packed)
{
    for (const auto& part : parts)
    {
        if (part.child == m_state.self.address)
            continue;
        const auto route = write_message(push_route{part.behind, gathers});
        std::string bytes(1, kind);
        for (unsigned n = 0; n < route_length_bytes; ++n)
            bytes += static_cast<char>(route.size() >> (bits_per_byte * n));
        bytes += route;
        bytes += packed;
        send_datagram(part.child, bytes);
    }
}

void peer_link::send_datagram(const std::string& address, const std::string& bytes)
{
    boost::system::error_code ec;
    try
    {
        m_socket.send_to(asio::buffer(bytes), parse_udp_address(address), 0, ec);
    }
    catch (const std::invalid_argument& e)
    {
        log_warning(log_part::peers, e.what());
    }
    // A datagram that can not be sent is treated as lost.
    m_state.counters.count(ec.failed() ? "datagrams_not_sent" : "datagrams_sent");
    m_state.counters.count("datagram_bytes", bytes.size());
    if (ec.failed() && ec != asio::error::would_block)
        log_warning(log_part::peers, "datagram not sent to=" + address + " bytes=" +
                                         std::to_string(bytes.size()) + " why=" + ec.message());
}

asio::awaitable<void> peer_link::receive()
{
    std::array<char, max_datagram_bytes> buf{};
    while (m_socket.is_open())
    {
        boost::system::error_code ec;
        asio::ip::udp::endpoint from;
        const auto n = co_await m_socket.async_receive_from(
            asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec.failed() || n == 0)
            continue;
        handle_datagram(std::span(buf).first(n),
                        from.address().to_string() + ":" + std::to_string(from.port()));
    }
}

void peer_link::handle_datagram(std::span<const char> bytes, const std::string& from)
{
    const auto body = bytes.subspan(1);
    switch (static_cast<datagram_kind>(bytes.front()))
    {
    case datagram_kind::push:
    case datagram_kind::limit_update:
    case datagram_kind::pace_update:
    case datagram_kind::evacuation_update:
    case datagram_kind::leaving_update:
    case datagram_kind::crash_update:
        handle_relayed(bytes.front(), body, from);
        return;
    case datagram_kind::report:
        if (auto message = unpack_message<entry_report>(body))
        {
            m_handlers.on_report(std::move(*message));
            return;
        }
        break;
    case datagram_kind::permit_request:
        if (const auto message = read_message<permit_request>(body))
        {
            m_handlers.on_permit_request(*message);
            return;
        }
        break;
    case datagram_kind::permit_reply:
        if (const auto message = read_message<permit_reply>(body))
        {
            m_handlers.on_permit_reply(*message);
            return;
        }
        break;
    case datagram_kind::leaving_notice:
        if (const auto message = read_message<leaving_notice>(body))
        {
            m_handlers.on_leaving_notice(*message);
            return;
        }
        break;
    }
    m_state.counters.count("datagrams_malformed");
}

/// Relays a message before it is parsed, so that parsing does not add latency at each relay level.
void peer_link::handle_relayed(char kind, std::span<const char> body, const std::string& from)
{
    std::size_t length = 0;
    const auto head = std::min<std::size_t>(route_length_bytes, body.size());
    for (std::size_t n = 0; n < head; ++n)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(body[n]))
                  << (bits_per_byte * n);
    const auto rest = body.subspan(head);
    const auto route = length <= rest.size() ? read_message<push_route>(rest.first(length))
                                             : std::optional<push_route>();
    if (!route)
    {
        m_state.counters.count("datagrams_malformed");
        return;
    }
    const auto packed = rest.subspan(length);
    const auto parts =
        divide_receivers(std::span<const std::string>(route->receivers), relay_degree);
    relay(kind, parts, route->gathers, {packed.data(), packed.size()});
    if (kind == static_cast<char>(datagram_kind::limit_update))
    {
        if (const auto message = unpack_message<limit_update>(packed))
            m_handlers.on_limit_update(*message);
        else
            m_state.counters.count("datagrams_malformed");
        return;
    }
    if (kind == static_cast<char>(datagram_kind::evacuation_update))
    {
        if (const auto message = unpack_message<evacuation_update>(packed))
            m_handlers.on_evacuation_update(*message);
        else
            m_state.counters.count("datagrams_malformed");
        return;
    }
    if (kind == static_cast<char>(datagram_kind::pace_update))
    {
        if (const auto message = unpack_message<pace_update>(packed))
            m_handlers.on_pace_update(*message);
        else
            m_state.counters.count("datagrams_malformed");
        return;
    }
    if (kind == static_cast<char>(datagram_kind::leaving_update))
    {
        if (const auto message = unpack_message<leaving_update>(packed))
            m_handlers.on_leaving_update(*message);
        else
            m_state.counters.count("datagrams_malformed");
        return;
    }
    if (kind == static_cast<char>(datagram_kind::crash_update))
    {
        if (const auto message = unpack_message<crash_update>(packed))
            m_handlers.on_crash_update(*message);
        else
            m_state.counters.count("datagrams_malformed");
        return;
    }
    if (auto message = unpack_message<coordinator_push>(packed))
        m_handlers.on_push(
            {std::move(*message), from, relay_levels(route->receivers.size()), route->gathers});
    else
        m_state.counters.count("datagrams_malformed");
}

/// Reuses the packed copy for a short time: many processes that start at once request it.
const std::string& peer_link::cached_copy()
{
    const auto now = boot_clock::now();
    if (m_cached_copy.empty() || now - m_cached_at > copy_reuse_time)
    {
        m_cached_copy = pack(write_message(m_state.make_copy(now)));
        m_cached_at = now;
    }
    return m_cached_copy;
}

asio::awaitable<http_reply> peer_link::serve(http_call call)
{
    http_reply reply;
    if (call.target.starts_with(copy_target))
        co_return co_await serve_copy(std::move(call.target));
    if (call.target == "/metrics")
        reply.body = m_state.counters.to_text();
    else
        reply.status = not_found;
    co_return reply;
}

/// The requesting process was notified of newer versions than it has. This process may receive them
/// soon, so it waits for them for a short time.
asio::awaitable<http_reply> peer_link::serve_copy(std::string target)
{
    const auto required = read_versions(target);
    const auto until = boot_clock::now() + copy_wait_timeout;
    const auto is_behind = [&]
    {
        return m_state.ownership_version < required.ownership ||
               (m_state.routes ? m_state.routes->version : 0) < required.routes;
    };
    for (auto now = boot_clock::now(); is_behind() && now < until; now = boot_clock::now())
        co_await m_state.changed.wait(
            std::min<boot_clock::duration>(copy_poll_interval, until - now));
    http_reply reply;
    reply.body = cached_copy();
    co_return reply;
}

asio::awaitable<bool> peer_link::fetch_copy(std::string address, copy_versions required)
{
    if (address.empty() || address == m_state.self.address || m_fetching)
        co_return false;
    m_fetching = true;
    auto& client = m_clients[address];
    if (!client)
        client = std::make_unique<http_client>(m_executor, address, 1);
    http_call call;
    call.method = "GET";
    call.target = std::string(copy_target) + "?ownership=" + std::to_string(required.ownership) +
                  "&routes=" + std::to_string(required.routes);
    auto exchange = co_await client->exchange(std::move(call), boot_clock::now() + copy_timeout);
    m_fetching = false;
    if (exchange.result != exchange_result::complete)
        co_return false;
    const auto copy = unpack_message<state_copy>(exchange.reply.body);
    if (!copy)
    {
        m_state.counters.count("copies_malformed");
        co_return false;
    }
    m_state.counters.count("copies_taken");
    m_state.merge_copy(*copy, boot_clock::now());
    co_return true;
}

} // namespace eelgrassrail
