/// Least expected time.
#include <eelgrassrail/routing/worker_choice.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// A failed request costs its caller a second try, or its answer. Expressed as runs that are lost.
constexpr double runs_lost_by_failure = 6.0;

/// A worker in another zone has to be this much better, relative, to get the request.
constexpr double distance_factor = 1.3;

/// Entries that see the same figures would all choose the same worker; the draw spreads them.
constexpr double spread = 0.15;

/// A request that joins a queue also delays those that come after it, so waiting counts more than
/// running. With weight 1 the fast workers' queues grow until they are as slow as the slow ones.
constexpr double queue_weight = 2.0;

/// Rounds of runs that end before a slot is free.
double rounds_before(const worker_option& option) noexcept
{
    const double slots = std::max(1U, option.slots);
    return std::max(0.0, option.in_flight + 1 - slots) / slots;
}

} // namespace

double expected_ms(const worker_option& option) noexcept
{
    return option.run_ms * (1.0 + rounds_before(option));
}

std::optional<worker_pick> choose_worker(std::span<const worker_option> options, double comfort_ms,
                                         double draw)
{
    std::optional<worker_pick> best;
    double best_price = 0;
    constexpr double golden = 0.618034; // spreads one draw evenly over the options
    for (std::size_t n = 0; n < options.size(); ++n)
    {
        const auto& option = options[n];
        if (option.is_excluded)
            continue;
        const double expected = expected_ms(option);
        const double cost = option.run_ms * (1.0 + queue_weight * rounds_before(option));
        const double own_draw = std::fmod(draw + golden * static_cast<double>(n), 1.0);
        const double price = std::max(cost, comfort_ms) *
                             (1.0 + runs_lost_by_failure * option.failing) *
                             (option.is_near ? 1.0 : distance_factor) * (1.0 + spread * own_draw);
        if (best && price >= best_price)
            continue;
        best = worker_pick{n, expected};
        best_price = price;
    }
    return best;
}

} // namespace eelgrassrail
