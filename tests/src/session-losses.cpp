/// Fault injection: backend servers and entry processes are killed, paused and replaced.
#include "failure_session.hpp"
#include "load.hpp"
#include "support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace eelgrassrail;
using namespace eelgrassrail::harness;
using namespace eelgrassrail::test;

class session_losses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_losses);
    CPPUNIT_TEST(a_killed_server);
    CPPUNIT_TEST(a_killed_holder_with_requests_in_flight);
    CPPUNIT_TEST(holder_and_server_killed_at_once);
    CPPUNIT_TEST(a_paused_holder_comes_back);
    CPPUNIT_TEST(a_frozen_server_comes_back);
    CPPUNIT_TEST(a_zone_is_replaced_at_once);
    CPPUNIT_TEST(all_entries_are_replaced_at_once);
    CPPUNIT_TEST(a_planned_stop_cuts_nothing_off);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_killed_server()
    {
        failure_session s("killed-server");
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
        failure_session s("killed-holder");
        const std::string key = "bar-1";
        std::map<std::string, std::string> outcomes;
        outcomes["f-1"] = s.file(0, key, "f-1");
        s.note("filing: " + outcomes["f-1"]);
        const auto holder = s.holder_of("contracts", key);
        for (const auto& [id, address] : s.local.worker_addresses)
            if (id.starts_with("contracts"))
                s.local.set_worker_faults(id, R"({"draining":false,"shedding":false,
                    "wrong_answers":false,"extra_ms":400})");
        const auto other_entry = s.another_entry(holder);
        background_call running([&] { return s.file(other_entry, key, "f-2"); });
        CPPUNIT_ASSERT(deployment::wait_until(
            [&]
            {
                const auto lines = s.local.all_journals();
                return std::ranges::find(lines, key + " f-2") != lines.end();
            }));
        s.local.entries[holder].process->kill();
        s.note("kill -9 of the holder while a filing runs");
        const auto began = boot_clock::now();
        outcomes["f-2"] = running.result();
        s.note("its caller is told: " + outcomes["f-2"]);
        outcomes["f-3"] = s.file(other_entry, key, "f-3");
        s.note("the next filing: " + outcomes["f-3"]);
        s.verdict_served_again(outcomes["f-3"] == "done", began);
        s.note("the first filing again: " + s.file(other_entry, key, "f-1", 2));
        s.note("the lost filing again: " + s.file(other_entry, key, "f-2", 2));
        s.check_journal(outcomes);
        check_golden("session-killed-holder", s.lines);
    }

    void holder_and_server_killed_at_once()
    {
        failure_session s("killed-both");
        const std::string key = "bar-1";
        const auto holder = s.holder_of("windows", key);
        const auto server = s.local.owner(holder, "windows", key);
        s.local.host_of(server).process->kill();
        s.local.entries[holder].process->kill();
        s.note("kill -9 of the key's server and of its holder");
        const auto other_entry = s.another_entry(holder);
        const auto began = boot_clock::now();
        const bool served = deployment::wait_until(
            [&] { return s.lookup(other_entry, key, millis(500)) == "done"; });
        s.verdict_served_again(served, began);
        check_golden("session-killed-both", s.lines);
    }

    void a_paused_holder_comes_back()
    {
        failure_session s("paused-holder");
        const std::string key = "bar-1";
        std::map<std::string, std::string> outcomes;
        const auto holder = s.holder_of("contracts", key);
        const auto other_entry = s.another_entry(holder);
        const auto before = s.local.holder(other_entry, "contracts", key);
        s.local.entries[holder].process->send(SIGSTOP);
        s.note("SIGSTOP of the holder");
        background_call buffered([&] { return s.file(holder, key, "f-buffered"); });
        CPPUNIT_ASSERT(deployment::wait_until(
            [&] { return s.local.holder(other_entry, "contracts", key) != before; }));
        outcomes["f-1"] = s.file(other_entry, key, "f-1");
        s.note("a filing through another entry: " + outcomes["f-1"]);
        s.local.entries[holder].process->send(SIGCONT);
        s.note("SIGCONT past the lease, with a filing buffered at the paused holder");
        outcomes["f-buffered"] = buffered.result();
        outcomes["f-2"] = s.file(holder, key, "f-2");
        s.note("a filing through the former holder: " + outcomes["f-2"]);
        s.check_journal(outcomes);
        check_golden("session-paused-holder", s.lines);
    }

    void a_frozen_server_comes_back()
    {
        failure_session s("frozen-server");
        const std::string key = "bar-1";
        std::map<std::string, std::string> outcomes;
        outcomes["f-0"] = s.file(0, key, "f-0");
        const auto server = s.local.owner(s.holder_of("contracts", key), "contracts", key);
        s.local.host_of(server).process->send(SIGSTOP);
        s.note("SIGSTOP of the server that ran the key last");
        for (int n = 1; n <= 4; ++n)
        {
            const auto id = "f-" + std::to_string(n);
            outcomes[id] = s.file(1, key, id, 1, "order", millis(2500));
        }
        s.verdict("the key is served by another server", outcomes["f-4"] == "done");
        s.local.host_of(server).process->send(SIGCONT);
        s.note("SIGCONT");
        outcomes["f-5"] = s.file(1, key, "f-5");
        s.note("a filing: " + outcomes["f-5"]);
        s.check_journal(outcomes);
        check_golden("session-frozen-server", s.lines);
    }

    void a_zone_is_replaced_at_once()
    {
        failure_session s("replaced-zone");
        s.replace_entries("zone-b");
        s.note("all entry VMs of zone-b are replaced at once");
        s.verdict("all keys are served again", s.wait_until_all_served());
        s.note("a filing that is not declared as a first attempt, key of zone-b: " +
               s.file(0, s.key_of("contracts", "zone-b"), "f-1", 2));
        check_golden("session-replaced-zone", s.lines);
    }

    void all_entries_are_replaced_at_once()
    {
        failure_session s("replaced-all");
        auto second = s.local.first_ticket();
        second.reason = "before the loss";
        s.note("a second ticket: " + std::to_string(s.local.publish(0, second, 1).status));
        s.replace_entries("zone-a");
        s.replace_entries("zone-b");
        s.note("all entry VMs of all zones are replaced at once");
        s.verdict("all keys are served again", s.wait_until_all_served());
        const auto reply = s.local.call_operator_api(0, {"GET", "/admin/tickets/2", {}, {}}).reply;
        s.verdict("the second ticket is in force", reply.status == 200);
        check_golden("session-replaced-all", s.lines);
    }

    void a_planned_stop_cuts_nothing_off()
    {
        failure_session s("planned-stop");
        load_plan plan;
        for (std::size_t n = 0; n < s.local.entries.size(); ++n)
            plan.addresses.push_back(s.local.entries[n].http);
        plan.rate = 200;
        plan.length = millis(4000);
        plan.seed = 7;
        plan.mix = {{"windows", "GET", 1.0, millis(2000)},
                    {"contracts", "POST", 1.0, millis(2000)}};
        plan.retry_refused = true;
        background_load load(plan);
        for (const std::size_t n : {std::size_t{0}, std::size_t{4}})
        {
            load.exclude(s.local.entries[n].http);
            s.verdict("entry " + s.local.entries[n].vm + " stopped by itself",
                      s.local.entries[n].process->stop() == 0);
            s.local.start_entry(n);
            CPPUNIT_ASSERT(deployment::wait_until(
                [&]
                {
                    const auto ready = s.local.request(n, {"GET", "/readyz", {}, {}}, millis(500));
                    return ready.reply.status == 200 && ready.result == exchange_result::complete;
                }));
            load.include(s.local.entries[n].http);
        }
        const auto report = load.finish();
        s.verdict("every request was done",
                  report.answered > 0 && report.answered == report.outcomes.at("done"));
        check_golden("session-planned-stop", s.lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_losses);
