/// Main program of several stand-in workers that leave together: at SIGTERM they report `draining`,
/// serve for the time that the pages say and a little longer, remove their entries and end.
#include "../../tests/standins/log_record_bytes.hpp"
#include "../../tests/standins/worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <memory>

DEFINE_string(id, "i-7f3a91", "begin of the ids, followed by the numbers of the workers");
DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(first_port, 9'000, "port of the first worker; the others follow");
DEFINE_string(store, "127.0.0.1:8541", "IP:PORT of the store");
DEFINE_string(service, "keys", "name of the service");
DEFINE_string(zone, "z1", "availability zone");
DEFINE_int32(count, 10, "number of workers");
DEFINE_int32(slots, 3, "concurrent runs of one worker");
DEFINE_int32(run_ms, 150, "duration of one run, in ms");
DEFINE_uint64(born_ms, 1, "start time, in ms of Unix time");
DEFINE_int32(heartbeat_ms, 870, "interval of the entries in the store, in ms");
DEFINE_bool(prints_runs, false, "print runs and lease events to standard output");
DEFINE_int32(drain_ms, 2'000, "time of service after the report of draining, in ms");

namespace
{

using namespace eelgrassrail;
namespace asio = boost::asio;

bool is_leaving = false;

asio::awaitable<void> write_entry(http_client& client, const std::string& id,
                                  const std::string& value)
{
    constexpr millis timeout{500};
    http_call call;
    call.method = "POST";
    call.target = "/api/log-append?topic=keyed.servers&part=0";
    call.body = test::log_record_bytes(id, value);
    co_await client.exchange(std::move(call), boot_clock::now() + timeout);
}

asio::awaitable<void> send_heartbeats(asio::io_context& context, const test::worker_standin& worker)
{
    const millis interval{FLAGS_heartbeat_ms};
    constexpr millis step{50};
    http_client client(context.get_executor(), FLAGS_store, 1);
    asio::steady_timer timer(context);
    bool was_leaving = false;
    for (instant next{};;)
    {
        const auto now = boot_clock::now();
        if (now >= next || was_leaving != is_leaving)
        {
            was_leaving = is_leaving;
            next = now + interval;
            co_await write_entry(client, worker.settings().id, worker.registration(is_leaving));
        }
        timer.expires_after(step);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> leave(asio::io_context& context,
                            const std::vector<std::unique_ptr<test::worker_standin>>& workers)
{
    constexpr millis margin{1'000};
    is_leaving = true;
    asio::steady_timer timer(context, millis(FLAGS_drain_ms) + margin);
    co_await timer.async_wait(asio::use_awaitable);
    http_client client(context.get_executor(), FLAGS_store, 1);
    for (const auto& worker : workers)
        co_await write_entry(client, worker->settings().id, "");
    context.stop();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    test::worker_settings settings;
    settings.service = FLAGS_service;
    settings.zone = FLAGS_zone;
    settings.is_sharded = true;
    settings.slots = FLAGS_slots;
    settings.run_ms = FLAGS_run_ms;
    settings.start_time_ms = FLAGS_born_ms;
    settings.prints_runs = FLAGS_prints_runs;
    std::vector<std::unique_ptr<test::worker_standin>> workers;
    for (int n = 0; n < FLAGS_count; ++n)
    {
        settings.id = FLAGS_id + std::to_string(n);
        settings.address = FLAGS_ip + ":" + std::to_string(FLAGS_first_port + n);
        settings.seed = static_cast<unsigned>(n + 1);
        workers.push_back(std::make_unique<test::worker_standin>(context, settings));
        asio::co_spawn(context, send_heartbeats(context, *workers.back()), asio::detached);
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int)
                       { asio::co_spawn(context, leave(context, workers), asio::detached); });
    context.run();
    return 0;
}
