/// UDP and TCP of the peer address.
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

#include <array>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t largest_datagram = 65'507; ///< of UDP over IPv4
constexpr millis copy_timeout{400};              ///< some round trips between zones
constexpr millis copy_lifetime{100};             ///< for which a copy is given out again
constexpr unsigned not_found = 404;

/// First byte of a datagram.
enum class datagram_kind : char
{
    report = 'r',
    push = 'p'
};

/// @brief Reads a message that was packed.
/// @return nothing if the bytes are not exactly one message
template <class Message>
std::optional<Message> unpack_message(std::span<const char> packed)
{
    const auto bytes = unpack(packed);
    return bytes ? read_message<Message>(*bytes) : std::nullopt;
}

http_reply malformed(bool, bool)
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
          executor, parse_tcp_address(state.settings.peer_address), {},
          [this](http_call call, const auto&) { return serve(std::move(call)); }, malformed)
{
    m_socket.non_blocking(true);
}

void peer_link::start(std::function<void(entry_report)> on_report,
                      std::function<void(coordinator_push)> on_push)
{
    m_on_report = std::move(on_report);
    m_on_push = std::move(on_push);
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
    send_bytes(address, static_cast<char>(datagram_kind::report) + pack(write_message(message)));
}

void peer_link::send(std::span<const std::string> addresses, const coordinator_push& message)
{
    const auto bytes = static_cast<char>(datagram_kind::push) + pack_push(message);
    for (const auto& address : addresses)
        if (address != m_state.self.address)
            send_bytes(address, bytes);
}

void peer_link::send_bytes(const std::string& address, const std::string& bytes)
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
    // A datagram that can not be sent is like one that was lost.
    m_state.counters.count(ec.failed() ? "datagrams_not_sent" : "datagrams_sent");
    m_state.counters.count("datagram_bytes", bytes.size());
    if (ec.failed() && ec != asio::error::would_block)
        log_warning(log_part::peers, "datagram not sent to=" + address + " bytes=" +
                                         std::to_string(bytes.size()) + " why=" + ec.message());
}

asio::awaitable<void> peer_link::receive()
{
    std::array<char, largest_datagram> buf{};
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
        const std::span<const char> body(buf.data() + 1, n - 1);
        if (buf[0] == static_cast<char>(datagram_kind::report))
        {
            if (auto message = unpack_message<entry_report>(body))
                m_on_report(std::move(*message));
            else
                m_state.counters.count("datagrams_malformed");
        }
        else if (buf[0] == static_cast<char>(datagram_kind::push))
        {
            if (auto message = unpack_message<coordinator_push>(body))
                m_on_push(std::move(*message));
            else
                m_state.counters.count("datagrams_malformed");
        }
        else
            m_state.counters.count("datagrams_malformed");
    }
}

/// Many processes that start at once ask for the same copy.
const std::string& peer_link::recent_copy()
{
    const auto now = boot_clock::now();
    if (m_copy.empty() || now - m_copied_at > copy_lifetime)
    {
        m_copy = pack(write_message(m_state.make_copy(now)));
        m_copied_at = now;
    }
    return m_copy;
}

asio::awaitable<http_reply> peer_link::serve(http_call call)
{
    http_reply reply;
    if (call.target == "/copy")
        reply.body = recent_copy();
    else if (call.target == "/metrics")
        reply.body = m_state.counters.to_text();
    else
        reply.status = not_found;
    co_return reply;
}

asio::awaitable<bool> peer_link::fetch_copy(coordinator_identity from)
{
    if (from.address.empty() || from.address == m_state.self.address || m_fetching)
        co_return false;
    m_fetching = true;
    auto& client = m_clients[from.address];
    if (!client)
        client = std::make_unique<http_client>(m_executor, from.address, 1);
    http_call call;
    call.method = "GET";
    call.target = "/copy";
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
    m_state.take_copy(*copy, from, boot_clock::now());
    co_return true;
}

} // namespace eelgrassrail
