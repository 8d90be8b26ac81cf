/// Stand-in for the platform: an append-only log with offsets and a list of VMs, over HTTP.
///
/// POST /switch sets the faults of /log and /vms: down (calls get 503), slow_ms (delay of each
/// answer), lose_replies (the next N appends are stored but answered with 503), retain (number of
/// records kept). PUT /vms replaces the list. GET /counts returns the number of appends and reads.
#include <eelgrassrail/core/json_reader.hpp>
#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <deque>

DEFINE_string(address, "127.0.0.1:7000", "IP:PORT to listen on");
DEFINE_string(vms, "[]", "initial list of VMs, as JSON");

namespace
{

using namespace eelgrassrail;
namespace asio = boost::asio;

struct fault_settings
{
    bool down{};
    std::uint32_t slow_ms{};
    std::uint32_t lose_replies{};
    std::uint32_t retain{}; ///< records kept
};
BOOST_DESCRIBE_STRUCT(fault_settings, (), (down, slow_ms, lose_replies, retain))

http_reply reply_with(unsigned status, std::string body)
{
    return {status, {}, std::move(body)};
}

struct platform
{
    explicit platform(asio::io_context& io)
        : context(io)
    {
    }

    asio::io_context& context;
    fault_settings faults{false, 0, 0, 1'000'000};
    std::deque<std::string> records;
    log_offset start{}; ///< offset of the oldest record kept
    std::vector<listed_vm> vms;
    std::uint64_t appends{};
    std::uint64_t reads{};

    void trim()
    {
        for (; records.size() > faults.retain; ++start)
            records.pop_front();
    }

    http_reply append(std::string body)
    {
        records.push_back(std::move(body));
        ++appends;
        const auto offset = start + records.size() - 1;
        trim();
        return {200, {}, "{\"offset\":" + std::to_string(offset) + "}"};
    }

    http_reply read(log_offset from)
    {
        ++reads;
        constexpr std::size_t max_records = 500;
        log_page page{start, std::max(from, start), start + records.size(), {}};
        for (auto n = page.first; n < page.head && page.records.size() < max_records; ++n)
            page.records.push_back(records[n - start]);
        return {200, {}, boost::json::serialize(boost::json::value_from(page))};
    }

    asio::awaitable<void> wait(millis length)
    {
        asio::steady_timer timer(context, length);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::awaitable<http_reply> serve(http_call call)
    {
        constexpr unsigned unavailable = 503;
        const auto path = path_of(call.target);
        if (call.method == "POST" && path == "/switch")
        {
            faults = json_reader("switch").read<fault_settings>(boost::json::parse(call.body));
            trim();
            co_return reply_with(200, "{}");
        }
        if (path == "/counts")
            co_return reply_with(200, "{\"appends\":" + std::to_string(appends) +
                                          ",\"reads\":" + std::to_string(reads) + "}");
        if (faults.slow_ms > 0)
            co_await wait(millis(faults.slow_ms));
        if (faults.down)
            co_return reply_with(unavailable, {});
        if (call.method == "POST" && path == "/log")
        {
            auto reply = append(std::move(call.body));
            if (faults.lose_replies > 0)
            {
                --faults.lose_replies;
                reply = reply_with(unavailable, {});
            }
            co_return reply;
        }
        if (path == "/log")
            co_return read(std::stoull(query_value(call.target, "from").value_or("0")));
        if (call.method == "PUT" && path == "/vms")
            vms = json_reader("vms").read<std::vector<listed_vm>>(boost::json::parse(call.body));
        co_return reply_with(200, boost::json::serialize(boost::json::value_from(vms)));
    }
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    platform state(context);
    state.vms = json_reader("vms").read<std::vector<listed_vm>>(boost::json::parse(FLAGS_vms));
    constexpr std::size_t body_limit = 8UL * 1024UL * 1024;
    http_listener listener(
        context.get_executor(), parse_tcp_address(FLAGS_address), {.body_bytes = body_limit},
        [&state](http_call call, const auto&) { return state.serve(std::move(call)); },
        [](request_defect) {
            return http_reply{400, {}, {}};
        });
    listener.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
