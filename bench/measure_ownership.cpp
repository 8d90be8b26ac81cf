/// Measures unavailability and overhead of ownership changes. Prints one line per figure; exits 1
/// if a target is missed.
#include "deployment.hpp"
#include "figure_table.hpp"
#include "hot_set_model.hpp"
#include "node_usage.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>

DEFINE_string(bin, "build", "folder of the programs");
DEFINE_string(folder, "build/measure-ownership", "folder for logs");
DEFINE_int32(runs, 3, "runs of each loss; the median and the worst are printed");
DEFINE_bool(losses, true, "measure losses, churn, tickets and the hot-set model");
DEFINE_bool(scale, true,
            "measure processor time, memory and traffic at 3, 12, 48 and 201 entry processes");

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::harness;

constexpr double max_unserved_s = 2.0;
constexpr double max_in_force_s = 5.0;
constexpr double max_core_percent = 1.4;
constexpr double max_memory_mb = 64.0;
constexpr double max_traffic_kb = 22.0;

double seconds_since(instant began)
{
    return std::chrono::duration<double>(boot_clock::now() - began).count();
}

/// A running deployment of the Ice Authority with the first ticket in force.
struct ice_deployment
{
    explicit ice_deployment(deployment_plan plan = ice_plan())
        : local(std::move(plan), FLAGS_bin, FLAGS_folder)
    {
        std::filesystem::remove_all(FLAGS_folder);
        std::filesystem::create_directories(FLAGS_folder);
        local.start();
        if (local.publish(0, local.first_ticket(), 0).status != 200)
            throw std::runtime_error("the first ticket was not accepted");
        const millis limit{60'000};
        if (!deployment::wait_until([this] { return local.is_settled(0); }, limit))
            throw std::runtime_error("the pools did not settle");
    }

    bool lookup(std::size_t entry, const std::string& key) const
    {
        const http_call call{
            "GET", "/v1/windows/" + key, {{"Tenant", "measure"}, {"Deadline-Ms", "100"}}, {}};
        const auto result = local.request(entry, call, millis(300));
        return result.result == exchange_result::complete &&
               find_field(result.reply.fields, "Outcome") == "done";
    }

    deployment local;
};

/// Processes that are killed.
enum class loss
{
    server,
    holder,
    both
};

/// Time from the loss until a key is served again, in s.
double unserved_after(loss kind)
{
    ice_deployment ice;
    const std::string key = "bar-7";
    if (!deployment::wait_until([&] { return ice.lookup(0, key); }))
        throw std::runtime_error("the key is not served before the loss");
    const auto holder = ice.local.entry_index(ice.local.holder(0, "windows", key));
    const auto server = ice.local.owner(0, "windows", key);
    const auto front = (holder + 1) % ice.local.entries.size();
    if (kind != loss::holder)
        ice.local.host_of(server).process->kill();
    if (kind != loss::server)
        ice.local.entries[holder].process->kill();
    const auto began = boot_clock::now();
    deployment::wait_until([&] { return ice.lookup(front, key); });
    return seconds_since(began);
}

void measure_losses(figure_table& table)
{
    const std::vector<std::pair<loss, std::string>> losses{
        {loss::server, "a server"}, {loss::holder, "a holder"}, {loss::both, "both"}};
    for (const auto& [kind, name] : losses)
    {
        std::vector<double> runs;
        runs.reserve(static_cast<std::size_t>(FLAGS_runs));
        for (int n = 0; n < FLAGS_runs; ++n)
            runs.push_back(unserved_after(kind));
        table.at_most("unserved after the loss of " + name, max_unserved_s, median(runs), "s");
        table.at_most("unserved after the loss of " + name + ", worst run", max_unserved_s,
                      *std::ranges::max_element(runs), "s");
    }
}

double moved_slices(const deployment& local)
{
    double sum = 0.0;
    for (std::size_t n = 0; n < local.entries.size(); ++n)
        sum += metric_of(local.call_operator_api(n, {"GET", "/metrics", {}, {}}).reply.body,
                         "eelgrassrail_moved_slices");
    return sum;
}

/// Slices moved after the loss of one server process, compared with the slices it owned.
void measure_churn(figure_table& table)
{
    auto plan = ice_plan();
    plan.workers_per_process = 1;
    ice_deployment ice(plan);
    sleep_for(millis(500));
    const auto before = moved_slices(ice.local);
    const auto server = ice.local.owner(0, "windows", "bar-7");
    ice.local.host_of(server).process->kill();
    deployment::wait_until(
        [&] { return ice.lookup(0, "bar-7") && ice.local.owner(0, "windows", "bar-7") != server; });
    sleep_for(millis(1500));
    // Slices are divided evenly: a pool of 6 has 154 slices, one of 7 has 180.
    constexpr double largest_share = 26.0;
    table.at_most("slices moved by the loss of one of 20 servers", largest_share,
                  moved_slices(ice.local) - before, "slices");
}

bool is_in_force(const deployment& local, std::size_t entry, ticket_number number)
{
    const auto text = local.call_operator_api(entry, {"GET", "/admin/status", {}, {}}).reply.body;
    return text.find("\"in_force\":" + std::to_string(number) + ",") != std::string::npos;
}

void measure_tickets(figure_table& table)
{
    ice_deployment ice;
    ticket_number base = 1;
    const auto publish = [&](std::size_t through)
    {
        const auto began = boot_clock::now();
        ice.local.publish(through, ice.local.first_ticket(), base++);
        for (std::size_t n = 0; n < ice.local.entries.size(); ++n)
            deployment::wait_until([&] { return is_in_force(ice.local, n, base); });
        return seconds_since(began);
    };
    std::vector<double> connected;
    std::vector<double> isolated;
    connected.reserve(static_cast<std::size_t>(FLAGS_runs));
    isolated.reserve(static_cast<std::size_t>(FLAGS_runs));
    for (int n = 0; n < FLAGS_runs; ++n)
        connected.push_back(publish(0));
    const std::string faults = R"({"cut_zones":[],"cut_platform":true})";
    for (std::size_t n = 0; n < ice.local.entries.size(); ++n)
        if (ice.local.entries[n].zone == "zone-b")
            static_cast<void>(
                ice.local.call_operator_api(n, {"POST", "/admin/faults", {}, faults}));
    for (int n = 0; n < FLAGS_runs; ++n)
        isolated.push_back(publish(5));
    table.at_most("ticket in force at every entry", max_in_force_s, median(connected), "s");
    table.at_most("the same, one zone cut off from the platform and the ticket published there",
                  max_in_force_s, median(isolated), "s");
}

void measure_hot_set(figure_table& table)
{
    const auto report = run_hot_set_model({});
    table.without_target("imbalance with 33 moving hot keys, static hashing",
                         report.static_hashing.imbalance, "max/mean");
    table.without_target("imbalance, greedy without cost weights", report.greedy.imbalance,
                         "max/mean");
    table.without_target("imbalance, weights of the Ice Authority", report.ice.imbalance,
                         "max/mean");
    table.without_target("imbalance, weights of the Records Division", report.rides.imbalance,
                         "max/mean");
    table.without_target("imbalance, best with one owner per key", report.bound.imbalance,
                         "max/mean");
    table.without_target("moves per hour, greedy without cost weights",
                         report.greedy.moves_per_hour, "slices");
    table.without_target("moves per hour, weights of the Ice Authority", report.ice.moves_per_hour,
                         "slices");
    table.without_target("moves per hour, weights of the Records Division",
                         report.rides.moves_per_hour, "slices");
    table.at_most("imbalance with the Ice Authority's weights against static hashing", 1.0,
                  report.ice.imbalance / report.static_hashing.imbalance, "ratio");
}

void measure_scale(figure_table& table, std::size_t entries_per_zone)
{
    auto plan = ice_plan();
    plan.entries_per_zone = entries_per_zone;
    constexpr std::size_t large_zone = 12;
    if (entries_per_zone > large_zone)
    {
        // Settings for large zones, from docs/CAPACITY.md.
        plan.entry_flags = {"--poll_ms=200"};
        for (auto& service : plan.services)
            service.spec.lease_ms = 1000;
    }
    ice_deployment ice(plan);
    const auto count = ice.local.entries.size();
    sleep_for(millis(3000));
    std::vector<node_usage> before;
    for (std::size_t n = 0; n < count; ++n)
        before.push_back(usage_of(ice.local, n));
    const auto began = boot_clock::now();
    sleep_for(millis(6000));
    const auto length = seconds_since(began);
    double cpu = 0.0;
    double memory = 0.0;
    double traffic = 0.0;
    double max_traffic = 0.0;
    constexpr double percent = 100.0;
    constexpr double bytes_per_kb = 1024.0;
    for (std::size_t n = 0; n < count; ++n)
    {
        const auto after = usage_of(ice.local, n);
        const auto rate = (after.peer_bytes - before[n].peer_bytes) / length / bytes_per_kb;
        cpu += (after.cpu_seconds - before[n].cpu_seconds) / length * percent;
        memory = std::max(memory, after.resident_mb);
        traffic += rate;
        max_traffic = std::max(max_traffic, rate);
    }
    const auto nodes = static_cast<double>(count);
    const auto name = "at " + std::to_string(count) + " entries: ";
    table.at_most(name + "processor for control, mean node", max_core_percent, cpu / nodes,
                  "% of a core");
    table.at_most(name + "memory, largest node", max_memory_mb, memory, "MB");
    table.at_most(name + "control traffic, mean node", max_traffic_kb, traffic / nodes, "KB/s");
    table.at_most(name + "control traffic, busiest node", max_traffic_kb, max_traffic, "KB/s");
    const auto counts = ask(ice.local.platform_address, {"GET", "/counts", {}, {}}, millis(2000));
    std::cout << name << "platform calls since the start: " << counts.reply.body << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run_measurement("measure_ownership",
                           [](figure_table& table)
                           {
                               if (FLAGS_losses)
                               {
                                   measure_hot_set(table);
                                   measure_losses(table);
                                   measure_churn(table);
                                   measure_tickets(table);
                               }
                               if (FLAGS_scale)
                                   for (const std::size_t entries : {1UL, 4UL, 16UL, 67UL})
                                       measure_scale(table, entries);
                           });
}
