/// Fault injection: backend servers crash, drain and send wrong replies.
#include "failure_session.hpp"
#include "load.hpp"
#include "support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace eelgrassrail;
using namespace eelgrassrail::harness;
using namespace eelgrassrail::test;

class session_servers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_servers);
    CPPUNIT_TEST(a_request_that_crashes_servers);
    CPPUNIT_TEST(a_draining_server);
    CPPUNIT_TEST(an_answer_to_another_request);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_request_that_crashes_servers()
    {
        failure_session s("crashing-request");
        std::size_t crashed = 0;
        std::map<std::string, std::string> outcomes;
        for (int n = 0; n < 6; ++n)
        {
            const auto id = "crash-" + std::to_string(n);
            outcomes[id] =
                s.file(static_cast<std::size_t>(n), "bar-1", id, 1, "crash", millis(2500));
        }
        for (const auto& host : s.local.hosts)
            if (host.service == "contracts" && ask(s.local.worker_addresses.at(host.workers[0]),
                                                   {"GET", "/healthz", {}, {}}, millis(500))
                                                       .result != exchange_result::complete)
                ++crashed;
        s.note("a caller sends a request that crashes servers six times");
        s.verdict("at most two servers were lost", crashed <= 2);
        s.note("the last answer: " + outcomes["crash-5"]);
        check_golden("session-crashing-request", s.lines);
    }

    void a_draining_server()
    {
        failure_session s("draining-server");
        const std::string key = "bar-1";
        s.note("lookup: " + s.lookup(0, key));
        const auto server = s.local.owner(0, "windows", key);
        s.local.set_worker_faults(server, R"({"draining":true,"shedding":false,
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
        failure_session s("wrong-answer");
        const std::string key = "bar-1";
        s.file(0, key, "f-1");
        const auto server = s.local.owner(s.holder_of("contracts", key), "contracts", key);
        s.local.set_worker_faults(server, R"({"draining":false,"shedding":false,
            "wrong_answers":true,"extra_ms":0})");
        s.note("the server answers with the id of another request");
        std::string outcome;
        for (int n = 2; n < 12 && outcome != "unknown invalid-server-answer"; ++n)
            outcome = s.file(0, key, "f-" + std::to_string(n));
        s.note("a filing: " + outcome);
        check_golden("session-wrong-answer", s.lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_servers);
