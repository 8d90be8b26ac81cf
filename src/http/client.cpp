/// HTTP client with a connection pool, on Boost.Beast.
#include "receive_some.hpp"
#include <eelgrassrail/http/block_body.hpp>
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/http/reply_head.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <vector>

namespace eelgrassrail
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t default_max_body_bytes = 8UL * 1024UL * 1024;

/// Maximum size of a head, which is the parser's limit too.
constexpr std::uint32_t max_head_bytes = 8U * 1024;

/// Maximum received bytes of a connection that are not parsed yet. Heads are limited, but chunk
/// headers and trailers have no limit of their own.
constexpr std::size_t max_unparsed_bytes = 16UL * 1024;

/// An idle connection with a larger buffer releases it.
constexpr std::size_t max_idle_buffer_bytes = 4UL * 1024;
constexpr millis connect_timeout{300};

/// Memory of a reply that needs no budget.
constexpr std::size_t free_reply_bytes = 4UL * 1024;

/// Limit on the replies skipped in one exchange: interim (1xx) ones and late ones of earlier
/// exchanges.
constexpr std::size_t max_skipped_replies = 8;

struct connection
{
    explicit connection(const asio::any_io_executor& executor)
        : stream(executor)
        , number(next_number++)
    {
    }

    static inline std::atomic<std::uint64_t> next_number{1};

    beast::tcp_stream stream;
    const std::uint64_t number; ///< unique in the process
    beast::flat_buffer buf{max_unparsed_bytes};
    instant idle_since{};
    instant keep_until{}; ///< the peer may close the connection at any time after this
};

/// What the next reply on a connection has to be.
struct reply_expectation
{
    instant until{};
    bool is_head{};  ///< it has no body
    bool is_first{}; ///< nothing but the request of this exchange can have caused it
};

/// Fraction of the peer's advertised idle timeout after which an idle connection is closed.
constexpr double keep_alive_fraction = 0.7;

std::optional<millis> keep_alive_timeout(const http_reply& reply)
{
    const auto field = find_field(reply.fields, "Keep-Alive");
    if (!field)
        return std::nullopt;
    const auto position = field->find("timeout=");
    if (position == std::string_view::npos)
        return std::nullopt;
    const auto digits = field->substr(position + 8);
    std::int64_t seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    constexpr double ms_per_s = 1'000.0;
    return millis(
        static_cast<std::int64_t>(static_cast<double>(seconds) * ms_per_s * keep_alive_fraction));
}

/// Whether nothing was received since the last exchange. A readable idle connection was closed by
/// the peer or carries a late reply.
bool is_reusable(connection& kept)
{
    auto& socket = kept.stream.socket();
    beast::error_code ec;
    socket.non_blocking(true, ec);
    char byte{};
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block && kept.buf.size() == 0;
}

template <class Body>
http::request<Body> to_request(const http_call& call, const std::string& host)
{
    http::request<Body> message;
    message.version(11);
    message.method_string(call.method);
    message.target(call.target);
    message.set(http::field::host, host);
    for (const auto& field : call.fields)
    {
        if (beast::iequals(field.name, "Host"))
            message.set(http::field::host, field.value);
        else
            message.insert(field.name, field.value);
    }
    return message;
}

http_reply to_reply(http::response<http::string_body>&& message)
{
    http_reply reply;
    reply.status = message.result_int();
    for (const auto& field : message.base())
        reply.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    reply.body = std::move(message.body());
    return reply;
}

bool is_connection_error(const beast::error_code& ec)
{
    return ec == beast::error::timeout || ec == http::error::end_of_stream ||
           ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
           ec == asio::error::operation_aborted || ec == asio::error::eof ||
           ec == asio::error::connection_aborted || ec == asio::error::bad_descriptor;
}

} // namespace

exchange_options make_unnamed_exchange(instant until)
{
    constexpr millis never{-1};
    exchange_options options{.until = until};
    options.owner_of = [](const http_reply&) { return reply_owner::unnamed; };
    options.longest_idle = never;
    return options;
}

struct http_client::shared
{
    shared(asio::any_io_executor io_executor, const std::string& host_port, std::size_t limit)
        : executor(std::move(io_executor))
        , address(host_port)
        , endpoint(parse_tcp_address(host_port))
        , max_connections(limit)
    {
    }

    asio::any_io_executor executor;
    std::string address;
    asio::ip::tcp::endpoint endpoint;
    std::size_t max_connections;
    std::size_t open{};
    std::uint64_t opened{};
    millis idle_timeout{millis::max()};
    std::shared_ptr<receive_budget> budget; ///< empty: no budget
    std::size_t max_body_bytes{default_max_body_bytes};
    std::vector<std::unique_ptr<connection>> idle;
    std::map<std::uint64_t, beast::tcp_stream*> running; ///< by label of the exchange

    /// Removes and returns the idle connection that was used last, as the peer is least likely to
    /// have closed it. Null if there is none, or if it is too old and a new one may be opened.
    std::unique_ptr<connection> pop_idle(const exchange_options& options)
    {
        const auto now = boot_clock::now();
        std::erase_if(idle,
                      [&](const auto& kept)
                      {
                          const bool expired = now >= kept->keep_until;
                          open -= expired ? 1 : 0;
                          return expired;
                      });
        const auto may_use = [&](const auto& kept)
        { return !options.avoided.contains(kept->number); };
        for (;;)
        {
            const auto it = std::find_if(idle.rbegin(), idle.rend(), may_use);
            if (it == idle.rend())
                break;
            const bool is_old = options.longest_idle != millis::max() &&
                                now - (*it)->idle_since > options.longest_idle;
            if (is_old && open < max_connections)
                return nullptr;
            auto kept = std::move(*it);
            idle.erase(std::prev(it.base()));
            if (!is_old && is_reusable(*kept))
                return kept;
            --open;
        }
        // One that is to be avoided makes room for a new one.
        if (!idle.empty() && open >= max_connections)
        {
            idle.erase(idle.begin());
            --open;
        }
        return nullptr;
    }

    asio::awaitable<std::unique_ptr<connection>> connect(const exchange_options& options,
                                                         http_exchange& result)
    {
        if (auto kept = pop_idle(options))
        {
            result.reused = true;
            co_return kept;
        }
        if (open >= max_connections)
            co_return nullptr;
        ++open;
        ++opened;
        auto opened_connection = std::make_unique<connection>(executor);
        beast::error_code ec;
        const auto left = std::chrono::duration_cast<millis>(options.until - boot_clock::now());
        opened_connection->stream.expires_after(std::min(left, connect_timeout));
        co_await opened_connection->stream.async_connect(
            endpoint, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec.failed())
        {
            opened_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
            // Closing must send a reset: bytes queued during a network partition must not reach the
            // peer after the exchange was abandoned. Set here because a timeout closes the socket.
            opened_connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
            co_return opened_connection;
        }
        --open;
        result.refused = ec == asio::error::connection_refused;
        co_return nullptr;
    }

    /// Writes a request whose body is of a Beast type.
    /// @return false if the connection failed
    template <class Body>
    asio::awaitable<bool> write(connection& used, const http_call& call,
                                typename Body::value_type body) const
    {
        auto message = to_request<Body>(call, address);
        message.body() = std::move(body);
        message.prepare_payload();
        beast::error_code ec;
        co_await http::async_write(used.stream, message,
                                   asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec.failed();
    }

    asio::awaitable<void> run_exchange(connection& used, http_call call,
                                       const exchange_options& options, http_exchange& result) const
    {
        used.stream.expires_after(options.until - boot_clock::now());
        result.result = exchange_result::lost;
        bool is_written = false;
        if (call.large_body)
            is_written = co_await write<shared_block_body>(used, call, call.large_body);
        else
            is_written = co_await write<http::string_body>(used, call, std::move(call.body));
        if (!is_written)
            co_return;
        reply_expectation expected;
        expected.until = options.until;
        expected.is_head = call.method == "HEAD";
        expected.is_first = !result.reused;
        for (std::size_t n = 0; n < max_skipped_replies; ++n)
            if (co_await read_reply(used, expected, options, result))
                co_return;
        result.result = exchange_result::invalid;
    }

    /// Receives the whole head of a reply, and ends as soon as it is invalid.
    static asio::awaitable<beast::error_code> receive_head(connection& used)
    {
        beast::error_code ec;
        for (;;)
        {
            const auto received = used.buf.data();
            const auto state =
                check_reply_head({static_cast<const char*>(received.data()), received.size()});
            if (state == head_state::invalid)
                ec = http::error::bad_status;
            else if (state == head_state::incomplete && received.size() >= max_head_bytes)
                ec = http::error::header_limit;
            if (ec.failed() || state == head_state::complete)
                co_return ec;
            constexpr std::size_t max_read_bytes = 4UL * 1024;
            used.buf.commit(co_await used.stream.async_read_some(
                used.buf.prepare(max_read_bytes), asio::redirect_error(asio::use_awaitable, ec)));
            if (ec.failed())
                co_return ec;
        }
    }

    /// Reads one reply.
    /// @return false if it is interim or not known to be of this exchange, so the next one is to be
    /// read
    asio::awaitable<bool> read_reply(connection& used, reply_expectation& expected,
                                     const exchange_options& options, http_exchange& result) const
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        parser.header_limit(max_head_bytes);
        parser.skip(expected.is_head);
        const auto memory = std::make_shared<memory_holder>(budget, free_reply_bytes,
                                                            [&used] { used.stream.cancel(); });
        auto ec = co_await receive_head(used);
        const bool has_received = used.buf.size() > 0;
        if (!ec.failed())
            co_await http::async_read_header(used.stream, used.buf, parser,
                                             asio::redirect_error(asio::use_awaitable, ec));
        while (!ec.failed() && !parser.is_done())
        {
            ec = co_await receive_some(used.stream, used.buf, parser);
            // What frames the body is held too: chunk headers and trailers may be long.
            if (!memory->hold(parser.get().body().capacity() + used.buf.capacity()))
                ec = http::error::body_limit;
            // The stream's timer does not fire while every read completes immediately.
            else if (!ec.failed() && !parser.is_done() && boot_clock::now() >= expected.until)
                ec = beast::error::timeout;
        }
        if (ec.failed())
        {
            if (!is_connection_error(ec) || has_received)
                result.result =
                    ec == beast::error::timeout ? exchange_result::lost : exchange_result::invalid;
            co_return true;
        }
        constexpr unsigned first_final_status = 200;
        const bool needs_eof = parser.need_eof();
        const bool keep_alive = parser.keep_alive() && !needs_eof;
        auto reply = to_reply(parser.release());
        if (reply.status < first_final_status)
        {
            result.result = needs_eof ? exchange_result::invalid : exchange_result::lost;
            co_return needs_eof;
        }
        const auto owner = options.owner_of ? options.owner_of(reply) : reply_owner::named;
        if (owner == reply_owner::other || (owner == reply_owner::unnamed && !expected.is_first))
        {
            skip(used, owner, expected, options);
            // After the end of the stream no other reply can follow.
            result.result = needs_eof ? exchange_result::invalid : exchange_result::lost;
            co_return needs_eof;
        }
        result.result = exchange_result::complete;
        // A duplicate of a reply without an id would be taken for the reply to the next request.
        result.keep_alive = keep_alive && used.buf.size() == 0 && owner == reply_owner::named;
        memory->keep();
        memory->hold_always(reply.body.capacity());
        reply.memory = memory;
        result.reply = std::move(reply);
        co_return true;
    }

    /// Notes a reply that is not known to be of this exchange.
    static void skip(connection& used, reply_owner owner, reply_expectation& expected,
                     const exchange_options& options)
    {
        expected.is_first = false;
        const auto now = boot_clock::now();
        if (owner != reply_owner::unnamed || options.unnamed_wait >= expected.until - now)
            return;
        expected.until = now + options.unnamed_wait;
        used.stream.expires_after(options.unnamed_wait);
    }
};

http_client::http_client(asio::any_io_executor executor, const std::string& address,
                         std::size_t connections)
    : m_shared(std::make_shared<shared>(std::move(executor), address, connections))
{
}

http_client::~http_client() = default;

asio::awaitable<http_exchange> http_client::exchange(http_call call, instant until,
                                                     std::function<bool()> may_write,
                                                     std::uint64_t label)
{
    exchange_options options{.until = until};
    options.may_write = std::move(may_write);
    options.label = label;
    return exchange(std::move(call), std::move(options));
}

asio::awaitable<http_exchange> http_client::exchange(http_call call, exchange_options options)
{
    const auto self = m_shared;
    http_exchange result;
    if (boot_clock::now() >= options.until)
        co_return result;
    auto used = co_await self->connect(options, result);
    if (!used)
        co_return result;
    result.connection = used->number;
    if ((options.may_write && !options.may_write()) || boot_clock::now() >= options.until)
    {
        self->idle.push_back(std::move(used));
        result.cancelled = true;
        co_return result;
    }
    if (options.label != 0)
        self->running.emplace(options.label, &used->stream);
    co_await self->run_exchange(*used, std::move(call), options, result);
    if (options.label != 0)
        self->running.erase(options.label);
    if (result.result == exchange_result::complete && result.keep_alive)
    {
        used->stream.expires_never();
        used->idle_since = boot_clock::now();
        if (used->buf.capacity() > max_idle_buffer_bytes)
            used->buf.shrink_to_fit();
        const auto keep = keep_alive_timeout(result.reply).value_or(self->idle_timeout);
        used->keep_until = keep == millis::max() ? instant::max() : used->idle_since + keep;
        self->idle.push_back(std::move(used));
    }
    else
        --self->open;
    co_return result;
}

void http_client::set_limit(std::size_t connections) noexcept
{
    m_shared->max_connections = connections;
}

void http_client::set_keep_time(millis keep) noexcept
{
    m_shared->idle_timeout = keep;
}

void http_client::set_max_body(std::size_t bytes) noexcept
{
    m_shared->max_body_bytes = bytes;
}

void http_client::set_budget(std::shared_ptr<receive_budget> budget) noexcept
{
    m_shared->budget = std::move(budget);
}

std::uint64_t http_client::opened() const noexcept
{
    return m_shared->opened;
}

void http_client::cancel(std::uint64_t label)
{
    if (const auto it = m_shared->running.find(label); it != m_shared->running.end())
        it->second->close();
}

void http_client::close_idle()
{
    m_shared->open -= m_shared->idle.size();
    m_shared->idle.clear();
}

std::size_t http_client::connections() const noexcept
{
    return m_shared->open;
}

} // namespace eelgrassrail
