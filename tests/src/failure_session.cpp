/// Requests and checks of the fault injection tests.
#include "failure_session.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

using namespace eelgrassrail::harness;

namespace eelgrassrail::test
{
namespace
{

std::string empty_folder(const std::string& name)
{
    auto result = "build/sessions/" + name;
    std::filesystem::remove_all(result);
    return result;
}

std::string outcome_of(const http_exchange& exchange)
{
    if (exchange.result != exchange_result::complete)
        return "no answer";
    const auto field = [&](std::string_view name)
    { return std::string(find_field(exchange.reply.fields, name).value_or("")); };
    return field("Outcome") + (field("Error-Kind").empty() ? "" : " " + field("Error-Kind")) +
           (field("Replayed").empty() ? "" : " replayed");
}

} // namespace

deployment_plan small_plan()
{
    auto plan = ice_plan();
    plan.zones = {"zone-a", "zone-b"};
    plan.entries_per_zone = 3;
    plan.workers_per_process = 1;
    plan.services.resize(2);
    plan.services[0].workers = 4;
    plan.services[1].workers = 4;
    plan.services[0].spec.slices = 64;
    plan.services[1].spec.slices = 64;
    return plan;
}

failure_session::failure_session(const std::string& name)
    : local(small_plan(), "build", empty_folder(name))
{
    local.start();
    const auto reply = local.publish(0, local.first_ticket(), 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200U, reply.status);
    CPPUNIT_ASSERT(deployment::wait_until([this] { return local.is_settled(0); }));
    note("the first ticket is in force");
}

void failure_session::verdict(const std::string& expectation, bool passed)
{
    note((passed ? "yes: " : "NO: ") + expectation);
}

void failure_session::verdict_served_again(bool served, instant began)
{
    const auto elapsed = std::chrono::duration_cast<millis>(boot_clock::now() - began);
    std::cout << "  served again after " << elapsed.count() << " ms\n";
    verdict("served again within 2 s", served && elapsed < std::chrono::seconds(2));
}

std::string failure_session::lookup(std::size_t entry, const std::string& key, millis deadline)
{
    http_call call{"GET",
                   "/v1/windows/" + key,
                   {{"Tenant", "demo"}, {"Deadline-Ms", std::to_string(deadline.count())}},
                   {}};
    return outcome_of(local.request(entry, call));
}

std::string failure_session::file(std::size_t entry, const std::string& key, const std::string& id,
                                  unsigned attempt, const std::string& body, millis deadline)
{
    http_call call{"POST",
                   "/v1/contracts/" + key,
                   {{"Tenant", "demo"},
                    {"Idempotency-Key", id},
                    {"Request-Attempt", std::to_string(attempt)},
                    {"Deadline-Ms", std::to_string(deadline.count())}},
                   body};
    return outcome_of(local.request(entry, call));
}

void failure_session::check_journal(const std::map<std::string, std::string>& outcomes)
{
    std::map<std::string, int> runs;
    for (const auto& line : local.all_journals())
        ++runs[line.substr(line.find(' ') + 1)];
    const bool no_repeats = std::ranges::all_of(runs, [](const auto& run)
                                                { return run.first.empty() || run.second == 1; });
    bool outcomes_match = true;
    for (const auto& [id, outcome] : outcomes)
    {
        outcomes_match = outcomes_match && !(outcome.starts_with("not-run") && runs.contains(id));
        outcomes_match = outcomes_match && !(outcome.starts_with("done") && !runs.contains(id));
    }
    verdict("no filing ran twice", no_repeats);
    verdict("what was told as done ran, what was told as not run did not", outcomes_match);
}

std::size_t failure_session::holder_of(const std::string& service, const std::string& key,
                                       std::size_t via_entry) const
{
    std::string vm;
    deployment::wait_until(
        [&]
        {
            vm = local.holder(via_entry, service, key);
            return !vm.empty();
        });
    return local.entry_index(vm);
}

void failure_session::replace_entries(const std::string& zone)
{
    auto spare = free_addresses(3 * local.entries.size());
    const auto next_address = [&spare]
    {
        auto result = std::move(spare.back());
        spare.pop_back();
        return result;
    };
    for (auto& entry : local.entries)
        if (entry.zone == zone)
            entry.process->kill();
    for (auto& entry : local.entries)
        if (entry.zone == zone)
        {
            entry.vm += "-new";
            entry.http = next_address();
            entry.operators = next_address();
            entry.peer = next_address();
        }
    local.update_vm_list();
    for (std::size_t n = 0; n < local.entries.size(); ++n)
        if (local.entries[n].zone == zone)
            local.start_entry(n);
}

bool failure_session::wait_until_all_served()
{
    const auto is_served = [this]
    {
        for (int n = 0; n < 12; ++n)
            if (lookup(0, "bar-" + std::to_string(n), millis(300)) != "done" ||
                lookup(5, "bar-" + std::to_string(n), millis(300)) != "done")
                return false;
        return true;
    };
    return deployment::wait_until(is_served, millis(30'000));
}

std::string failure_session::key_of(const std::string& service, const std::string& zone) const
{
    const auto plain = service + "/" + zone;
    const auto escaped = service + "\\/" + zone;
    for (int n = 0;; ++n)
    {
        auto key = "bar-" + std::to_string(n);
        http_call call{"GET", "/admin/owner?key=" + key + "&service=", {}, {}};
        call.target += service;
        const auto body = local.call_operator_api(0, call).reply.body;
        if (body.find(plain) != std::string::npos || body.find(escaped) != std::string::npos)
            return key;
    }
}

} // namespace eelgrassrail::test
