/// Tests of the dispatcher: sessions compared with golden files, and single assertions.
#include "dispatch_session.hpp"
#include "support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace eelgrassrail;
using namespace eelgrassrail::fakes;
using namespace eelgrassrail::test;

namespace
{

service_spec two_workers()
{
    return make_service("orders", {"zone-a", "zone-a"});
}

service_spec not_keyed()
{
    auto spec = make_service("orders", {"zone-a", "zone-a"});
    spec.keyed = false;
    spec.classes.erase(spec.classes.begin());
    return spec;
}

service_spec with_tokens()
{
    auto spec = two_workers();
    spec.checks_tokens = true;
    return spec;
}

dispatcher_state complete_history()
{
    dispatcher_state start;
    start.history_complete = true;
    return start;
}

} // namespace

class unit_dispatcher : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_dispatcher);
    CPPUNIT_TEST(a_key_has_one_server);
    CPPUNIT_TEST(slots_queue_and_priority);
    CPPUNIT_TEST(a_repeat_gets_the_first_answer);
    CPPUNIT_TEST(an_intent_is_replicated_before_the_start);
    CPPUNIT_TEST(a_lost_filing_is_unknown_and_never_runs_again);
    CPPUNIT_TEST(a_lost_lookup_runs_again_once_its_server_answers);
    CPPUNIT_TEST(a_lost_server_gives_its_slices_away_after_its_runs);
    CPPUNIT_TEST(a_request_that_crashes_servers_is_refused);
    CPPUNIT_TEST(a_draining_server_gets_no_new_work);
    CPPUNIT_TEST(a_deadline_during_the_run_is_unknown);
    CPPUNIT_TEST(a_lapsed_lease_starts_nothing);
    CPPUNIT_TEST(a_takeover_knows_what_may_have_run);
    CPPUNIT_TEST(an_incomplete_history_refuses_repeats);
    CPPUNIT_TEST(a_stop_refuses_what_was_not_sent);
    CPPUNIT_TEST(lost_slices_are_released_when_drained);
    CPPUNIT_TEST(a_grant_comes_before_the_start);
    CPPUNIT_TEST(a_move_waits_for_the_old_grant);
    CPPUNIT_TEST(without_keys_the_idle_server_is_chosen);
    CPPUNIT_TEST(a_tenant_has_a_limit);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_key_has_one_server()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "lookup", "bar-1");
        session.answer(1);
        session.submit(2, "filing", "bar-1", "f-1");
        session.answer(2);
        CPPUNIT_ASSERT_EQUAL(session.starts[0].server, session.starts[1].server);
        check_golden("dispatch-plain", session.lines);
    }

    void slots_queue_and_priority()
    {
        dispatch_session session(two_workers(), complete_history());
        for (request_number id = 1; id <= 4; ++id)
            session.submit(id, "lookup", "bar-1");
        session.submit(5, "filing", "bar-1", "f-1");
        session.answer(1);
        session.answer(2);
        session.advance(millis(250));
        check_golden("dispatch-queue", session.lines);
    }

    void a_repeat_gets_the_first_answer()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "filing", "bar-1", "f-1");
        session.submit(2, "filing", "bar-1", "f-1");
        session.submit(3, "filing", "bar-1", "f-1", "another body");
        session.answer(1);
        session.submit(4, "filing", "bar-1", "f-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, session.starts.size());
        check_golden("dispatch-repeat", session.lines);
    }

    void an_intent_is_replicated_before_the_start()
    {
        dispatch_session session(two_workers(), complete_history());
        session.acknowledges_deltas = false;
        session.submit(1, "filing", "bar-1", "f-1");
        CPPUNIT_ASSERT(session.starts.empty());
        session.submit(2, "lookup", "bar-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, session.starts.size());
        session.decisions.on_replicated(session.last_delta, session.now);
        session.drain();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, session.starts.size());
    }

    void a_lost_filing_is_unknown_and_never_runs_again()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "filing", "bar-1", "f-1");
        session.fail(1, run_failure::lost_after_write);
        session.probe(session.starts[0].server, probe_result::alive);
        session.submit(2, "filing", "bar-1", "f-1", "", 2);
        session.submit(3, "filing", "bar-1", "f-2");
        session.fail(3, run_failure::refused_before_run);
        session.advance(millis(20));
        session.answer(3);
        check_golden("dispatch-lost-filing", session.lines);
    }

    void a_lost_lookup_runs_again_once_its_server_answers()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "lookup", "bar-1");
        session.fail(1, run_failure::invalid_answer);
        session.answer(1);
        session.submit(2, "lookup", "bar-1");
        session.fail(2, run_failure::not_written);
        session.probe(session.starts[0].server, probe_result::alive);
        session.answer(2);
        check_golden("dispatch-lost-lookup", session.lines);
    }

    void a_lost_server_gives_its_slices_away_after_its_runs()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "filing", "bar-1", "f-1");
        const auto server = session.starts[0].server;
        session.fail(1, run_failure::lost_after_write);
        session.submit(2, "lookup", "bar-1");
        session.probe(server, probe_result::refused);
        session.advance(millis(600));
        session.answer(2);
        CPPUNIT_ASSERT(session.starts[1].server != server);
        check_golden("dispatch-lost-server", session.lines);
    }

    void a_request_that_crashes_servers_is_refused()
    {
        dispatch_session session(not_keyed(), complete_history());
        for (request_number id = 1; id <= 2; ++id)
        {
            session.submit(id, "filing", "bar-1", "f-" + std::to_string(id), "poison");
            session.fail(id, run_failure::lost_after_write);
            session.probe(session.starts.back().server, probe_result::refused);
            session.advance(millis(600));
        }
        session.submit(3, "filing", "bar-1", "f-3", "poison");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, session.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, session.decisions.counters().lost_servers);
        check_golden("dispatch-quarantine", session.lines);
    }

    void a_draining_server_gets_no_new_work()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "lookup", "bar-1");
        const auto server = session.starts[0].server;
        session.submit(2, "lookup", "bar-1");
        session.fail(2, run_failure::draining);
        session.submit(3, "lookup", "bar-1");
        session.advance(millis(50));
        session.answer(1);
        session.advance(millis(50));
        CPPUNIT_ASSERT(session.starts.back().server != server);
        check_golden("dispatch-draining", session.lines);
    }

    void a_deadline_during_the_run_is_unknown()
    {
        dispatch_session session(two_workers(), complete_history());
        session.submit(1, "filing", "bar-1", "f-1", "", 1, 100);
        session.advance(millis(150));
        session.answer(1);
        session.submit(2, "filing", "bar-1", "f-1", "", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, session.decisions.counters().late_answers);
        check_golden("dispatch-deadline", session.lines);
    }

    void a_lapsed_lease_starts_nothing()
    {
        dispatch_session session(two_workers(), complete_history());
        session.lease_expiry = session.now;
        session.advance(millis(10));
        session.submit(1, "lookup", "bar-1");
        session.submit(2, "filing", "bar-1", "f-1");
        session.advance(millis(20));
        CPPUNIT_ASSERT(session.starts.empty());
        check_golden("dispatch-lapsed", session.lines);
    }

    void a_takeover_knows_what_may_have_run()
    {
        auto start = complete_history();
        answer earlier;
        earlier.status = 200;
        const auto scope = [](const std::string& id) { return "bar\nfiling\n" + id; };
        const auto print = [](const std::string& body) {
            return fingerprint(
                {"orders", "", "bar", "bar-1", "POST", "/bar-1", "", body, "", 0, 0});
        };
        const auto slice = slice_of("bar-1", two_workers().slices);
        start.entries = {{scope("f-1"), print("a"), run_state::running, slice, "w1", 400, {}},
                         {scope("f-2"), print("b"), run_state::done, slice, "w1", 0, earlier}};
        start.owners = {{slice, "w1"}};
        dispatch_session session(two_workers(), start);
        session.submit(1, "filing", "bar-1", "f-1", "a", 2);
        session.submit(2, "filing", "bar-1", "f-2", "b", 2);
        session.submit(3, "filing", "bar-1", "f-3", "c", 2);
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), session.starts.at(0).server);
        check_golden("dispatch-takeover", session.lines);
    }

    void an_incomplete_history_refuses_repeats()
    {
        dispatch_session session(two_workers());
        session.submit(1, "filing", "bar-1", "f-1", "", 0);
        session.submit(2, "filing", "bar-1", "f-2", "", 2);
        session.submit(3, "filing", "bar-1", "f-3", "", 1);
        session.submit(4, "lookup", "bar-1");
        check_golden("dispatch-incomplete-history", session.lines);
    }

    void a_stop_refuses_what_was_not_sent()
    {
        dispatch_session session(two_workers(), complete_history());
        for (request_number id = 1; id <= 3; ++id)
            session.submit(id, "lookup", "bar-1");
        session.decisions.stop(session.now);
        session.drain();
        session.answer(1);
        session.answer(2);
        CPPUNIT_ASSERT(session.decisions.is_idle());
        check_golden("dispatch-stop", session.lines);
    }

    void lost_slices_are_released_when_drained()
    {
        dispatch_session session(two_workers(), complete_history());
        session.advance(millis(600));
        session.submit(1, "lookup", "bar-1");
        session.owned.clear();
        session.release_offset = 12;
        session.configure();
        session.advance(millis(50));
        session.submit(2, "lookup", "bar-1");
        session.answer(1);
        session.advance(millis(20));
        check_golden("dispatch-release", session.lines);
    }

    void a_grant_comes_before_the_start()
    {
        dispatch_session session(with_tokens(), complete_history());
        session.advance(millis(1100));
        session.acknowledges_grants = false;
        session.advance(millis(1100));
        session.submit(1, "lookup", "bar-1");
        CPPUNIT_ASSERT(session.starts.empty());
        session.acknowledges_grants = true;
        session.advance(millis(320));
        check_golden("dispatch-grant", session.lines);
    }

    void a_move_waits_for_the_old_grant()
    {
        dispatch_session session(with_tokens(), complete_history());
        session.advance(millis(1100));
        const auto slice = slice_of("bar-1", session.spec.slices);
        const auto before = session.decisions.owner_of(slice).value();
        session.acknowledges_grants = false;
        session.advance(millis(310));
        session.decisions.begin_move(slice, before == "w0" ? "w1" : "w0", "a test", session.now);
        session.advance(millis(500));
        CPPUNIT_ASSERT_EQUAL(before, session.decisions.owner_of(slice).value());
        session.acknowledges_grants = true;
        session.advance(millis(1100));
        CPPUNIT_ASSERT(before != session.decisions.owner_of(slice).value());
    }

    void without_keys_the_idle_server_is_chosen()
    {
        dispatch_session session(not_keyed(), complete_history());
        std::set<std::string> servers;
        for (request_number id = 1; id <= 4; ++id)
            session.submit(id, "filing", "bar-" + std::to_string(id), "f-" + std::to_string(id));
        for (const auto& order : session.starts)
            servers.insert(order.server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, session.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, servers.size());
    }

    void a_tenant_has_a_limit()
    {
        auto spec = two_workers();
        spec.classes[0].tenant_limit = 2;
        dispatch_session session(spec, complete_history());
        for (request_number id = 1; id <= 3; ++id)
            session.submit(id, "lookup", "bar-1");
        check_golden("dispatch-tenant-limit", session.lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_dispatcher);
