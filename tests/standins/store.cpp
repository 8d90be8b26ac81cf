/// Main program of the stand-in metadata store.
#include "store_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

DEFINE_uint32(seed, 1, "of random faults");
DEFINE_string(address, "127.0.0.1:8541", "IP:PORT to listen on");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    eelgrassrail::test::store_standin store(context, FLAGS_address);
    store.seed(FLAGS_seed);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
