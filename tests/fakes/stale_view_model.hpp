/// Simulates many router processes that send to the same workers, each with a view of the workers'
/// load that is some hundred ms old. Time is simulated; there are no sockets.
///
/// Reproduces herding: all processes get the same load figures at the same moment, and each sends
/// to the workers that appeared idle until the next figures arrive.
#pragma once

#include <eelgrassrail/routing/worker_choice.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace eelgrassrail::test
{

/// Parameters of the simulation.
struct stale_view_terms
{
    std::size_t entries{83};
    std::size_t workers{49};
    std::size_t zones{4};
    std::uint32_t slots{6};
    std::uint32_t queue{24}; ///< maximum number of requests waiting at a worker; it refuses others
    double run_ms{330};      ///< mean run time at a worker of medium speed
    double run_spread{0.5};  ///< standard deviation of the logarithm of run times
    std::vector<double> speeds{0.6, 1.0, 1.4};
    double load{0.8};      ///< part of all slots that the requests keep busy
    double report_ms{200}; ///< interval between two reports of a router process
    double push_ms{332};   ///< interval between two pushes of the sums to all processes
    double objective_ms{1'000};
    double length_ms{30'000};
};

/// Results of the simulation.
struct stale_view_result
{
    double in_time{}; ///< part of the requests that ended within the objective
    double refused{}; ///< part that was sent to a full worker
    double mean_ms{};
    double near{}; ///< part that stayed in their zone
};

/// @param choose called with all options, a random generator and the number of the router process;
/// returns the index of a worker
template <class Chooser>
stale_view_result play_stale_view(const stale_view_terms& terms, Chooser choose)
{
    std::mt19937 random(7);
    struct server
    {
        double run_ms{};
        std::vector<double> free_at;
        std::priority_queue<double, std::vector<double>, std::greater<>> ends;
        std::size_t zone{};
    };
    std::vector<server> servers(terms.workers);
    double capacity = 0;
    for (std::size_t w = 0; w < servers.size(); ++w)
    {
        servers[w].run_ms = terms.run_ms / terms.speeds[w % terms.speeds.size()];
        servers[w].free_at.assign(terms.slots, 0.0);
        servers[w].zone = w % terms.zones;
        capacity += terms.slots / servers[w].run_ms;
    }
    std::vector<std::vector<std::uint32_t>> own(terms.entries,
                                                std::vector<std::uint32_t>(terms.workers));
    auto reported = own;
    std::vector<std::uint32_t> pushed(terms.workers);
    struct running
    {
        double end{};
        std::size_t entry{};
        std::size_t worker{};
        bool operator>(const running& other) const { return end > other.end; }
    };
    std::priority_queue<running, std::vector<running>, std::greater<>> flights;
    std::vector<double> next_report(terms.entries);
    for (std::size_t e = 0; e < terms.entries; ++e)
        next_report[e] =
            terms.report_ms * static_cast<double>(e) / static_cast<double>(terms.entries);
    double next_push = 0;
    std::exponential_distribution<double> gap(capacity * terms.load);
    std::uniform_int_distribution<std::size_t> any_entry(0, terms.entries - 1);
    std::lognormal_distribution<double> spread(-terms.run_spread * terms.run_spread / 2,
                                               terms.run_spread);
    double in_time = 0;
    double refused = 0;
    double sum = 0;
    double all = 0;
    double near = 0;
    for (double now = 0; now < terms.length_ms; now += gap(random))
    {
        while (!flights.empty() && flights.top().end <= now)
        {
            --own[flights.top().entry][flights.top().worker];
            flights.pop();
        }
        for (std::size_t e = 0; e < terms.entries; ++e)
            if (now >= next_report[e])
            {
                reported[e] = own[e];
                next_report[e] += terms.report_ms;
            }
        if (now >= next_push)
        {
            next_push += terms.push_ms;
            std::ranges::fill(pushed, 0U);
            for (const auto& item : reported)
                for (std::size_t w = 0; w < item.size(); ++w)
                    pushed[w] += item[w];
        }
        const auto e = any_entry(random);
        std::vector<worker_option> options(terms.workers);
        for (std::size_t w = 0; w < options.size(); ++w)
        {
            auto& option = options[w];
            option.slots = terms.slots;
            option.run_ms = servers[w].run_ms;
            option.is_same_zone = servers[w].zone == e % terms.zones;
            option.in_flight = pushed[w] - std::min(pushed[w], reported[e][w]) + own[e][w];
        }
        ++all;
        const std::size_t chosen = choose(options, random, e);
        if (chosen >= servers.size())
        {
            ++refused;
            continue;
        }
        auto& server = servers[chosen];
        while (!server.ends.empty() && server.ends.top() <= now)
            server.ends.pop();
        if (server.ends.size() >= terms.slots + terms.queue)
        {
            ++refused;
            continue;
        }
        auto& slot = *std::ranges::min_element(server.free_at);
        slot = std::max(slot, now) + server.run_ms * spread(random);
        server.ends.push(slot);
        ++own[e][chosen];
        flights.push({slot, e, chosen});
        const double took = slot - now;
        sum += took;
        near += options[chosen].is_same_zone ? 1 : 0;
        in_time += took <= terms.objective_ms ? 1 : 0;
    }
    return {in_time / all, refused / all, sum / std::max(1.0, all - refused), near / all};
}

} // namespace eelgrassrail::test
