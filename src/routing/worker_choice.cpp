/// Draws two workers and compares their expected times.
#include <eelgrassrail/routing/worker_choice.hpp>

#include <algorithm>
#include <numeric>
#include <vector>

namespace eelgrassrail
{
namespace
{

/// A failed request costs its caller a second try, or its answer. Expressed as runs that are lost.
constexpr double runs_lost_by_failure = 6.0;

/// A worker in another zone has to be this much better, relative, to get the request.
constexpr double distance_factor = 1.3;

/// How much less often a worker in another zone is drawn. With a quarter two thirds of the requests
/// stay in their zone and no more of them are late (`unit_worker_choice`).
constexpr double far_weight = 0.25;

/// A request that joins a queue also delays those that come after it, so waiting counts more than
/// running. With weight 1 the fast workers' queues grow until they are as slow as the slow ones.
constexpr double queue_weight = 2.0;

/// Rounds of runs that end before a slot is free.
double rounds_before(const worker_option& option) noexcept
{
    const double slots = std::max(1U, option.slots);
    return std::max(0.0, option.in_flight + 1 - slots) / slots;
}

/// How many times the price of a sound, near worker is paid.
double penalty(const worker_option& option) noexcept
{
    return 1.0 + runs_lost_by_failure * option.failing;
}

/// Slots that become free in a ms, less for workers that are better avoided.
double weight(const worker_option& option) noexcept
{
    if (option.is_excluded)
        return 0;
    return std::max(1U, option.slots) / option.run_ms / penalty(option) *
           (option.is_near ? 1.0 : far_weight);
}

double price(const worker_option& option, double comfort_ms) noexcept
{
    // Less than the comfortable time is worth something too, if little.
    constexpr double below_comfort = 0.01;
    const double cost = option.run_ms * (1.0 + queue_weight * rounds_before(option));
    return (std::max(cost, comfort_ms) + cost * below_comfort) * penalty(option) *
           (option.is_near ? 1.0 : distance_factor);
}

/// Index of the option that a draw falls on.
std::size_t draw_option(std::span<const double> weights, double draw)
{
    double rest = draw * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t last = 0;
    for (std::size_t n = 0; n < weights.size(); ++n)
    {
        if (weights[n] <= 0)
            continue;
        last = n;
        rest -= weights[n];
        if (rest < 0)
            break;
    }
    return last;
}

} // namespace

double expected_ms(const worker_option& option) noexcept
{
    return option.run_ms * (1.0 + rounds_before(option));
}

std::optional<worker_pick> choose_worker(std::span<const worker_option> options, double comfort_ms,
                                         const choice_draws& draws)
{
    std::vector<double> weights(options.size());
    std::ranges::transform(options, weights.begin(), weight);
    if (std::ranges::none_of(weights, [](double it) { return it > 0; }))
        return std::nullopt;
    auto best = draw_option(weights, draws.first);
    weights[best] = 0;
    const auto other = draw_option(weights, draws.second);
    if (weights[other] > 0 && price(options[other], comfort_ms) < price(options[best], comfort_ms))
        best = other;
    return worker_pick{best, expected_ms(options[best])};
}

} // namespace eelgrassrail
