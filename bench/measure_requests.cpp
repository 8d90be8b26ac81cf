/// Measures latency, overload, balance and cost of requests. Prints one line per figure; exits 1 if
/// a target is missed.
#include "deployment.hpp"
#include "figure_table.hpp"
#include "load.hpp"
#include "node_usage.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>
#include <numeric>
#include <random>

DEFINE_string(bin, "build", "folder of the programs");
DEFINE_string(folder, "build/measure-requests", "folder for logs");
DEFINE_int32(seconds, 6, "duration of each load, in s");

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::harness;

constexpr double percent = 100.0;

/// A running deployment with the first ticket in force.
struct running_deployment
{
    explicit running_deployment(deployment_plan plan)
        : local(std::move(plan), FLAGS_bin, FLAGS_folder)
    {
        std::filesystem::remove_all(FLAGS_folder);
        std::filesystem::create_directories(FLAGS_folder);
        local.start();
        if (local.publish(0, local.first_ticket(), 0).status != 200)
            throw std::runtime_error("the first ticket was not accepted");
        if (!deployment::wait_until([this] { return local.is_settled(0); }))
            throw std::runtime_error("the pools did not settle");
    }

    [[nodiscard]] load_plan plan(double rate) const
    {
        load_plan result;
        for (const auto& entry : local.entries)
            result.addresses.push_back(entry.http);
        result.rate = rate;
        result.length = std::chrono::seconds(FLAGS_seconds);
        return result;
    }

    deployment local;
};

std::uint64_t sum(const std::map<std::string, std::uint64_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0},
                           [](std::uint64_t n, const auto& entry) { return n + entry.second; });
}

/// Latency of the same requests sent directly to the workers and through the entries.
void measure_latency(figure_table& table)
{
    running_deployment ice(ice_plan());
    constexpr double rate = 300.0;
    load_plan direct;
    for (const auto& [id, address] : ice.local.worker_addresses)
        if (id.starts_with("windows"))
            direct.addresses.push_back(address);
    direct.rate = rate;
    direct.length = std::chrono::seconds(FLAGS_seconds);
    direct.mix = {{"windows", "GET", 1.0, millis(2000), "", ""}};
    const auto direct_calls = run_load(direct).latencies.at("windows");
    auto routed = ice.plan(rate);
    routed.mix = {{"windows", "GET", 1.0, millis(2000)}};
    const auto lookups = run_load(routed).latencies.at("windows");
    routed.mix = {{"contracts", "POST", 1.0, millis(2000)}};
    const auto filings = run_load(routed).latencies.at("contracts");
    constexpr double middle = 0.5;
    constexpr double tail = 0.99;
    table.without_target("direct call, p50", direct_calls.quantile_ms(middle), "ms");
    table.without_target("lookup through an entry, p50 against direct",
                         lookups.quantile_ms(middle) / direct_calls.quantile_ms(middle), "ratio");
    table.without_target("lookup through an entry, p99 against direct",
                         lookups.quantile_ms(tail) / direct_calls.quantile_ms(tail), "ratio");
    constexpr double max_p99_ms = 11.0;
    table.at_most("lookup through an entry, p99 at 300/s", max_p99_ms, lookups.quantile_ms(tail),
                  "ms");
    table.without_target("filing with its intent at two standbys, p50", filings.quantile_ms(middle),
                         "ms");
    table.without_target("filing with its intent at two standbys, p99", filings.quantile_ms(tail),
                         "ms");
}

/// Goodput and deadlines of one service with two classes on the same workers, at 1, 2 and 3 times
/// its capacity.
void measure_overload(figure_table& table)
{
    auto plan = ice_plan();
    plan.services.resize(1);
    auto& service = plan.services[0];
    service.workers = 6;
    service.run_ms = 20;
    service.spec.keyed = false;
    constexpr std::uint32_t limit = 100'000;
    service.spec.classes = {{"lookup", 3, true, 400, 300, limit},
                            {"rush", 9, false, 400, 300, limit}};
    // Slots over the duration of a run: 20 ms and 0.5 ms of timer rounding.
    const double capacity = 6 * 3 / 0.0205;
    constexpr double rush_share_of_capacity = 0.2;
    double goodput_at_1 = 0.0;
    for (const double factor : {1.0, 2.0, 3.0})
    {
        running_deployment ice(plan);
        auto load = ice.plan(capacity * factor);
        load.mix = {
            {"windows", "POST", rush_share_of_capacity, millis(1000), "/v1", "rush"},
            {"windows", "GET", factor - rush_share_of_capacity, millis(1000), "/v1", "lookup"}};
        const auto report = run_load(load);
        const auto goodput = static_cast<double>(sum(report.done)) / report.seconds;
        const auto name = "at " + std::to_string(static_cast<int>(factor)) + "x capacity: ";
        const auto rush = static_cast<double>(report.done.at("windows/rush")) /
                          static_cast<double>(report.sent_by_class.at("windows/rush"));
        constexpr double min_rush_percent = 99.0;
        table.at_least(name + "rush within the deadline", min_rush_percent, rush * percent, "%");
        table.without_target(name + "goodput", goodput, "requests/s");
        for (const auto& [outcome, n] : report.outcomes)
            std::cout << "  " << name << outcome << " " << n << std::endl;
        if (factor == 1.0)
            goodput_at_1 = goodput;
        constexpr double min_goodput_percent = 95.0;
        if (factor == 3.0)
            table.at_least("goodput at 3x against 1x", min_goodput_percent,
                           goodput / goodput_at_1 * percent, "%");
    }
}

double max_over_mean(const std::vector<double>& counts)
{
    const auto total = std::accumulate(counts.begin(), counts.end(), 0.0);
    return *std::ranges::max_element(counts) * static_cast<double>(counts.size()) / total;
}

/// Distribution of requests over the workers of a service, compared with random assignment.
void measure_spread(figure_table& table, const std::string& user, deployment_plan plan,
                    const std::string& service, const std::string& method, std::size_t workers)
{
    running_deployment deployed(std::move(plan));
    auto load = deployed.plan(600.0);
    load.mix = {{service, method, 1.0, millis(2000)}};
    const auto report = run_load(load);
    std::vector<double> counts(workers, 0.0);
    std::size_t index = 0;
    for (const auto& [owner, n] : report.owners)
        counts.at(index++ % workers) = static_cast<double>(n);
    std::mt19937_64 random(1);
    std::vector<double> baseline(workers, 0.0);
    for (std::uint64_t n = 0; n < sum(report.owners); ++n)
        baseline[random() % workers] += 1.0;
    const auto name = user + ", " + service + ": requests of the busiest worker over the mean";
    table.without_target(name, max_over_mean(counts), "max/mean");
    table.without_target(name + ", random assignment", max_over_mean(baseline), "max/mean");
}

/// Failed requests while all entries are restarted one after the other under load.
void measure_rolling(figure_table& table)
{
    running_deployment ice(ice_plan());
    auto plan = ice.plan(200.0);
    plan.length = std::chrono::seconds(40);
    plan.retry_refused = true;
    plan.mix = {{"windows", "GET", 1.0, millis(2000)}, {"rush", "POST", 1.0, millis(2000)}};
    background_load load(plan);
    for (std::size_t n = 0; n < ice.local.entries.size(); ++n)
    {
        auto& entry = ice.local.entries[n];
        load.exclude(entry.http);
        entry.process->stop();
        ice.local.start_entry(n);
        deployment::wait_until(
            [&]
            {
                const auto ready = ice.local.request(n, {"GET", "/readyz", {}, {}}, millis(500));
                return ready.result == exchange_result::complete && ready.reply.status == 200;
            });
        load.include(entry.http);
    }
    const auto report = load.finish();
    const auto failed = report.sent - report.outcomes.at("done");
    table.at_most("failed requests in a rolling replacement of 12 entries", 0.0,
                  static_cast<double>(failed), "requests");
    for (const auto& [outcome, n] : report.outcomes)
        std::cout << "  rolling replacement: " << outcome << " " << n << std::endl;
    table.without_target("requests in the rolling replacement", static_cast<double>(report.sent),
                         "requests");
    table.without_target("longest time without an answer in the rolling replacement",
                         static_cast<double>(report.max_time_between_done.count()), "ms");
}

/// Throughput and processor time of one entry, up to a rate that its processor limits.
void measure_entry_cost(figure_table& table)
{
    auto plan = ice_plan();
    plan.zones = {"zone-a"};
    plan.entries_per_zone = 1;
    plan.services.resize(1);
    plan.services[0].run_ms = 0;
    plan.services[0].spec.slots = 64;
    plan.services[0].workers = 12;
    running_deployment one(plan);
    for (const double rate : {1000.0, 4000.0, 8000.0})
    {
        auto load = one.plan(rate);
        load.length = std::chrono::seconds(3);
        load.mix = {{"windows", "GET", 1.0, millis(500)}};
        const auto before = usage_of(one.local, 0);
        const auto report = run_load(load);
        const auto after = usage_of(one.local, 0);
        const auto done = static_cast<double>(report.outcomes.at("done"));
        const auto name = "one entry that holds its pool, " +
                          std::to_string(static_cast<int>(rate)) + "/s offered: ";
        constexpr double tail = 0.99;
        constexpr double us = 1e6;
        table.without_target(name + "answers", done / report.seconds, "requests/s");
        table.without_target(name + "processor time",
                             (after.cpu_seconds - before.cpu_seconds) / done * us,
                             "us per request");
        table.without_target(name + "p99", report.all.quantile_ms(tail), "ms");
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run_measurement(
        "measure_requests",
        [](figure_table& table)
        {
            measure_latency(table);
            measure_overload(table);
            measure_spread(table, "Ice Authority", ice_plan(), "windows", "GET", 20);
            measure_spread(table, "Ice Authority", ice_plan(), "contracts", "POST", 12);
            measure_spread(table, "Records Division", ride_plan(), "certificates", "GET", 18);
            measure_spread(table, "Records Division", ride_plan(), "renewals", "POST", 9);
            measure_entry_cost(table);
            measure_rolling(table);
        });
}
