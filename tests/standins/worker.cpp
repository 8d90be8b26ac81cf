/// Main program of the stand-in worker. It registers itself in the store and prints the begin and
/// the end of each run to standard output, so that the journal outlives a killed process.
#include "log_record_bytes.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

DEFINE_string(id, "w", "id of this worker");
DEFINE_string(address, "127.0.0.1:9000", "IP:PORT to listen on");
DEFINE_string(advertise, "", "IP:PORT that the registration names; empty: --address");
DEFINE_string(store, "127.0.0.1:8541", "IP:PORT of the metadata store");
DEFINE_string(service, "keys", "name of the service");
DEFINE_string(zone, "z1", "availability zone");
DEFINE_bool(divided, true, "the service is sharded by key");
DEFINE_int32(run_ms, 10, "duration of one run, in ms");
DEFINE_uint64(born_ms, 1, "start time, in ms of Unix time");

namespace
{

using namespace eelgrassrail;

boost::asio::awaitable<void> send_heartbeats(boost::asio::io_context& context,
                                             std::string registration)
{
    constexpr millis interval{300};
    constexpr millis timeout{500};
    http_client client(context.get_executor(), FLAGS_store, 1);
    for (;;)
    {
        http_call call;
        call.method = "POST";
        call.target = "/api/log-append?topic=keyed.servers&part=0";
        call.body = test::log_record_bytes(FLAGS_id, registration);
        co_await client.exchange(std::move(call), boot_clock::now() + timeout);
        boost::asio::steady_timer timer(context, interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    test::worker_settings settings;
    settings.id = FLAGS_id;
    settings.address = FLAGS_address;
    settings.service = FLAGS_service;
    settings.zone = FLAGS_zone;
    settings.is_sharded = FLAGS_divided;
    settings.run_ms = FLAGS_run_ms;
    settings.start_time_ms = FLAGS_born_ms;
    settings.prints_runs = true;
    settings.advertised_address = FLAGS_advertise.empty() ? FLAGS_address : FLAGS_advertise;
    const test::worker_standin worker(context, settings);
    boost::asio::co_spawn(context, send_heartbeats(context, worker.registration(false)),
                          boost::asio::detached);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
