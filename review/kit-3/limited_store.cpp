/// Main program of a stand-in store that keeps to `max_record_bytes`: the project's stand-in behind
/// a listener that rejects an append with a larger record.
#include "../../tests/standins/store_standin.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(address, "127.0.0.1:8541", "IP:PORT to listen on");
DEFINE_string(inner_address, "127.0.0.1:8542", "IP:PORT of the project's stand-in");
DEFINE_uint64(max_record_bytes, 262'144, "maximum size of a record");

namespace
{

using namespace eelgrassrail;

constexpr std::size_t length_bytes = 4;

/// Size of the largest record of an append: each one follows its length (4 bytes, big-endian).
std::size_t largest_record(const std::string& body)
{
    std::size_t largest = 0;
    for (std::size_t at = 0; at + length_bytes <= body.size();)
    {
        std::size_t length = 0;
        for (std::size_t n = 0; n < length_bytes; ++n)
            length = length << 8U | static_cast<unsigned char>(body[at + n]);
        largest = std::max(largest, length);
        at += length_bytes + length;
    }
    return largest;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    test::store_standin inner(context, FLAGS_inner_address);
    constexpr std::size_t connections = 2'000;
    constexpr std::size_t max_call_bytes = 2'097'152;
    http_client client(context.get_executor(), FLAGS_inner_address, connections);
    http_limits limits;
    limits.body_bytes = max_call_bytes;
    http_listener listener(
        context.get_executor(), parse_tcp_address(FLAGS_address), limits,
        [&](http_call call, const auto&) -> boost::asio::awaitable<http_reply>
        {
            constexpr std::chrono::seconds timeout{40};
            constexpr unsigned too_large = 413;
            http_reply reply;
            if (call.target.starts_with("/api/log-append"))
            {
                const auto size = largest_record(call.body);
                const bool is_ownership = call.target.find("keyed.ownership") != std::string::npos;
                const bool is_rejected = size > FLAGS_max_record_bytes;
                if (is_ownership)
                    std::cout << boot_clock::now().time_since_epoch().count()
                              << " ownership record bytes=" << size
                              << (is_rejected ? " rejected" : " taken") << '\n'
                              << std::flush;
                if (is_rejected)
                {
                    reply.status = too_large;
                    co_return reply;
                }
            }
            std::erase_if(call.fields,
                          [](const header_field& field)
                          {
                              return field.name == "Content-Length" || field.name == "Connection" ||
                                     field.name == "Transfer-Encoding";
                          });
            auto exchange = co_await client.exchange(std::move(call), boot_clock::now() + timeout);
            reply = std::move(exchange.reply);
            if (exchange.result != exchange_result::complete)
                reply.status = 503;
            std::erase_if(reply.fields, [](const header_field& field)
                          { return field.name == "Content-Length" || field.name == "Connection"; });
            co_return reply;
        },
        [](request_defect)
        {
            http_reply reply;
            reply.status = 400;
            return reply;
        });
    listener.start();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
