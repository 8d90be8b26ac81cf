/// Fault injection: the platform or the network path to it fails; concurrent operators.
#include "failure_session.hpp"
#include "load.hpp"
#include "support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace eelgrassrail;
using namespace eelgrassrail::harness;
using namespace eelgrassrail::test;

class session_platform : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_platform);
    CPPUNIT_TEST(the_platform_is_down);
    CPPUNIT_TEST(lost_replies_and_racing_operators);
    CPPUNIT_TEST(a_zone_is_cut_off_from_the_platform);
    CPPUNIT_TEST(a_zone_is_alone);
    CPPUNIT_TEST(a_fresh_vm_while_the_platform_is_down);
    CPPUNIT_TEST_SUITE_END();

  public:
    void the_platform_is_down()
    {
        failure_session s("platform-down");
        const std::string down = R"({"down":true,"slow_ms":0,"lose_replies":0,"retain":100000})";
        s.local.set_platform_faults(down);
        s.note("the platform is down");
        bool all_done = true;
        const auto until = boot_clock::now() + std::chrono::seconds(3);
        std::map<std::string, std::string> outcomes;
        for (int n = 0; boot_clock::now() < until; ++n)
        {
            const auto id = "f-" + std::to_string(n);
            outcomes[id] =
                s.file(static_cast<std::size_t>(n % 6), "bar-" + std::to_string(n % 7), id);
            all_done = all_done && outcomes[id] == "done";
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
        s.local.set_platform_faults(
            R"({"down":false,"slow_ms":0,"lose_replies":0,"retain":100000})");
        s.note("the platform is back");
        CPPUNIT_ASSERT(deployment::wait_until(
            [&] { return s.local.publish(0, s.local.first_ticket(), 1).status == 200; }));
        s.check_journal(outcomes);
        check_golden("session-platform-down", s.lines);
    }

    void lost_replies_and_racing_operators()
    {
        failure_session s("racing-operators");
        s.local.set_platform_faults(
            R"({"down":false,"slow_ms":0,"lose_replies":1,"retain":100000})");
        auto first = s.local.first_ticket();
        first.reason = "from the first operator";
        auto second = s.local.first_ticket();
        second.reason = "from the second operator";
        background_call racing([&]
                               { return std::to_string(s.local.publish(3, second, 1).status); });
        const auto first_status = std::to_string(s.local.publish(0, first, 1).status);
        const auto second_status = racing.result();
        s.note("two operators publish tickets based on 1; a reply of the platform is lost");
        s.verdict("one is accepted and one rejected",
                  (first_status == "200" && second_status == "409") ||
                      (first_status == "409" && second_status == "200"));
        const bool in_force_everywhere = deployment::wait_until(
            [&]
            {
                const auto reply =
                    s.local.call_operator_api(0, {"GET", "/admin/in-force", {}, {}}).reply;
                std::size_t n = 0;
                for (std::size_t at = 0;
                     (at = reply.body.find("\"in_force\":2", at)) != std::string::npos; ++at)
                    ++n;
                return n == s.local.entries.size();
            },
            millis(5000));
        s.verdict("ticket 2 is in force at every entry within 5 s", in_force_everywhere);
        check_golden("session-racing-operators", s.lines);
    }

    void a_zone_is_cut_off_from_the_platform()
    {
        failure_session s("zone-without-platform");
        for (std::size_t n = 0; n < s.local.entries.size(); ++n)
            if (s.local.entries[n].zone == "zone-b")
                CPPUNIT_ASSERT_EQUAL(
                    200U, s.local
                              .call_operator_api(n, {"POST",
                                                     "/admin/faults",
                                                     {},
                                                     R"({"cut_zones":[],"cut_platform":true})"})
                              .reply.status);
        s.note("zone-b is cut off from the platform, not from zone-a");
        const auto began = boot_clock::now();
        const auto status = s.local.publish(3, s.local.first_ticket(), 1).status;
        s.note("a ticket through zone-b: " + std::to_string(status));
        const bool in_force_in_both = deployment::wait_until(
            [&]
            {
                return s.local.call_operator_api(4, {"GET", "/admin/tickets/2", {}, {}})
                               .reply.status == 200 &&
                       s.local.call_operator_api(1, {"GET", "/admin/tickets/2", {}, {}})
                               .reply.status == 200;
            });
        s.verdict("it is in force in both zones within 5 s",
                  in_force_in_both && boot_clock::now() - began < std::chrono::seconds(5));
        s.note("a lookup through zone-b: " + s.lookup(4, "bar-1"));
        check_golden("session-zone-without-platform", s.lines);
    }

    void a_zone_is_alone()
    {
        failure_session s("zone-alone");
        const auto key_of_b = s.key_of("windows", "zone-b");
        const auto key_of_a = s.key_of("windows", "zone-a");
        const auto contract_key = s.key_of("contracts", "zone-b");
        std::map<std::string, std::string> outcomes;
        for (std::size_t n = 0; n < s.local.entries.size(); ++n)
        {
            const bool is_isolated = s.local.entries[n].zone == "zone-b";
            const std::string faults = is_isolated
                                           ? R"({"cut_zones":["zone-a"],"cut_platform":true})"
                                           : R"({"cut_zones":["zone-b"],"cut_platform":false})";
            static_cast<void>(s.local.call_operator_api(n, {"POST", "/admin/faults", {}, faults}));
        }
        s.note("zone-b is cut off from the platform and from zone-a");
        bool stays_available = true;
        const auto until = boot_clock::now() + std::chrono::seconds(3);
        for (int n = 0; boot_clock::now() < until; ++n)
        {
            const auto id = "f-" + std::to_string(n);
            outcomes[id] = s.file(3, contract_key, id);
            stays_available =
                stays_available && outcomes[id] == "done" && s.lookup(4, key_of_b) == "done";
        }
        s.verdict("zone-b served its own keys for 3 s", stays_available);
        // The first request over a cut connection may be lost; later ones find no connection.
        s.verdict("a key of zone-a through zone-b is refused",
                  !s.lookup(3, key_of_a, millis(300)).starts_with("done"));
        s.verdict("a key of zone-b through zone-a is refused",
                  !s.lookup(0, key_of_b, millis(300)).starts_with("done"));
        s.note("a key of zone-a through zone-a: " + s.lookup(0, key_of_a));
        for (std::size_t n = 0; n < s.local.entries.size(); ++n)
        {
            const std::string faults = R"({"cut_zones":[],"cut_platform":false})";
            static_cast<void>(s.local.call_operator_api(n, {"POST", "/admin/faults", {}, faults}));
        }
        s.note("healed");
        s.verdict("all keys are served through both zones", s.wait_until_all_served());
        s.check_journal(outcomes);
        check_golden("session-zone-alone", s.lines);
    }

    void a_fresh_vm_while_the_platform_is_down()
    {
        failure_session s("fresh-vm");
        s.local.entries[2].process->kill();
        s.local.set_platform_faults(
            R"({"down":true,"slow_ms":0,"lose_replies":0,"retain":100000})");
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
                  s.lookup(2, s.key_of("windows", "zone-b")) == "done");
        check_golden("session-fresh-vm", s.lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_platform);
