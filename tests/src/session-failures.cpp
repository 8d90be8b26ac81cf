/// Whole sessions with separate processes under failure: kill, pause, platform outages, cuts.
///
/// What callers were told is compared with the workers' own journals. A golden file holds the
/// steps and verdicts; times and addresses are left out, so that every run writes the same.
#include "deployment.hpp"
#include "load.hpp"
#include "support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <map>

using namespace eelgrassrail;
using namespace eelgrassrail::harness;
using namespace eelgrassrail::test;

namespace
{

/// Two zones, three entries each; a keyed service of four workers and an unkeyed one.
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

/// A running deployment with the first ticket in force and all standbys appointed.
class session
{
  public:
    explicit session(const std::string& name, deployment_plan plan = small_plan())
        : local(std::move(plan), "build", folder(name))
    {
        local.start();
        const auto reply = local.publish(0, local.first_ticket(), 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200U, reply.status);
        CPPUNIT_ASSERT(deployment::wait_until([this] { return local.is_settled(0); }));
        note("the first ticket is in force");
    }

    void note(const std::string& text) { lines += text + "\n"; }

    /// Whether the time since `began` is within the users' bound for a loss.
    void verdict_served_again(bool served, instant began)
    {
        const auto took = std::chrono::duration_cast<millis>(boot_clock::now() - began);
        std::cout << "  served again after " << took.count() << " ms\n";
        verdict("served again within 2 s", served && took < std::chrono::seconds(2));
    }

    void verdict(const std::string& question, bool holds)
    {
        note((holds ? "yes: " : "NO: ") + question);
    }

    std::string lookup(std::size_t entry, const std::string& key, millis deadline = millis(3000))
    {
        http_call call{"GET",
                       "/v1/windows/" + key,
                       {{"Tenant", "demo"}, {"Deadline-Ms", std::to_string(deadline.count())}},
                       {}};
        return outcome_of(local.request(entry, call));
    }

    std::string file(std::size_t entry, const std::string& key, const std::string& id,
                     unsigned attempt = 1, const std::string& body = "order",
                     millis deadline = millis(3000))
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

    static std::string outcome_of(const http_exchange& exchange)
    {
        if (exchange.result != exchange_result::complete)
            return "no answer";
        const auto field = [&](std::string_view name)
        { return std::string(find_field(exchange.reply.fields, name).value_or("")); };
        return field("Outcome") + (field("Error-Kind").empty() ? "" : " " + field("Error-Kind")) +
               (field("Replayed").empty() ? "" : " replayed");
    }

    /// No filing ran twice, none that was refused ran, each that was done ran.
    void check_journal(const std::map<std::string, std::string>& told)
    {
        std::map<std::string, int> runs;
        for (const auto& line : local.all_journals())
            ++runs[line.substr(line.find(' ') + 1)];
        const bool none_twice = std::ranges::all_of(
            runs, [](const auto& run) { return run.first.empty() || run.second == 1; });
        bool told_right = true;
        for (const auto& [id, outcome] : told)
        {
            told_right = told_right && !(outcome.starts_with("not-run") && runs.contains(id));
            told_right = told_right && !(outcome.starts_with("done") && !runs.contains(id));
        }
        verdict("no filing ran twice", none_twice);
        verdict("what was told as done ran, what was told as not run did not", told_right);
    }

    [[nodiscard]] std::size_t holder_of(const std::string& service, const std::string& key,
                                        std::size_t asked = 0) const
    {
        std::string vm;
        deployment::wait_until(
            [&]
            {
                vm = local.holder(asked, service, key);
                return !vm.empty();
            });
        return local.entry_of(vm);
    }

    /// An entry that is not `n`.
    [[nodiscard]] std::size_t other_than(std::size_t n) const
    {
        return (n + 1) % local.entries.size();
    }

    deployment local;
    std::string lines;

  private:
    static std::string folder(const std::string& name)
    {
        const auto result = "build/sessions/" + name;
        std::filesystem::remove_all(result);
        return result;
    }
};

} // namespace

class session_failures : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_failures);
    CPPUNIT_TEST(a_killed_server);
    CPPUNIT_TEST(a_killed_holder_with_requests_in_flight);
    CPPUNIT_TEST(holder_and_server_killed_at_once);
    CPPUNIT_TEST(a_paused_holder_comes_back);
    CPPUNIT_TEST(a_frozen_server_comes_back);
    CPPUNIT_TEST(the_platform_is_down);
    CPPUNIT_TEST(lost_replies_and_racing_operators);
    CPPUNIT_TEST(a_zone_is_cut_off_from_the_platform);
    CPPUNIT_TEST(a_request_that_crashes_servers);
    CPPUNIT_TEST(a_planned_stop_cuts_nothing_off);
    CPPUNIT_TEST(a_draining_server);
    CPPUNIT_TEST(an_answer_to_another_request);
    CPPUNIT_TEST(a_zone_is_replaced_at_once);
    CPPUNIT_TEST(a_fresh_vm_while_the_platform_is_down);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_killed_server()
    {
        session s("killed-server");
        const std::string key = "bar-1";
        s.note("lookup: " + s.lookup(0, key));
        const auto server = s.local.owner(0, "windows", key);
        s.local.host_of(server).process->kill();
        s.note("kill -9 of the key's server");
        const auto began = boot_clock::now();
        std::string result;
        const bool served = deployment::wait_until(
            [&]
            {
                result = s.lookup(1, key, millis(500));
                return result == "done";
            });
        s.verdict_served_again(served, began);
        s.verdict("another server owns it", s.local.owner(0, "windows", key) != server);
        check_golden("session-killed-server", s.lines);
    }

    void a_killed_holder_with_requests_in_flight()
    {
        session s("killed-holder");
        const std::string key = "bar-1";
        std::map<std::string, std::string> told;
        told["f-1"] = s.file(0, key, "f-1");
        s.note("filing: " + told["f-1"]);
        const auto holder = s.holder_of("contracts", key);
        const auto server = s.local.owner(holder, "contracts", key);
        s.local.switch_worker(server, R"({"draining":false,"shedding":false,
            "wrong_answers":false,"extra_ms":400})");
        const auto front = s.other_than(holder);
        background_call running([&] { return s.file(front, key, "f-2"); });
        CPPUNIT_ASSERT(deployment::wait_until(
            [&]
            {
                const auto lines = s.local.journal(server);
                return std::ranges::find(lines, key + " f-2") != lines.end();
            }));
        s.local.entries[holder].process->kill();
        s.note("kill -9 of the holder while a filing runs");
        const auto began = boot_clock::now();
        told["f-2"] = running.result();
        s.note("its caller is told: " + told["f-2"]);
        told["f-3"] = s.file(front, key, "f-3");
        s.note("the next filing: " + told["f-3"]);
        s.verdict_served_again(told["f-3"] == "done", began);
        s.note("the first filing again: " + s.file(front, key, "f-1", 2));
        s.note("the lost filing again: " + s.file(front, key, "f-2", 2));
        s.check_journal(told);
        check_golden("session-killed-holder", s.lines);
    }

    void holder_and_server_killed_at_once()
    {
        session s("killed-both");
        const std::string key = "bar-1";
        const auto holder = s.holder_of("windows", key);
        const auto server = s.local.owner(holder, "windows", key);
        s.local.host_of(server).process->kill();
        s.local.entries[holder].process->kill();
        s.note("kill -9 of the key's server and of its holder");
        const auto front = s.other_than(holder);
        const auto began = boot_clock::now();
        const bool served =
            deployment::wait_until([&] { return s.lookup(front, key, millis(500)) == "done"; });
        s.verdict_served_again(served, began);
        check_golden("session-killed-both", s.lines);
    }

    void a_paused_holder_comes_back()
    {
        session s("paused-holder");
        const std::string key = "bar-1";
        std::map<std::string, std::string> told;
        const auto holder = s.holder_of("contracts", key);
        const auto front = s.other_than(holder);
        const auto before = s.local.holder(front, "contracts", key);
        s.local.entries[holder].process->send(SIGSTOP);
        s.note("SIGSTOP of the holder");
        background_call buffered([&] { return s.file(holder, key, "f-buffered"); });
        CPPUNIT_ASSERT(deployment::wait_until(
            [&] { return s.local.holder(front, "contracts", key) != before; }));
        told["f-1"] = s.file(front, key, "f-1");
        s.note("a filing through another entry: " + told["f-1"]);
        s.local.entries[holder].process->send(SIGCONT);
        s.note("SIGCONT past the lease, with a filing buffered at the paused holder");
        told["f-buffered"] = buffered.result();
        told["f-2"] = s.file(holder, key, "f-2");
        s.note("a filing through the former holder: " + told["f-2"]);
        s.check_journal(told);
        check_golden("session-paused-holder", s.lines);
    }

    void a_frozen_server_comes_back()
    {
        session s("frozen-server");
        const std::string key = "bar-1";
        std::map<std::string, std::string> told;
        told["f-0"] = s.file(0, key, "f-0");
        const auto server = s.local.owner(s.holder_of("contracts", key), "contracts", key);
        s.local.host_of(server).process->send(SIGSTOP);
        s.note("SIGSTOP of the server that ran the key last");
        for (int n = 1; n <= 4; ++n)
        {
            const auto id = "f-" + std::to_string(n);
            told[id] = s.file(1, key, id, 1, "order", millis(2500));
        }
        s.verdict("the key is served by another server", told["f-4"] == "done");
        s.local.host_of(server).process->send(SIGCONT);
        s.note("SIGCONT");
        told["f-5"] = s.file(1, key, "f-5");
        s.note("a filing: " + told["f-5"]);
        s.check_journal(told);
        check_golden("session-frozen-server", s.lines);
    }

    void the_platform_is_down()
    {
        session s("platform-down");
        const std::string down = R"({"down":true,"slow_ms":0,"lose_replies":0,"retain":100000})";
        s.local.switch_platform(down);
        s.note("the platform is down");
        bool all_done = true;
        const auto until = boot_clock::now() + std::chrono::seconds(3);
        std::map<std::string, std::string> told;
        for (int n = 0; boot_clock::now() < until; ++n)
        {
            const auto id = "f-" + std::to_string(n);
            told[id] = s.file(static_cast<std::size_t>(n % 6), "bar-" + std::to_string(n % 7), id);
            all_done = all_done && told[id] == "done";
        }
        s.verdict("filings were done for 3 s without the log", all_done);
        const auto holder = s.holder_of("windows", "bar-1");
        const auto server = s.local.owner(holder, "windows", "bar-1");
        s.local.host_of(server).process->kill();
        s.note("kill -9 of a server meanwhile");
        const auto began = boot_clock::now();
        const bool served =
            deployment::wait_until([&] { return s.lookup(0, "bar-1", millis(500)) == "done"; });
        if (!served)
            s.note("the last answer: " + s.lookup(0, "bar-1", millis(500)));
        s.verdict_served_again(served, began);
        s.note("a ticket is published: " +
               std::to_string(s.local.publish(0, s.local.first_ticket(), 1).status));
        s.local.switch_platform(R"({"down":false,"slow_ms":0,"lose_replies":0,"retain":100000})");
        s.note("the platform is back");
        CPPUNIT_ASSERT(deployment::wait_until(
            [&] { return s.local.publish(0, s.local.first_ticket(), 1).status == 200; }));
        s.check_journal(told);
        check_golden("session-platform-down", s.lines);
    }

    void lost_replies_and_racing_operators()
    {
        session s("racing-operators");
        s.local.switch_platform(R"({"down":false,"slow_ms":0,"lose_replies":1,"retain":100000})");
        auto first = s.local.first_ticket();
        first.reason = "from the first operator";
        auto second = s.local.first_ticket();
        second.reason = "from the second operator";
        background_call racing([&]
                               { return std::to_string(s.local.publish(3, second, 1).status); });
        const auto own = std::to_string(s.local.publish(0, first, 1).status);
        const auto other = racing.result();
        s.note("two operators publish tickets based on 1; a reply of the platform is lost");
        s.verdict("one is accepted and one rejected",
                  (own == "200" && other == "409") || (own == "409" && other == "200"));
        const bool everywhere = deployment::wait_until(
            [&]
            {
                const auto reply = s.local.operate(0, {"GET", "/admin/in-force", {}, {}}).reply;
                std::size_t n = 0;
                for (std::size_t at = 0;
                     (at = reply.body.find("\"in_force\":2", at)) != std::string::npos; ++at)
                    ++n;
                return n == s.local.entries.size();
            },
            millis(5000));
        s.verdict("ticket 2 is in force at every entry within 5 s", everywhere);
        check_golden("session-racing-operators", s.lines);
    }

    void a_zone_is_cut_off_from_the_platform()
    {
        session s("zone-without-platform");
        for (std::size_t n = 0; n < s.local.entries.size(); ++n)
            if (s.local.entries[n].zone == "zone-b")
                CPPUNIT_ASSERT_EQUAL(200U,
                                     s.local
                                         .operate(n, {"POST",
                                                      "/admin/faults",
                                                      {},
                                                      R"({"cut_zones":[],"cut_platform":true})"})
                                         .reply.status);
        s.note("zone-b is cut off from the platform, not from zone-a");
        const auto began = boot_clock::now();
        const auto status = s.local.publish(3, s.local.first_ticket(), 1).status;
        s.note("a ticket through zone-b: " + std::to_string(status));
        const bool there = deployment::wait_until(
            [&]
            {
                return s.local.operate(4, {"GET", "/admin/tickets/2", {}, {}}).reply.status ==
                           200 &&
                       s.local.operate(1, {"GET", "/admin/tickets/2", {}, {}}).reply.status == 200;
            });
        s.verdict("it is in force in both zones within 5 s",
                  there && boot_clock::now() - began < std::chrono::seconds(5));
        s.note("a lookup through zone-b: " + s.lookup(4, "bar-1"));
        check_golden("session-zone-without-platform", s.lines);
    }

    void a_request_that_crashes_servers()
    {
        session s("crashing-request");
        std::size_t crashed = 0;
        std::map<std::string, std::string> told;
        for (int n = 0; n < 6; ++n)
        {
            const auto id = "crash-" + std::to_string(n);
            told[id] = s.file(static_cast<std::size_t>(n), "bar-1", id, 1, "crash", millis(2500));
        }
        for (const auto& host : s.local.hosts)
            if (host.service == "contracts" && ask(s.local.worker_addresses.at(host.workers[0]),
                                                   {"GET", "/healthz", {}, {}}, millis(500))
                                                       .result != exchange_result::complete)
                ++crashed;
        s.note("a caller sends a request that crashes servers six times");
        s.verdict("at most two servers were lost", crashed <= 2);
        s.note("the last answer: " + told["crash-5"]);
        check_golden("session-crashing-request", s.lines);
    }

    void a_planned_stop_cuts_nothing_off()
    {
        session s("planned-stop");
        load_plan plan;
        for (std::size_t n = 0; n < s.local.entries.size(); ++n)
            plan.addresses.push_back(s.local.entries[n].http);
        plan.rate = 200;
        plan.length = millis(4000);
        plan.seed = 7;
        plan.mix = {{"windows", "GET", 1.0, millis(2000)},
                    {"contracts", "POST", 1.0, millis(2000)}};
        plan.skip_stopped = true;
        background_load load(plan);
        for (const std::size_t n : {std::size_t{0}, std::size_t{4}})
        {
            load.leave_out(s.local.entries[n].http);
            s.verdict("entry " + s.local.entries[n].vm + " stopped by itself",
                      s.local.entries[n].process->stop() == 0);
            s.local.start_entry(n);
            CPPUNIT_ASSERT(deployment::wait_until(
                [&]
                {
                    const auto ready = s.local.request(n, {"GET", "/readyz", {}, {}}, millis(500));
                    return ready.reply.status == 200 && ready.result == exchange_result::complete;
                }));
            load.take_in(s.local.entries[n].http);
        }
        const auto report = load.finish();
        s.verdict("every request was done",
                  report.answered > 0 && report.answered == report.outcomes.at("done"));
        check_golden("session-planned-stop", s.lines);
    }

    void a_draining_server()
    {
        session s("draining-server");
        const std::string key = "bar-1";
        s.note("lookup: " + s.lookup(0, key));
        const auto server = s.local.owner(0, "windows", key);
        s.local.switch_worker(server, R"({"draining":true,"shedding":false,
            "wrong_answers":false,"extra_ms":0})");
        s.note("the server drains");
        s.note("lookup: " + s.lookup(1, key));
        const auto runs = s.local.journal(server).size();
        for (int n = 0; n < 20; ++n)
            s.lookup(static_cast<std::size_t>(n % 6), "bar-" + std::to_string(n));
        s.verdict("it gets no new work", s.local.journal(server).size() == runs);
        check_golden("session-draining-server", s.lines);
    }

    void an_answer_to_another_request()
    {
        session s("wrong-answer");
        const std::string key = "bar-1";
        s.file(0, key, "f-1");
        const auto server = s.local.owner(s.holder_of("contracts", key), "contracts", key);
        s.local.switch_worker(server, R"({"draining":false,"shedding":false,
            "wrong_answers":true,"extra_ms":0})");
        s.note("the server answers with the id of another request");
        std::string told;
        for (int n = 2; n < 12 && told != "unknown invalid-server-answer"; ++n)
            told = s.file(0, key, "f-" + std::to_string(n));
        s.note("a filing: " + told);
        check_golden("session-wrong-answer", s.lines);
    }

    void a_zone_is_replaced_at_once()
    {
        session s("replaced-zone");
        const auto count = s.local.entries.size();
        for (std::size_t n = 0; n < count; ++n)
            if (s.local.entries[n].zone == "zone-b")
                s.local.entries[n].process->kill();
        const auto spare = free_addresses(9);
        std::size_t used = 0;
        for (std::size_t n = 0; n < count; ++n)
            if (auto& entry = s.local.entries[n]; entry.zone == "zone-b")
            {
                entry.vm += "-new";
                entry.http = spare[used++];
                entry.operators = spare[used++];
                entry.peer = spare[used++];
            }
        s.local.update_vm_list();
        for (std::size_t n = 0; n < count; ++n)
            if (s.local.entries[n].zone == "zone-b")
                s.local.start_entry(n);
        s.note("all entry VMs of zone-b are replaced at once");
        const bool served = deployment::wait_until(
            [&]
            {
                for (int n = 0; n < 12; ++n)
                    if (s.lookup(0, "bar-" + std::to_string(n), millis(300)) != "done")
                        return false;
                return true;
            },
            millis(30'000));
        s.verdict("all keys are served again", served);
        s.note("a filing that is not declared as a first attempt, key of zone-b: " +
               s.file(0, key_of(s, "contracts", "zone-b"), "f-1", 2));
        check_golden("session-replaced-zone", s.lines);
    }

    void a_fresh_vm_while_the_platform_is_down()
    {
        session s("fresh-vm");
        s.local.entries[2].process->kill();
        s.local.switch_platform(R"({"down":true,"slow_ms":0,"lose_replies":0,"retain":100000})");
        s.note("the platform is down and a new process starts");
        s.local.start_entry(2);
        const bool ready = deployment::wait_until(
            [&]
            {
                const auto reply = s.local.request(2, {"GET", "/readyz", {}, {}}, millis(500));
                return reply.result == exchange_result::complete && reply.reply.status == 200;
            });
        s.verdict("it gets the state from a peer and is ready", ready);
        s.verdict("it serves callers through the holders of zone-b",
                  s.lookup(2, key_of(s, "windows", "zone-b")) == "done");
        check_golden("session-fresh-vm", s.lines);
    }

  private:
    /// A key whose pool is in a zone.
    static std::string key_of(const session& s, const std::string& service, const std::string& zone)
    {
        for (int n = 0;; ++n)
        {
            const auto key = "bar-" + std::to_string(n);
            const auto reply = s.local.operate(
                0, {"GET", "/admin/owner?service=" + service + "&key=" + key, {}, {}});
            if (reply.reply.body.find(service + "/" + zone) != std::string::npos ||
                reply.reply.body.find(service + "\\/" + zone) != std::string::npos)
                return key;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_failures);
