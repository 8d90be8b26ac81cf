/// Samples two workers and compares their costs.
#include <eelgrassrail/routing/worker_choice.hpp>

#include <algorithm>
#include <numeric>
#include <vector>

namespace eelgrassrail
{
namespace
{

/// Cost of a failed request, which its caller has to retry or does not get answered, in run times.
constexpr double failure_cost_runs = 6.0;

/// Factor on the cost of a worker in another availability zone.
constexpr double other_zone_cost_factor = 1.3;

/// Factor on the sampling weight of a worker in another availability zone. With 0.25 two thirds of
/// the requests stay in their zone and no more of them are late (`unit_worker_choice`).
constexpr double other_zone_weight_factor = 0.25;

/// Weight of queueing relative to run time. A queued request also delays later ones, so it counts
/// more. With weight 1 the queues of fast workers grow until they are as slow as the slow ones.
constexpr double queue_weight = 2.0;

/// Expected number of run times until a slot is free.
double queueing_rounds(const worker_option& option) noexcept
{
    const double slots = std::max(1U, option.slots);
    return std::max(0.0, option.in_flight + 1 - slots) / slots;
}

/// Factor on the cost for the worker's failures; 1 if there are none.
double failure_factor(const worker_option& option) noexcept
{
    return 1.0 + failure_cost_runs * option.failing;
}

/// Sampling weight: slots that become free per ms, reduced for failures and for another zone.
double weight(const worker_option& option) noexcept
{
    if (option.is_excluded)
        return 0;
    return std::max(1U, option.slots) / option.run_ms / failure_factor(option) *
           (option.is_same_zone ? 1.0 : other_zone_weight_factor);
}

/// Cost in ms by which the two candidates are compared.
double cost(const worker_option& option, double target_ms) noexcept
{
    // Small weight by which times below `target_ms` still differ.
    constexpr double below_target_weight = 0.01;
    const double time_ms = option.run_ms * (1.0 + queue_weight * queueing_rounds(option));
    return (std::max(time_ms, target_ms) + time_ms * below_target_weight) * failure_factor(option) *
           (option.is_same_zone ? 1.0 : other_zone_cost_factor);
}

/// Selects an index at random in proportion to the weights.
/// @param sample uniform random sample from 0 to 1
std::size_t sample_option(std::span<const double> weights, double sample)
{
    double rest = sample * std::accumulate(weights.begin(), weights.end(), 0.0);
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
    return option.run_ms * (1.0 + queueing_rounds(option));
}

std::optional<worker_selection> choose_worker(std::span<const worker_option> options,
                                              double target_ms, const choice_samples& samples)
{
    std::vector<double> weights(options.size());
    std::ranges::transform(options, weights.begin(), weight);
    if (std::ranges::none_of(weights, [](double it) { return it > 0; }))
        return std::nullopt;
    auto best = sample_option(weights, samples.first);
    weights[best] = 0;
    const auto other = sample_option(weights, samples.second);
    if (weights[other] > 0 && cost(options[other], target_ms) < cost(options[best], target_ms))
        best = other;
    return worker_selection{best, expected_ms(options[best])};
}

} // namespace eelgrassrail
