/// HTTP calls to the platform.
#include <eelgrassrail/core/json_reader.hpp>
#include <eelgrassrail/http/platform_http.hpp>

#include <boost/json/parse.hpp>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t platform_connections = 4;
constexpr unsigned status_ok = 200;

http_call make_call(std::string method, std::string target, std::string body)
{
    http_call call{std::move(method), std::move(target), {}, std::move(body)};
    if (!call.body.empty())
        call.fields.push_back({"Content-Type", "application/json"});
    return call;
}

/// Parses the body of a complete 200 response; std::nullopt for any other outcome or malformed
/// JSON.
template <class T>
std::optional<T> read_body(const http_exchange& exchange)
{
    if (exchange.result != exchange_result::complete || exchange.reply.status != status_ok)
        return std::nullopt;
    try
    {
        return json_reader().read<T>(boost::json::parse(exchange.reply.body));
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace

platform_http::platform_http(asio::any_io_executor executor, const std::string& address,
                             millis timeout)
    : m_client(std::move(executor), address, platform_connections)
    , m_timeout(timeout)
{
}

asio::awaitable<http_exchange> platform_http::exchange(http_call call)
{
    ++m_calls;
    http_exchange result;
    if (m_partitioned)
        co_return result;
    result = co_await m_client.exchange(std::move(call), boot_clock::now() + m_timeout);
    if (m_partitioned && result.result == exchange_result::complete)
        result.result = exchange_result::lost;
    co_return result;
}

asio::awaitable<std::optional<log_page>> platform_http::read(log_offset from)
{
    const auto result =
        co_await exchange(make_call("GET", "/log?from=" + std::to_string(from), {}));
    co_return read_body<log_page>(result);
}

asio::awaitable<append_result> platform_http::append(std::string text)
{
    const auto result = co_await exchange(make_call("POST", "/log", std::move(text)));
    if (result.result == exchange_result::not_written)
        co_return append_result::not_sent;
    const bool succeeded =
        result.result == exchange_result::complete && result.reply.status == status_ok;
    co_return succeeded ? append_result::acknowledged : append_result::unknown;
}

asio::awaitable<std::optional<std::vector<listed_vm>>> platform_http::list_vms()
{
    const auto result = co_await exchange(make_call("GET", "/vms", {}));
    co_return read_body<std::vector<listed_vm>>(result);
}

} // namespace eelgrassrail
