/// Program of the stand-in worker: registers itself in the store and prints each run as it begins
/// and ends, so that the journal survives the process.
#include "log_record_bytes.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

DEFINE_string(id, "w", "name of this worker");
DEFINE_string(address, "127.0.0.1:9000", "IP:PORT");
DEFINE_string(advertise, "", "IP:PORT that callers are told; empty: the address");
DEFINE_string(store, "127.0.0.1:8541", "IP:PORT of the store");
DEFINE_string(service, "keys", "name of the service");
DEFINE_string(zone, "z1", "availability zone");
DEFINE_bool(divided, true, "the service is divided by key");
DEFINE_int32(run_ms, 10, "time of one run, in ms");
DEFINE_uint64(born_ms, 1, "Unix ms of the start");

namespace
{

using namespace eelgrassrail;

boost::asio::awaitable<void> beat(boost::asio::io_context& context, std::string entry)
{
    constexpr millis interval{300};
    constexpr millis timeout{500};
    http_client client(context.get_executor(), FLAGS_store, 1);
    for (;;)
    {
        http_call call;
        call.method = "POST";
        call.target = "/api/log-append?topic=keyed.servers&part=0";
        call.body = test::log_record_bytes(FLAGS_id, entry);
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
    settings.is_divided = FLAGS_divided;
    settings.run_ms = FLAGS_run_ms;
    settings.born_ms = FLAGS_born_ms;
    settings.prints_runs = true;
    settings.advertised = FLAGS_advertise.empty() ? FLAGS_address : FLAGS_advertise;
    const test::worker_standin worker(context, settings);
    boost::asio::co_spawn(context, beat(context, worker.entry(false)), boost::asio::detached);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
