/// TCP calls with numbered answers, and UDP datagrams.
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
using detail::frame_writer;
using detail::read_frame;
using detail::with_prefix;

namespace
{

constexpr millis connect_timeout{300};
constexpr std::size_t max_datagram = 2048;

/// A call that waits for its answer.
struct waiting_call
{
    explicit waiting_call(const asio::any_io_executor& executor)
        : wake(executor)
    {
    }

    asio::steady_timer wake;
    call_outcome outcome;
};

/// The kept connection to one peer.
struct peer_link
{
    explicit peer_link(std::shared_ptr<tcp::socket> socket)
        : writer(std::move(socket))
    {
    }

    frame_writer writer;
    std::map<std::uint64_t, std::shared_ptr<waiting_call>> waiting;
    bool closed{};
};

} // namespace

struct peer_network::shared : std::enable_shared_from_this<shared>
{
    shared(const asio::any_io_executor& on, const std::string& address, std::string own_zone)
        : executor(on)
        , zone(std::move(own_zone))
        , acceptor(on, parse_tcp_address(address))
        , datagrams(on, parse_udp_address(address))
    {
    }

    asio::any_io_executor executor;
    std::string zone;
    tcp::acceptor acceptor;
    udp::socket datagrams;
    call_handler on_call;
    datagram_handler on_datagram;
    std::map<std::string, std::shared_ptr<peer_link>> links;
    std::map<std::string, std::shared_ptr<asio::steady_timer>> connecting;
    std::set<std::string> cut_zones;
    std::map<std::string, std::string> zones; ///< address to zone, as learnt from answers
    std::uint64_t calls{};
    peer_traffic traffic;
    bool stopping{};

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> answer(std::shared_ptr<frame_writer> writer, peer_frame frame);
    asio::awaitable<void> receive_loop();
    asio::awaitable<void> read_answers(std::string address, std::shared_ptr<peer_link> link);
    asio::awaitable<std::shared_ptr<peer_link>> link_to(std::string address);
    asio::awaitable<call_outcome> call(std::string address, peer_body body, millis timeout);
    void write(const std::shared_ptr<peer_link>& link, std::string bytes);
    void close(const std::string& address, peer_link& link);

    /// Bytes of a call. g++ 12 destroys aggregate temporaries of a coroutine twice, so frames are
    /// built in functions of their own.
    [[nodiscard]] std::string encode_call(std::uint64_t number, peer_body body) const
    {
        return with_prefix(encode(peer_frame{number, false, zone, std::move(body)}));
    }

    [[nodiscard]] std::string encode_answer(std::uint64_t number, peer_body body) const
    {
        return with_prefix(encode(peer_frame{number, true, zone, std::move(body)}));
    }

    [[nodiscard]] bool is_cut(const std::string& address) const
    {
        const auto it = zones.find(address);
        return it != zones.end() && cut_zones.contains(it->second);
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
        if (!frame || cut_zones.contains(frame->from_zone))
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
    if (!body || cut_zones.contains(frame.from_zone))
        co_return;
    writer->push(encode_answer(frame.number, std::move(*body)));
    if (!writer->is_running())
        co_await writer->drain(traffic);
}

asio::awaitable<void> peer_network::shared::receive_loop()
{
    const auto self = shared_from_this();
    std::array<char, max_datagram> buf{};
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
        if (!datagram || cut_zones.contains(datagram->from_zone))
            ++traffic.dropped;
        else
            on_datagram(datagram->body);
    }
}

asio::awaitable<std::shared_ptr<peer_link>> peer_network::shared::link_to(std::string address)
{
    while (connecting.contains(address))
    {
        const auto wake = connecting.at(address);
        boost::system::error_code ec;
        co_await wake->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (const auto it = links.find(address); it != links.end())
        co_return it->second;
    const auto wake = std::make_shared<asio::steady_timer>(executor, connect_timeout);
    connecting.emplace(address, wake);
    auto socket = std::make_shared<tcp::socket>(executor);
    boost::system::error_code ec;
    wake->async_wait(
        [socket](const boost::system::error_code& expired)
        {
            boost::system::error_code ignored;
            if (!expired.failed())
                socket->close(ignored);
        });
    co_await socket->async_connect(parse_tcp_address(address),
                                   asio::redirect_error(asio::use_awaitable, ec));
    connecting.erase(address);
    wake->cancel();
    if (ec.failed() || !socket->is_open())
        co_return nullptr;
    socket->set_option(tcp::no_delay(true), ec);
    const auto link = std::make_shared<peer_link>(socket);
    links.emplace(address, link);
    asio::co_spawn(executor, read_answers(address, link), asio::detached);
    co_return link;
}

asio::awaitable<void> peer_network::shared::read_answers(std::string address,
                                                         std::shared_ptr<peer_link> link)
{
    const auto self = shared_from_this();
    for (;;)
    {
        auto frame = co_await read_frame(link->writer.socket(), traffic);
        if (!frame || link->closed)
            break;
        zones[address] = frame->from_zone;
        const auto it = link->waiting.find(frame->number);
        if (it == link->waiting.end() || cut_zones.contains(frame->from_zone))
        {
            ++traffic.dropped; // a late answer: its call was given up
            continue;
        }
        it->second->outcome.result = call_result::answered;
        it->second->outcome.body = std::move(frame->body);
        it->second->wake.cancel();
        link->waiting.erase(it);
    }
    close(address, *link);
}

void peer_network::shared::close(const std::string& address, peer_link& link)
{
    if (link.closed)
        return;
    link.closed = true;
    boost::system::error_code ec;
    link.writer.socket().close(ec);
    for (auto& [number, waiting] : link.waiting)
        waiting->wake.cancel();
    link.waiting.clear();
    const auto it = links.find(address);
    if (it != links.end() && it->second.get() == &link)
        links.erase(it);
}

void peer_network::shared::write(const std::shared_ptr<peer_link>& link, std::string bytes)
{
    link->writer.push(std::move(bytes));
    if (link->writer.is_running())
        return;
    asio::co_spawn(
        executor,
        [self = shared_from_this(), link]() -> asio::awaitable<void>
        {
            if (!link->writer.is_running())
                co_await link->writer.drain(self->traffic);
        },
        asio::detached);
}

asio::awaitable<call_outcome> peer_network::shared::call(std::string address, peer_body body,
                                                         millis timeout)
{
    const auto self = shared_from_this();
    call_outcome not_sent;
    if (is_cut(address) || stopping)
        co_return not_sent;
    const auto until = boot_clock::now() + timeout;
    const auto link = co_await link_to(address);
    if (!link || link->closed || boot_clock::now() >= until)
        co_return not_sent;
    const auto number = ++calls;
    ++traffic.calls;
    const auto waiting = std::make_shared<waiting_call>(executor);
    waiting->outcome.result = call_result::lost;
    waiting->wake.expires_after(until - boot_clock::now());
    link->waiting.emplace(number, waiting);
    write(link, encode_call(number, std::move(body)));
    boost::system::error_code ec;
    co_await waiting->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    link->waiting.erase(number);
    co_return std::move(waiting->outcome);
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
    const auto links = m_shared->links;
    for (const auto& [address, link] : links)
        m_shared->close(address, *link);
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
            if (self->is_cut(address))
                co_return;
            const auto link = co_await self->link_to(address);
            if (link && !link->closed)
                self->write(link, self->encode_call(++self->calls, message));
        },
        asio::detached);
}

void peer_network::send(const std::string& address, const lease_message& message)
{
    if (m_shared->is_cut(address) || m_shared->stopping)
        return;
    const auto bytes = encode(message, m_shared->zone);
    boost::system::error_code ec;
    m_shared->datagrams.send_to(asio::buffer(bytes), parse_udp_address(address), 0, ec);
    ++m_shared->traffic.datagrams;
    m_shared->traffic.sent_bytes += bytes.size();
}

void peer_network::set_cut_zones(std::set<std::string> zones)
{
    m_shared->cut_zones = std::move(zones);
}

const peer_traffic& peer_network::traffic() const noexcept
{
    return m_shared->traffic;
}

} // namespace eelgrassrail
