/// Generates the load, runs each policy on it and averages the results over time.
#include "hot_set_model.hpp"

#include <eelgrassrail/balance/move_chooser.hpp>

#include <algorithm>
#include <functional>
#include <random>

namespace eelgrassrail::harness
{
namespace
{

using owners = std::vector<std::string>;
using policy = std::function<std::vector<slice_move>(const std::vector<slice_work>&,
                                                     const std::vector<server_capacity>&)>;

std::vector<server_capacity> make_servers(const hot_set_plan& plan)
{
    std::vector<server_capacity> result;
    for (std::size_t n = 0; n < plan.workers; ++n)
        result.push_back({"w" + std::to_string(n), 1.0});
    return result;
}

/// Work of each slice, in ms per second, for one randomly chosen hot set.
std::vector<double> make_work(const hot_set_plan& plan, std::mt19937_64& random)
{
    const auto cold = plan.total_work * (1.0 - plan.hot_share) / static_cast<double>(plan.slices);
    std::vector<double> work(plan.slices, cold);
    for (std::size_t n = 0; n < plan.hot_keys; ++n)
        work[random() % plan.slices] +=
            plan.total_work * plan.hot_share / static_cast<double>(plan.hot_keys);
    return work;
}

hot_set_result run_policy(const hot_set_plan& plan, const policy& choose)
{
    std::mt19937_64 random(plan.seed);
    const auto servers = make_servers(plan);
    owners owner(plan.slices);
    for (std::size_t n = 0; n < plan.slices; ++n)
        owner[n] = servers[n % servers.size()].server;
    load_tracker tracker;
    hot_set_result result;
    double intervals = 0.0;
    double moves = 0.0;
    std::vector<double> work;
    double next_change = 0.0;
    for (double now = 0.0; now < plan.run_seconds; now += plan.interval_seconds)
    {
        if (now >= next_change)
        {
            work = make_work(plan, random);
            next_change += plan.hot_set_interval_seconds;
        }
        std::vector<slice_work> current;
        for (std::size_t n = 0; n < plan.slices; ++n)
            current.push_back({static_cast<slice_index>(n), owner[n], work[n]});
        result.imbalance += imbalance(current, servers);
        intervals += 1.0;
        auto measured = current;
        for (auto& slice : measured)
            slice.work *= plan.interval_seconds;
        const auto averages = tracker.update(std::move(measured), plan.interval_seconds);
        for (const auto& move : choose(averages, servers))
        {
            owner[move.slice] = move.to;
            moves += 1.0;
        }
    }
    constexpr double hour = 3600.0;
    result.imbalance /= intervals;
    result.moves_per_hour = moves * hour / plan.run_seconds;
    return result;
}

/// Reassigns all slices whenever the hot set changes: the largest first, each to the server with
/// the least load.
hot_set_result run_bound(const hot_set_plan& plan)
{
    std::mt19937_64 random(plan.seed);
    hot_set_result result;
    double changes = 0.0;
    for (double now = 0.0; now < plan.run_seconds; now += plan.hot_set_interval_seconds)
    {
        auto work = make_work(plan, random);
        std::ranges::sort(work, std::greater<>());
        std::vector<double> loads(plan.workers, 0.0);
        for (const auto slice : work)
            *std::ranges::min_element(loads) += slice;
        result.imbalance +=
            *std::ranges::max_element(loads) * static_cast<double>(plan.workers) / plan.total_work;
        changes += 1.0;
    }
    result.imbalance /= changes;
    return result;
}

policy weighted(double churn, double unavailable)
{
    return [churn, unavailable](const auto& slices, const auto& servers)
    {
        balance_parameters parameters;
        parameters.churn_weight = churn;
        parameters.unavailable_weight = unavailable;
        parameters.max_moves = 2;
        return choose_moves(slices, servers, parameters);
    };
}

} // namespace

hot_set_report run_hot_set_model(const hot_set_plan& plan)
{
    hot_set_report report;
    report.static_hashing =
        run_policy(plan, [](const auto&, const auto&) { return std::vector<slice_move>(); });
    report.greedy = run_policy(plan, [](const auto& slices, const auto& servers)
                               { return choose_moves_greedy(slices, servers, 2); });
    report.ice = run_policy(plan, weighted(1.0, 4.0));
    report.rides = run_policy(plan, weighted(4.0, 1.0));
    report.bound = run_bound(plan);
    return report;
}

} // namespace eelgrassrail::harness
