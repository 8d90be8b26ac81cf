/// Plays seeded histories of claims, grants, copies and faults against the real coordinator, in
/// virtual time, and checks at the workers that no two of them hold a key.
#include "fault_history.hpp"
#include "model_world.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <iostream>

DEFINE_uint64(first_seed, 1, "first seed");
DEFINE_uint64(seeds, 20, "number of seeds");
DEFINE_uint64(processes, 12, "processes of the router");
DEFINE_uint64(workers, 0, "workers; 0: 16, or 110 for over 24 processes");
DEFINE_uint64(seconds, 90, "virtual time of a run");
DEFINE_string(without, "late_grants",
              "kinds of fault that do not happen, with commas between; lost_claims: every claim "
              "that the store executes is answered in time");
DEFINE_string(only, "", "if not empty, only these kinds happen");
DEFINE_bool(kinds, false, "print the kinds of fault and end");
DEFINE_bool(brief, false, "print only the first line of a violation");
DEFINE_bool(trace, false, "print all faults, claims and moves as they happen");
DEFINE_uint64(violations, 1, "violations after which a run ends");

namespace
{

using namespace eelgrassrail::test;

std::set<std::string> split(const std::string& text)
{
    std::set<std::string> result;
    if (!text.empty())
        boost::algorithm::split(result, text, boost::algorithm::is_any_of(","));
    return result;
}

void print(std::uint64_t seed, const model_world& world, double took_s)
{
    const auto counts = world.counts();
    std::cout << "seed " << seed << (world.violations().empty() ? " passed" : " FAILED")
              << " claims=" << counts.claims << " appends=" << counts.appends
              << " moves=" << counts.moves << " starts=" << counts.starts
              << " low_life_tokens=" << counts.low_life_tokens
              << " gap_mean_ms=" << static_cast<int>(counts.gaps.mean_ms()) << " took_s=" << took_s
              << "\n";
    for (const auto& text : world.violations())
        std::cout << "  " << (FLAGS_brief ? text.substr(0, text.find('\n') + 1) : text);
    std::cout << std::flush;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_kinds)
    {
        for (const auto& name : fault_history::kinds())
            std::cout << name << "\n";
        return 0;
    }
    constexpr std::size_t small = 24;
    constexpr std::size_t few_workers = 16;
    constexpr std::size_t many_workers = 110;
    constexpr eelgrassrail::millis step{5};
    constexpr eelgrassrail::millis large_step{10};
    model_settings settings;
    settings.processes = FLAGS_processes;
    settings.workers = FLAGS_workers > 0          ? FLAGS_workers
                       : FLAGS_processes <= small ? few_workers
                                                  : many_workers;
    settings.time = std::chrono::seconds(FLAGS_seconds);
    settings.step = FLAGS_processes <= small ? step : large_step;
    settings.without = split(FLAGS_without);
    settings.only = split(FLAGS_only);
    settings.max_violations = FLAGS_violations;
    std::vector<std::uint64_t> failed;
    model_counts sum;
    for (auto seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed)
    {
        const auto start = std::chrono::steady_clock::now();
        settings.seed = seed;
        model_world world(settings);
        world.conditions().has_lost_claims = !settings.without.contains("lost_claims");
        if (FLAGS_trace)
            world.journal().on_line([](const std::string& line) { std::cout << line << "\n"; });
        const fault_history history(settings, world);
        world.run();
        print(seed, world,
              std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
        const auto counts = world.counts();
        sum.claims += counts.claims;
        sum.moves += counts.moves;
        sum.low_life_tokens += counts.low_life_tokens;
        sum.gaps.merge(counts.gaps);
        if (!world.violations().empty())
            failed.push_back(seed);
    }
    constexpr double most = 0.95;
    std::cout << "seeds=" << FLAGS_seeds << " failed=" << failed.size()
              << " processes=" << settings.processes << " workers=" << settings.workers
              << " seconds=" << FLAGS_seconds << " claims=" << sum.claims << " moves=" << sum.moves
              << " low_life_tokens=" << sum.low_life_tokens
              << " gaps: mean_ms=" << static_cast<int>(sum.gaps.mean_ms())
              << " p95_ms=" << static_cast<int>(sum.gaps.quantile_ms(most))
              << " max_ms=" << static_cast<int>(sum.gaps.max_ms())
              << " key_seconds=" << static_cast<std::int64_t>(sum.gaps.sum_s())
              << " open=" << sum.gaps.open_count() << "\n";
    if (!failed.empty())
    {
        std::cout << "failed seeds:";
        for (const auto seed : failed)
            std::cout << ' ' << seed;
        std::cout << "\n";
    }
    return failed.empty() ? 0 : 1;
}
