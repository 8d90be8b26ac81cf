/// Beast client with kept connections.
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
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

constexpr std::size_t response_body_limit = 8UL * 1024UL * 1024;
constexpr millis connect_timeout{300};

/// Bytes of a body that need no budget.
constexpr std::size_t small_body = 64UL * 1024;

/// Replies on one exchange before the one that counts: interim ones, and late ones of others.
constexpr std::size_t most_other_replies = 8;

/// The part of the budget that one body has taken.
class budget_share
{
  public:
    explicit budget_share(receive_budget* budget) noexcept
        : m_budget(budget)
    {
    }
    ~budget_share()
    {
        if (m_budget != nullptr)
            m_budget->give_back(m_taken);
    }
    budget_share(const budget_share&) = delete;
    budget_share& operator=(const budget_share&) = delete;

    /// @return false if the budget does not allow a body of this size
    [[nodiscard]] bool grow(std::size_t body)
    {
        const auto wanted = body > small_body ? body - small_body : 0;
        if (m_budget == nullptr || wanted <= m_taken)
            return true;
        if (!m_budget->take(wanted - m_taken))
            return false;
        m_taken = wanted;
        return true;
    }

  private:
    receive_budget* m_budget;
    std::size_t m_taken{};
};

struct connection
{
    explicit connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    instant idle_since{};
    instant keep_until{}; ///< the peer may close it at any time after this
};

/// The part of the time that the peer says it keeps an idle connection after which ours is closed.
constexpr double keep_share = 0.7;

std::optional<millis> said_keep_time(const http_reply& reply)
{
    const auto field = find_field(reply.fields, "Keep-Alive");
    if (!field)
        return std::nullopt;
    const auto at = field->find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = field->substr(at + 8);
    std::int64_t seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    constexpr double ms_in_s = 1'000.0;
    return millis(static_cast<std::int64_t>(static_cast<double>(seconds) * ms_in_s * keep_share));
}

/// A kept connection that has become readable was closed, or carries a late answer.
bool is_reusable(connection& kept)
{
    auto& socket = kept.stream.socket();
    beast::error_code ec;
    socket.non_blocking(true, ec);
    char byte{};
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block && kept.buf.size() == 0;
}

http::request<http::string_body> to_request(http_call&& call, const std::string& host)
{
    http::request<http::string_body> message;
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
    message.body() = std::move(call.body);
    message.prepare_payload();
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

bool is_lost(const beast::error_code& ec)
{
    return ec == beast::error::timeout || ec == http::error::end_of_stream ||
           ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
           ec == asio::error::operation_aborted || ec == asio::error::eof ||
           ec == asio::error::connection_aborted || ec == asio::error::bad_descriptor;
}

} // namespace

struct http_client::shared
{
    shared(asio::any_io_executor on, const std::string& at, std::size_t limit)
        : executor(std::move(on))
        , address(at)
        , endpoint(parse_tcp_address(at))
        , most(limit)
    {
    }

    asio::any_io_executor executor;
    std::string address;
    asio::ip::tcp::endpoint endpoint;
    std::size_t most;
    std::size_t open{};
    std::uint64_t opened{};
    millis keep_time{millis::max()};
    std::shared_ptr<receive_budget> budget; ///< empty: none is shared
    std::vector<std::unique_ptr<connection>> idle;
    std::map<std::uint64_t, beast::tcp_stream*> running; ///< labelled exchanges

    /// The connection that was used last is the least likely to be closed by the peer.
    std::unique_ptr<connection> take_idle(millis longest_idle)
    {
        const auto now = boot_clock::now();
        std::erase_if(idle,
                      [&](const auto& kept)
                      {
                          const bool expired = now >= kept->keep_until;
                          open -= expired ? 1 : 0;
                          return expired;
                      });
        while (!idle.empty())
        {
            const bool is_old =
                longest_idle != millis::max() && now - idle.back()->idle_since > longest_idle;
            if (is_old && open < most)
                return nullptr;
            auto kept = std::move(idle.back());
            idle.pop_back();
            if (!is_old && is_reusable(*kept))
                return kept;
            --open;
        }
        return nullptr;
    }

    asio::awaitable<std::unique_ptr<connection>> connect(const exchange_options& options,
                                                         http_exchange& result)
    {
        if (auto kept = take_idle(options.longest_idle))
        {
            result.reused = true;
            co_return kept;
        }
        if (open >= most)
            co_return nullptr;
        ++open;
        ++opened;
        auto fresh = std::make_unique<connection>(executor);
        beast::error_code ec;
        const auto left = std::chrono::duration_cast<millis>(options.until - boot_clock::now());
        fresh->stream.expires_after(std::min(left, connect_timeout));
        co_await fresh->stream.async_connect(endpoint,
                                             asio::redirect_error(asio::use_awaitable, ec));
        if (!ec.failed())
        {
            fresh->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
            // Bytes that wait behind a partition must not arrive once the exchange was given up, so
            // closing resets. It is set now because a timeout closes the socket by itself.
            fresh->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
            co_return fresh;
        }
        --open;
        result.refused = ec == asio::error::connection_refused;
        co_return nullptr;
    }

    asio::awaitable<void> talk(connection& used, http_call call, const exchange_options& options,
                               http_exchange& result) const
    {
        auto message = to_request(std::move(call), address);
        beast::error_code ec;
        used.stream.expires_after(options.until - boot_clock::now());
        result.result = exchange_result::lost;
        co_await http::async_write(used.stream, message,
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec.failed())
            co_return;
        const bool is_head = message.method() == http::verb::head;
        for (std::size_t n = 0; n < most_other_replies; ++n)
            if (co_await read_reply(used, is_head, options, result))
                co_return;
        result.result = exchange_result::invalid;
    }

    /// Reads one reply; false if it belongs to an earlier exchange and the next one is to be read.
    asio::awaitable<bool> read_reply(connection& used, bool is_head,
                                     const exchange_options& options, http_exchange& result) const
    {
        beast::error_code ec;
        http::response_parser<http::string_body> parser;
        parser.body_limit(response_body_limit);
        parser.skip(is_head);
        budget_share memory(budget.get());
        co_await http::async_read_header(used.stream, used.buf, parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        while (!ec.failed() && !parser.is_done())
        {
            co_await http::async_read_some(used.stream, used.buf, parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            if (!memory.grow(parser.get().body().size()))
                ec = http::error::body_limit;
            // The stream's timer does not fire while each read finds bytes that have arrived.
            else if (!ec.failed() && !parser.is_done() && boot_clock::now() >= options.until)
                ec = beast::error::timeout;
        }
        if (ec.failed())
        {
            if (!is_lost(ec) || parser.got_some())
                result.result =
                    ec == beast::error::timeout ? exchange_result::lost : exchange_result::invalid;
            co_return true;
        }
        constexpr unsigned first_final_status = 200;
        const bool needs_eof = parser.need_eof();
        const bool keeps = parser.keep_alive() && !needs_eof;
        auto reply = to_reply(parser.release());
        if (!needs_eof &&
            (reply.status < first_final_status || (options.is_answer && !options.is_answer(reply))))
            co_return false;
        result.result = exchange_result::complete;
        result.keeps = keeps && used.buf.size() == 0;
        result.reply = std::move(reply);
        co_return true;
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
    if ((options.may_write && !options.may_write()) || boot_clock::now() >= options.until)
    {
        self->idle.push_back(std::move(used));
        result.cancelled = true;
        co_return result;
    }
    if (options.label != 0)
        self->running.emplace(options.label, &used->stream);
    co_await self->talk(*used, std::move(call), options, result);
    if (options.label != 0)
        self->running.erase(options.label);
    if (result.result == exchange_result::complete && result.keeps)
    {
        used->stream.expires_never();
        used->idle_since = boot_clock::now();
        const auto keep = said_keep_time(result.reply).value_or(self->keep_time);
        used->keep_until = keep == millis::max() ? instant::max() : used->idle_since + keep;
        self->idle.push_back(std::move(used));
    }
    else
        --self->open;
    co_return result;
}

void http_client::set_limit(std::size_t connections) noexcept
{
    m_shared->most = connections;
}

void http_client::set_keep_time(millis keep) noexcept
{
    m_shared->keep_time = keep;
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
