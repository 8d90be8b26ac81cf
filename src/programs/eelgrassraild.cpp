/// Entry daemon: reads its settings, runs an entry process and stops it on SIGTERM or SIGINT.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/entry/entry_process.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/settings/flags.hpp>
#include <eelgrassrail/settings/run_program.hpp>

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

DEFINE_string(vm, "", "name of this VM in the platform's list");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(http_address, "", "IP:PORT for callers, /healthz and /readyz");
DEFINE_string(operator_address, "", "IP:PORT for the operators' client and /metrics");
DEFINE_string(peer_address, "", "IP:PORT for other entry processes, TCP and UDP");
DEFINE_string(platform_address, "", "IP:PORT of the platform's log and VM list");
DEFINE_string(peers, "", "other entry processes at start: ZONE@IP:PORT,ZONE@IP:PORT");
DEFINE_int32(poll_ms, 100, "interval between reads of the log, in ms");
DEFINE_int32(platform_timeout_ms, 400, "timeout of a call to the platform, in ms");
DEFINE_int32(drain_delay_ms, 300, "delay from not ready to the first handover, in ms");
DEFINE_int32(stop_deadline_ms, 10000, "time limit of a planned stop, in ms");
DEFINE_int32(snapshot_interval_s, 600, "interval between snapshots in the log, in s");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_bool(fault_switches, false, "accept POST /admin/faults; for tests only");

namespace
{

using namespace eelgrassrail;

std::vector<peer_endpoint> read_peers(const std::string& text)
{
    std::vector<peer_endpoint> result;
    for (const auto& item : split_list(text))
    {
        const auto at = item.find('@');
        if (at == std::string::npos)
            throw settings_error(105, "--peers: '" + item + "' is not ZONE@IP:PORT");
        check_name("peers", item.substr(0, at));
        check_address("peers", item.substr(at + 1));
        result.push_back({item.substr(0, at), item.substr(at + 1)});
    }
    return result;
}

entry_settings read_settings()
{
    read_environment();
    check_name("vm", FLAGS_vm);
    check_name("zone", FLAGS_zone);
    check_address("http_address", FLAGS_http_address);
    check_address("operator_address", FLAGS_operator_address);
    check_address("peer_address", FLAGS_peer_address);
    check_address("platform_address", FLAGS_platform_address);
    constexpr std::int64_t max_poll_ms = 1'000;
    constexpr std::int64_t max_timeout_ms = 10'000;
    constexpr std::int64_t max_stop_ms = 600'000;
    constexpr std::int64_t max_snapshot_s = 86'400;
    check_range("poll_ms", FLAGS_poll_ms, 10, max_poll_ms);
    check_range("platform_timeout_ms", FLAGS_platform_timeout_ms, 50, max_timeout_ms);
    check_range("drain_delay_ms", FLAGS_drain_delay_ms, 0, max_stop_ms);
    check_range("stop_deadline_ms", FLAGS_stop_deadline_ms, 100, max_stop_ms);
    check_range("snapshot_interval_s", FLAGS_snapshot_interval_s, 1, max_snapshot_s);
    entry_settings result;
    result.vm = FLAGS_vm;
    result.zone = FLAGS_zone;
    result.http_address = FLAGS_http_address;
    result.operator_address = FLAGS_operator_address;
    result.peer_address = FLAGS_peer_address;
    result.platform_address = FLAGS_platform_address;
    result.peers = read_peers(FLAGS_peers);
    result.poll_interval = millis(FLAGS_poll_ms);
    result.platform_timeout = millis(FLAGS_platform_timeout_ms);
    result.drain_delay = millis(FLAGS_drain_delay_ms);
    result.stop_timeout = millis(FLAGS_stop_deadline_ms);
    result.snapshot_interval = std::chrono::seconds(FLAGS_snapshot_interval_s);
    result.fault_switches = FLAGS_fault_switches;
    return result;
}

int run()
{
    const auto settings = read_settings();
    start_logging(FLAGS_log_level);
    boost::asio::io_context context(1);
    entry_process process(context, settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&process](const boost::system::error_code& ec, int)
        {
            if (!ec.failed())
                process.begin_stop();
        });
    process.start();
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return eelgrassrail::run_program(argc, argv, "the entry daemon of eelgrassrail", run);
}
