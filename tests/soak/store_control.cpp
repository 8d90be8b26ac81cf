/// HTTP calls to the stand-in store.
#include "store_control.hpp"

#include "log_record_bytes.hpp"
#include "soak_config.hpp"
#include <eelgrassrail/peers/codec.hpp>

#include <algorithm>
#include <optional>

namespace eelgrassrail::soak
{
namespace
{

constexpr std::size_t max_connections = 4;
constexpr millis call_timeout{1'000};

} // namespace

store_control::store_control(const boost::asio::any_io_executor& executor,
                             const std::string& address)
    : m_client(executor, address, max_connections)
{
}

boost::asio::awaitable<void> store_control::post(std::string target, std::string body)
{
    http_call call;
    call.method = "POST";
    call.target = std::move(target);
    call.body = std::move(body);
    co_await m_client.exchange(std::move(call), boot_clock::now() + call_timeout);
}

boost::asio::awaitable<void> store_control::set_faults(std::string query)
{
    co_await post("/faults?" + query);
}

boost::asio::awaitable<void> store_control::publish_config(unsigned version)
{
    co_await post("/api/log-append?topic=keyed.op&part=0",
                  test::log_record_bytes("config", config_text(version)));
}

boost::asio::awaitable<ownership_record> store_control::ownership()
{
    http_call call;
    call.method = "GET";
    call.target = "/record?topic=keyed.ownership&key=map";
    const auto exchange =
        co_await m_client.exchange(std::move(call), boot_clock::now() + call_timeout);
    constexpr unsigned status_ok = 200;
    std::optional<ownership_record> record;
    if (exchange.reply.status == status_ok)
        record = read_message<ownership_record>(exchange.reply.body);
    co_return record.value_or(ownership_record{});
}

std::size_t store_control::count_moves(const ownership_record& record)
{
    std::ptrdiff_t count = 0;
    for (const auto& service : record.services)
        count += std::ranges::count(service.slices, false, &key_slice::is_ready);
    return static_cast<std::size_t>(count);
}

} // namespace eelgrassrail::soak
