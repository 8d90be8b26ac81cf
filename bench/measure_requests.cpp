/// Measures the path of requests. Prints one line a figure; exits 1 if one is short.
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
DEFINE_int32(seconds, 6, "length of each load, in s");

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::harness;

constexpr double percent = 100.0;

struct running
{
    explicit running(deployment_plan plan)
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

/// The same requests straight to the workers and through the entries.
void measure_latency(figure_table& table)
{
    running ice(ice_plan());
    constexpr double rate = 300.0;
    load_plan direct;
    for (const auto& [id, address] : ice.local.worker_addresses)
        if (id.starts_with("windows"))
            direct.addresses.push_back(address);
    direct.rate = rate;
    direct.length = std::chrono::seconds(FLAGS_seconds);
    direct.mix = {{"windows", "GET", 1.0, millis(2000), "", ""}};
    const auto straight = run_load(direct).latencies.at("windows");
    auto routed = ice.plan(rate);
    routed.mix = {{"windows", "GET", 1.0, millis(2000)}};
    const auto lookups = run_load(routed).latencies.at("windows");
    routed.mix = {{"contracts", "POST", 1.0, millis(2000)}};
    const auto filings = run_load(routed).latencies.at("contracts");
    constexpr double middle = 0.5;
    constexpr double tail = 0.99;
    table.plain("direct call, p50", straight.quantile_ms(middle), "ms");
    table.plain("lookup through an entry, p50 against direct",
                lookups.quantile_ms(middle) / straight.quantile_ms(middle), "ratio");
    table.plain("lookup through an entry, p99 against direct",
                lookups.quantile_ms(tail) / straight.quantile_ms(tail), "ratio");
    constexpr double most_p99_ms = 11.0;
    table.at_most("lookup through an entry, p99 at 300/s", most_p99_ms, lookups.quantile_ms(tail),
                  "ms");
    table.plain("filing with its intent at two standbys, p50", filings.quantile_ms(middle), "ms");
    table.plain("filing with its intent at two standbys, p99", filings.quantile_ms(tail), "ms");
}

/// One service with two classes on the same workers, offered 1, 2 and 3 times its capacity.
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
    const double capacity = 6 * 3 / 0.0205; // slots over the run time with its timer's rounding
    constexpr double rush_share_of_capacity = 0.2;
    double goodput_at_1 = 0.0;
    for (const double factor : {1.0, 2.0, 3.0})
    {
        running ice(plan);
        auto load = ice.plan(capacity * factor);
        load.mix = {
            {"windows", "POST", rush_share_of_capacity, millis(1000), "/v1", "rush"},
            {"windows", "GET", factor - rush_share_of_capacity, millis(1000), "/v1", "lookup"}};
        const auto report = run_load(load);
        const auto goodput = static_cast<double>(sum(report.done)) / report.seconds;
        const auto name = "at " + std::to_string(static_cast<int>(factor)) + "x capacity: ";
        const auto rush = static_cast<double>(report.done.at("windows/rush")) /
                          static_cast<double>(report.sent_to.at("windows/rush"));
        constexpr double least_rush = 99.0;
        table.at_least(name + "rush within the deadline", least_rush, rush * percent, "%");
        table.plain(name + "goodput", goodput, "requests/s");
        for (const auto& [outcome, n] : report.outcomes)
            std::cout << "  " << name << outcome << " " << n << std::endl;
        if (factor == 1.0)
            goodput_at_1 = goodput;
        constexpr double least_goodput = 95.0;
        if (factor == 3.0)
            table.at_least("goodput at 3x against 1x", least_goodput,
                           goodput / goodput_at_1 * percent, "%");
    }
}

double max_over_mean(const std::vector<double>& counts)
{
    const auto total = std::accumulate(counts.begin(), counts.end(), 0.0);
    return *std::ranges::max_element(counts) * static_cast<double>(counts.size()) / total;
}

/// Work across the workers of a service, against random choice of the same requests.
void measure_spread(figure_table& table, const std::string& who, deployment_plan plan,
                    const std::string& service, const std::string& method, std::size_t workers)
{
    running deployed(std::move(plan));
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
    const auto name = who + ", " + service + ": requests of the busiest worker over the mean";
    table.plain(name, max_over_mean(counts), "max/mean");
    table.plain(name + ", random choice", max_over_mean(baseline), "max/mean");
}

/// All entries are replaced one after the other while requests run.
void measure_rolling(figure_table& table)
{
    running ice(ice_plan());
    auto plan = ice.plan(200.0);
    plan.length = std::chrono::seconds(40);
    plan.skip_stopped = true;
    plan.mix = {{"windows", "GET", 1.0, millis(2000)}, {"rush", "POST", 1.0, millis(2000)}};
    background_load load(plan);
    for (std::size_t n = 0; n < ice.local.entries.size(); ++n)
    {
        auto& entry = ice.local.entries[n];
        load.leave_out(entry.http);
        entry.process->stop();
        ice.local.start_entry(n);
        deployment::wait_until(
            [&]
            {
                const auto ready = ice.local.request(n, {"GET", "/readyz", {}, {}}, millis(500));
                return ready.result == exchange_result::complete && ready.reply.status == 200;
            });
        load.take_in(entry.http);
    }
    const auto report = load.finish();
    const auto failed = report.sent - report.outcomes.at("done");
    table.at_most("failed requests in a rolling replacement of 12 entries", 0.0,
                  static_cast<double>(failed), "requests");
    for (const auto& [outcome, n] : report.outcomes)
        std::cout << "  rolling replacement: " << outcome << " " << n << std::endl;
    table.plain("requests in the rolling replacement", static_cast<double>(report.sent),
                "requests");
    table.plain("longest time without an answer in it",
                static_cast<double>(report.longest_gap.count()), "ms");
}

/// One entry at a rate that its own processor bounds.
void measure_entry_cost(figure_table& table)
{
    auto plan = ice_plan();
    plan.zones = {"zone-a"};
    plan.entries_per_zone = 1;
    plan.services.resize(1);
    plan.services[0].run_ms = 0;
    plan.services[0].spec.slots = 64;
    plan.services[0].workers = 12;
    running one(plan);
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
        table.plain(name + "answers", done / report.seconds, "requests/s");
        table.plain(name + "processor time", (after.cpu_seconds - before.cpu_seconds) / done * us,
                    "us a request");
        table.plain(name + "p99", report.all.quantile_ms(tail), "ms");
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
