/// Main program of one or several stand-in workers. They register themselves in the store and print
/// the begin and the end of each run and all lease events to standard output, so that the journal
/// outlives a killed process.
#include "log_record_bytes.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <memory>

DEFINE_string(id, "w", "id of this worker");
DEFINE_string(address, "127.0.0.1:9000", "IP:PORT to listen on");
DEFINE_string(advertise, "", "IP:PORT that the registration names; empty: --address");
DEFINE_string(store, "127.0.0.1:8541", "IP:PORT of the metadata store");
DEFINE_string(service, "keys", "name of the service");
DEFINE_string(zone, "z1", "availability zone");
DEFINE_bool(divided, true, "the service is sharded by key");
DEFINE_int32(run_ms, 10, "duration of one run, in ms");
DEFINE_uint64(born_ms, 1, "start time, in ms of Unix time");
DEFINE_int32(slots, 3, "concurrent runs of one worker");
DEFINE_int32(count, 1,
             "number of workers in this process; the ids get the numbers of the workers, the ports "
             "follow each other");
DEFINE_int32(heartbeat_ms, 300, "interval of the entries in the store, in ms");
DEFINE_double(clock_lag, 0, "share by which the clock of the leases runs slow");
DEFINE_int32(late_percent, 0, "of 100 grants, the number taken late, without an answer");
DEFINE_int32(late_ms, 2'000, "time until a late grant is taken, in ms");
DEFINE_uint32(seed, 1, "of random choices");

namespace
{

using namespace eelgrassrail;

boost::asio::awaitable<void> send_heartbeats(boost::asio::io_context& context,
                                             const test::worker_standin& worker)
{
    const millis interval{FLAGS_heartbeat_ms};
    constexpr millis timeout{500};
    http_client client(context.get_executor(), FLAGS_store, 1);
    for (;;)
    {
        http_call call;
        call.method = "POST";
        call.target = "/api/log-append?topic=keyed.servers&part=0";
        call.body = test::log_record_bytes(worker.settings().id, worker.registration(false));
        co_await client.exchange(std::move(call), boot_clock::now() + timeout);
        boost::asio::steady_timer timer(context, interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

/// The address with a port that is higher by n.
std::string nth_address(const std::string& first, int n)
{
    const auto colon = first.rfind(':');
    return first.substr(0, colon + 1) + std::to_string(std::stoi(first.substr(colon + 1)) + n);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    test::worker_settings settings;
    settings.service = FLAGS_service;
    settings.zone = FLAGS_zone;
    settings.is_sharded = FLAGS_divided;
    settings.slots = FLAGS_slots;
    settings.run_ms = FLAGS_run_ms;
    settings.start_time_ms = FLAGS_born_ms;
    settings.prints_runs = true;
    settings.clock_lag = FLAGS_clock_lag;
    settings.late_percent = FLAGS_late_percent;
    settings.late_ms = FLAGS_late_ms;
    std::vector<std::unique_ptr<test::worker_standin>> workers;
    for (int n = 0; n < FLAGS_count; ++n)
    {
        settings.id = FLAGS_count == 1 ? FLAGS_id : FLAGS_id + std::to_string(n);
        settings.address = nth_address(FLAGS_address, n);
        settings.advertised_address =
            FLAGS_advertise.empty() ? settings.address : nth_address(FLAGS_advertise, n);
        settings.seed = FLAGS_seed + static_cast<unsigned>(n);
        workers.push_back(std::make_unique<test::worker_standin>(context, settings));
        boost::asio::co_spawn(context, send_heartbeats(context, *workers.back()),
                              boost::asio::detached);
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
