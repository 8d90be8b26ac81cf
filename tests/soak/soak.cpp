/// Soak test of the real programs under random faults. Runs one seed after the other and prints the
/// violated guarantees.
#include "soak_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_uint32(first_seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds");
DEFINE_string(
    seed_file, "",
    "file with a seed at the begin of each line, used instead of --first_seed and --seeds");
DEFINE_int32(fault_s, 8, "time during which faults are started, in s");
DEFINE_string(bin, "build", "folder of the programs");
DEFINE_string(first_router_bin, "", "folder of the program of the first router; empty: --bin");
DEFINE_string(folder, "build/soak-logs", "folder for logs");
DEFINE_int32(first_port, 21'000, "first of the 100 ports to use");

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

/// @return whether no guarantee was violated
bool run_seed(unsigned seed)
{
    boost::asio::io_context context(1);
    const auto folder = FLAGS_folder + "/" + std::to_string(seed);
    eelgrassrail::soak::soak_world world(
        context, {FLAGS_bin, FLAGS_first_router_bin.empty() ? FLAGS_bin : FLAGS_first_router_bin},
        folder, static_cast<std::uint16_t>(FLAGS_first_port), seed);
    std::vector<std::string> violations;
    boost::asio::co_spawn(context, world.run(eelgrassrail::millis(FLAGS_fault_s * 1'000)),
                          [&](const std::exception_ptr& failure, std::vector<std::string> result)
                          {
                              violations = std::move(result);
                              if (failure)
                                  violations.push_back("the run ended with an exception");
                              context.stop();
                          });
    context.run();
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
        failed += run_seed(seed) ? 0 : 1;
    std::cout << "soak: " << seeds.size() - failed << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? 0 : 1;
}
