/// Soak test of the real programs under random faults. Runs one seed after the other and prints the
/// violated guarantees.
#include "site_world.hpp"
#include "soak_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <optional>

DEFINE_uint32(first_seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds");
DEFINE_string(
    seed_file, "",
    "file with a seed at the begin of each line, used instead of --first_seed and --seeds");
DEFINE_int32(fault_s, 8, "time during which faults are started, in s");
DEFINE_string(bin, "build", "folder of the programs");
DEFINE_string(first_router_bin, "", "folder of the program of the first router; empty: --bin");
DEFINE_string(folder, "build/soak-logs", "folder for logs");
DEFINE_int32(first_port, 21'000, "first of the 120 ports to use");
DEFINE_bool(site, false, "run a large site, by hand: it takes 1 min and 30 s a round");
DEFINE_uint32(rounds, 6, "rounds of faults of the large site");
DEFINE_uint32(routers, 295, "routers of the large site");
DEFINE_uint32(keyed_workers, 442, "workers of the large site's sharded service");
DEFINE_uint32(plain_workers, 20, "workers of the large site's other service");
DEFINE_uint32(clients, 120, "clients of the large site");
DEFINE_int32(round_kind, -1, "kind of the large site's rounds; negative: all in turn");
DEFINE_int32(store_kind, -1, "faults of the large site's store; negative: random");
DEFINE_string(max_hold, "10000ms", "maximum lease of the large site");
DEFINE_string(log_level, "info", "of the routers of the large site");

namespace
{

std::vector<unsigned> seeds_to_run()
{
    std::vector<unsigned> seeds;
    if (FLAGS_seed_file.empty())
    {
        for (unsigned n = 0; n < FLAGS_seeds; ++n)
            seeds.push_back(FLAGS_first_seed + n);
        return seeds;
    }
    std::ifstream in(FLAGS_seed_file);
    for (std::string line; std::getline(in, line);)
        if (!line.empty() && line.front() != '#')
            seeds.push_back(static_cast<unsigned>(std::stoul(line)));
    return seeds;
}

/// @return whether no guarantee was violated; nothing if the run was interrupted
std::optional<bool> run_seed(unsigned seed)
{
    using namespace eelgrassrail;
    boost::asio::io_context context(1);
    const auto folder = FLAGS_folder + "/" + std::to_string(seed);
    std::vector<std::string> violations;
    const auto on_end = [&](const std::exception_ptr& failure, std::vector<std::string> result)
    {
        violations = std::move(result);
        if (failure)
            violations.push_back("the run ended with an exception");
        context.stop();
    };
    // A run that is interrupted ends its processes.
    bool is_interrupted = false;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&](const boost::system::error_code&, int)
        {
            is_interrupted = true;
            context.stop();
        });
    std::optional<soak::soak_world> world;
    std::optional<soak::site_world> site;
    if (FLAGS_site)
    {
        soak::site_sizes sizes;
        sizes.routers = FLAGS_routers;
        sizes.keyed_workers = FLAGS_keyed_workers;
        sizes.plain_workers = FLAGS_plain_workers;
        sizes.clients = FLAGS_clients;
        sizes.max_hold = FLAGS_max_hold;
        sizes.round_kind = FLAGS_round_kind;
        sizes.store_kind = FLAGS_store_kind;
        sizes.log_level = FLAGS_log_level;
        sizes.port = static_cast<std::uint16_t>(FLAGS_first_port);
        site.emplace(context, FLAGS_bin, folder, seed, sizes);
        boost::asio::co_spawn(context, site->run(FLAGS_rounds), on_end);
    }
    else
    {
        const auto& first_bin = FLAGS_first_router_bin.empty() ? FLAGS_bin : FLAGS_first_router_bin;
        soak::soak_sizes sizes;
        constexpr unsigned larger_seeds = 5; // one seed of so many has more routers
        constexpr std::size_t larger_routers = 24;
        if (seed % larger_seeds == 0)
            sizes.routers = larger_routers;
        world.emplace(context, soak::soak_programs{FLAGS_bin, first_bin}, folder,
                      static_cast<std::uint16_t>(FLAGS_first_port), seed, sizes);
        boost::asio::co_spawn(context, world->run(millis(FLAGS_fault_s * 1'000)), on_end);
    }
    context.run();
    if (is_interrupted)
        return std::nullopt;
    std::cout << "seed " << seed << (violations.empty() ? " passed" : " FAILED") << std::endl;
    for (const auto& line : violations)
        std::cout << "  " << line << std::endl;
    return violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    unsigned failed = 0;
    const auto seeds = seeds_to_run();
    for (const auto seed : seeds)
    {
        const auto is_good = run_seed(seed);
        if (!is_good)
            return 1;
        failed += *is_good ? 0 : 1;
    }
    std::cout << "soak: " << seeds.size() - failed << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? 0 : 1;
}
