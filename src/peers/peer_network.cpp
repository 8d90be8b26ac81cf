/// TCP calls, matched to their answers by number, and UDP datagrams.
#include <eelgrassrail/peers/detail/frame_io.hpp>
#include <eelgrassrail/peers/peer_network.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <map>

namespace eelgrassrail
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using detail::add_length_prefix;
using detail::frame_writer;
using detail::read_frame;

namespace
{

constexpr millis connect_timeout{300};
constexpr std::size_t max_datagram_bytes = 2048;

/// A call whose answer is pending.
struct pending_call
{
    explicit pending_call(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    call_outcome outcome;
};

/// The persistent connection to one peer.
struct peer_connection
{
    explicit peer_connection(std::shared_ptr<tcp::socket> socket)
        : writer(std::move(socket))
    {
    }

    frame_writer writer;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    bool closed{};
};

} // namespace

struct peer_network::shared : std::enable_shared_from_this<shared>
{
    shared(const asio::any_io_executor& io_executor, const std::string& address,
           std::string own_zone)
        : executor(io_executor)
        , zone(std::move(own_zone))
        , acceptor(io_executor, parse_tcp_address(address))
        , datagrams(io_executor, parse_udp_address(address))
    {
    }

    asio::any_io_executor executor;
    std::string zone;
    tcp::acceptor acceptor;
    udp::socket datagrams;
    call_handler on_call;
    datagram_handler on_datagram;
    std::map<std::string, std::shared_ptr<peer_connection>> connections;
    /// By address: connection attempts in progress. The timer is their timeout, and is cancelled at
    /// their end to resume the calls that wait for it.
    std::map<std::string, std::shared_ptr<asio::steady_timer>> connecting;
    std::set<std::string> partitioned_zones;
    std::map<std::string, std::string> zones; ///< by peer address, as received in answers
    std::uint64_t calls{};
    peer_traffic traffic;
    bool stopping{};

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> answer(std::shared_ptr<frame_writer> writer, peer_frame frame);
    asio::awaitable<void> receive_loop();
    asio::awaitable<void> read_answers(std::string address,
                                       std::shared_ptr<peer_connection> connection);
    asio::awaitable<std::shared_ptr<peer_connection>> connection_to(std::string address);
    asio::awaitable<call_outcome> call(std::string address, peer_body body, millis timeout);
    void write(const std::shared_ptr<peer_connection>& connection, std::string bytes);
    void close(const std::string& address, peer_connection& connection);

    /// Encodes a call. Frames are built outside of coroutines because g++ 12 destroys aggregate
    /// temporaries in a coroutine twice.
    [[nodiscard]] std::string encode_call(std::uint64_t number, peer_body body) const
    {
        return add_length_prefix(encode(peer_frame{number, false, zone, std::move(body)}));
    }

    [[nodiscard]] std::string encode_answer(std::uint64_t number, peer_body body) const
    {
        return add_length_prefix(encode(peer_frame{number, true, zone, std::move(body)}));
    }

    [[nodiscard]] bool is_partitioned(const std::string& address) const
    {
        const auto it = zones.find(address);
        return it != zones.end() && partitioned_zones.contains(it->second);
    }
};

asio::awaitable<void> peer_network::shared::accept_loop()
{
    const auto self = shared_from_this();
    while (!stopping)
    {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec.failed())
            continue;
        socket.set_option(tcp::no_delay(true), ec);
        asio::co_spawn(executor, serve(std::make_shared<tcp::socket>(std::move(socket))),
                       asio::detached);
    }
}

asio::awaitable<void> peer_network::shared::serve(std::shared_ptr<tcp::socket> socket)
{
    const auto self = shared_from_this();
    const auto writer = std::make_shared<frame_writer>(socket);
    while (!stopping)
    {
        auto frame = co_await read_frame(*socket, traffic);
        if (!frame || partitioned_zones.contains(frame->from_zone))
        {
            traffic.dropped += frame ? 1 : 0;
            break;
        }
        asio::co_spawn(executor, answer(writer, std::move(*frame)), asio::detached);
    }
    boost::system::error_code ec;
    socket->close(ec);
}

asio::awaitable<void> peer_network::shared::answer(std::shared_ptr<frame_writer> writer,
                                                   peer_frame frame)
{
    const auto self = shared_from_this();
    auto body = co_await on_call(std::move(frame.body));
    if (!body || partitioned_zones.contains(frame.from_zone))
        co_return;
    writer->enqueue(encode_answer(frame.number, std::move(*body)));
    if (!writer->is_running())
        co_await writer->flush(traffic);
}

asio::awaitable<void> peer_network::shared::receive_loop()
{
    const auto self = shared_from_this();
    std::array<char, max_datagram_bytes> buf{};
    while (!stopping)
    {
        boost::system::error_code ec;
        udp::endpoint from;
        const auto n = co_await datagrams.async_receive_from(
            asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec.failed())
            continue;
        traffic.received_bytes += n;
        const auto datagram = decode_datagram(std::span(buf).first(n));
        if (!datagram || partitioned_zones.contains(datagram->from_zone))
            ++traffic.dropped;
        else
            on_datagram(datagram->body);
    }
}

asio::awaitable<std::shared_ptr<peer_connection>>
peer_network::shared::connection_to(std::string address)
{
    while (connecting.contains(address))
    {
        const auto timer = connecting.at(address);
        boost::system::error_code ec;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (const auto it = connections.find(address); it != connections.end())
        co_return it->second;
    const auto timer = std::make_shared<asio::steady_timer>(executor, connect_timeout);
    connecting.emplace(address, timer);
    auto socket = std::make_shared<tcp::socket>(executor);
    boost::system::error_code ec;
    timer->async_wait(
        [socket](const boost::system::error_code& expired)
        {
            boost::system::error_code ignored;
            if (!expired.failed())
                socket->close(ignored);
        });
    co_await socket->async_connect(parse_tcp_address(address),
                                   asio::redirect_error(asio::use_awaitable, ec));
    connecting.erase(address);
    timer->cancel();
    if (ec.failed() || !socket->is_open())
        co_return nullptr;
    socket->set_option(tcp::no_delay(true), ec);
    const auto connection = std::make_shared<peer_connection>(socket);
    connections.emplace(address, connection);
    asio::co_spawn(executor, read_answers(address, connection), asio::detached);
    co_return connection;
}

asio::awaitable<void>
peer_network::shared::read_answers(std::string address, std::shared_ptr<peer_connection> connection)
{
    const auto self = shared_from_this();
    for (;;)
    {
        auto frame = co_await read_frame(connection->writer.socket(), traffic);
        if (!frame || connection->closed)
            break;
        zones[address] = frame->from_zone;
        const auto it = connection->pending.find(frame->number);
        if (it == connection->pending.end() || partitioned_zones.contains(frame->from_zone))
        {
            ++traffic.dropped; // late answer, or a partitioned zone
            continue;
        }
        it->second->outcome.result = call_result::answered;
        it->second->outcome.body = std::move(frame->body);
        it->second->timer.cancel();
        connection->pending.erase(it);
    }
    close(address, *connection);
}

void peer_network::shared::close(const std::string& address, peer_connection& connection)
{
    if (connection.closed)
        return;
    connection.closed = true;
    boost::system::error_code ec;
    connection.writer.socket().close(ec);
    for (auto& [number, pending] : connection.pending)
        pending->timer.cancel();
    connection.pending.clear();
    const auto it = connections.find(address);
    if (it != connections.end() && it->second.get() == &connection)
        connections.erase(it);
}

void peer_network::shared::write(const std::shared_ptr<peer_connection>& connection,
                                 std::string bytes)
{
    connection->writer.enqueue(std::move(bytes));
    if (connection->writer.is_running())
        return;
    asio::co_spawn(
        executor,
        [self = shared_from_this(), connection]() -> asio::awaitable<void>
        {
            if (!connection->writer.is_running())
                co_await connection->writer.flush(self->traffic);
        },
        asio::detached);
}

asio::awaitable<call_outcome> peer_network::shared::call(std::string address, peer_body body,
                                                         millis timeout)
{
    const auto self = shared_from_this();
    call_outcome not_sent;
    if (is_partitioned(address) || stopping)
        co_return not_sent;
    const auto until = boot_clock::now() + timeout;
    const auto connection = co_await connection_to(address);
    if (!connection || connection->closed || boot_clock::now() >= until)
        co_return not_sent;
    const auto number = ++calls;
    ++traffic.calls;
    const auto pending = std::make_shared<pending_call>(executor);
    pending->outcome.result = call_result::lost;
    pending->timer.expires_after(until - boot_clock::now());
    connection->pending.emplace(number, pending);
    write(connection, encode_call(number, std::move(body)));
    boost::system::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    connection->pending.erase(number);
    co_return std::move(pending->outcome);
}

peer_network::peer_network(const asio::any_io_executor& executor, const std::string& address,
                           std::string zone)
    : m_shared(std::make_shared<shared>(executor, address, std::move(zone)))
{
}

peer_network::~peer_network()
{
    stop();
}

void peer_network::start(call_handler on_call, datagram_handler on_datagram)
{
    m_shared->on_call = std::move(on_call);
    m_shared->on_datagram = std::move(on_datagram);
    asio::co_spawn(m_shared->executor, m_shared->accept_loop(), asio::detached);
    asio::co_spawn(m_shared->executor, m_shared->receive_loop(), asio::detached);
}

void peer_network::stop()
{
    m_shared->stopping = true;
    boost::system::error_code ec;
    m_shared->acceptor.close(ec);
    m_shared->datagrams.close(ec);
    const auto connections = m_shared->connections;
    for (const auto& [address, connection] : connections)
        m_shared->close(address, *connection);
}

asio::awaitable<call_outcome> peer_network::call(std::string address, peer_body body,
                                                 millis timeout)
{
    return m_shared->call(std::move(address), std::move(body), timeout);
}

void peer_network::post(const std::string& address, peer_body body)
{
    asio::co_spawn(
        m_shared->executor,
        [self = m_shared, address, message = std::move(body)]() -> asio::awaitable<void>
        {
            if (self->is_partitioned(address))
                co_return;
            const auto connection = co_await self->connection_to(address);
            if (connection && !connection->closed)
                self->write(connection, self->encode_call(++self->calls, message));
        },
        asio::detached);
}

void peer_network::send(const std::string& address, const lease_message& message)
{
    if (m_shared->is_partitioned(address) || m_shared->stopping)
        return;
    const auto bytes = encode(message, m_shared->zone);
    boost::system::error_code ec;
    m_shared->datagrams.send_to(asio::buffer(bytes), parse_udp_address(address), 0, ec);
    ++m_shared->traffic.datagrams;
    m_shared->traffic.sent_bytes += bytes.size();
}

void peer_network::set_cut_zones(std::set<std::string> zones)
{
    m_shared->partitioned_zones = std::move(zones);
}

const peer_traffic& peer_network::traffic() const noexcept
{
    return m_shared->traffic;
}

} // namespace eelgrassrail
