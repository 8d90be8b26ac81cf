/// Memory of callers' requests: which of them are ended when it is short.
#include "support.hpp"
#include <eelgrassrail/http/body_blocks.hpp>
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/http/request_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr std::size_t kb = 1024;
constexpr std::size_t budget_bytes = 1'000 * kb;

/// A ledger that records which requests were ended, by name.
struct ledger_session
{
    request_ledger::number begin(const std::string& name, millis at = millis(0))
    {
        return requests.begin(start_time + at, [this, name] { ended.insert(name); });
    }

    /// Begins a request and lets it hold memory beyond what is free.
    request_ledger::number hold(const std::string& name, std::size_t bytes)
    {
        const auto id = begin(name);
        CPPUNIT_ASSERT(requests.hold(id, request_ledger::free_bytes + bytes));
        return id;
    }

    std::shared_ptr<receive_budget> budget{std::make_shared<receive_budget>(budget_bytes)};
    request_ledger requests{budget};
    std::set<std::string> ended;
};

} // namespace

class unit_request_ledger : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_request_ledger);
    CPPUNIT_TEST(the_largest_incomplete_request_makes_room);
    CPPUNIT_TEST(a_request_that_holds_most_ends_itself);
    CPPUNIT_TEST(complete_requests_are_not_ended);
    CPPUNIT_TEST(small_requests_need_no_budget);
    CPPUNIT_TEST(an_answer_is_delivered_in_any_case);
    CPPUNIT_TEST(answers_reclaim_memory_of_incomplete_requests);
    CPPUNIT_TEST(a_reply_without_end_makes_room);
    CPPUNIT_TEST(a_connection_that_waits_longest_makes_room);
    CPPUNIT_TEST(blocks_hold_little_more_than_the_body);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// A crowd of large bodies must not keep out the upload of an ordinary caller.
    void the_largest_incomplete_request_makes_room()
    {
        ledger_session it;
        it.hold("small", 300 * kb);
        it.hold("large", 600 * kb);
        it.hold("upload", 200 * kb);
        CPPUNIT_ASSERT(it.ended == std::set<std::string>{"large"});
        CPPUNIT_ASSERT_EQUAL(500 * kb, it.budget->reserved());
    }

    void a_request_that_holds_most_ends_itself()
    {
        ledger_session it;
        it.hold("small", 300 * kb);
        const auto large = it.hold("large", 600 * kb);
        CPPUNIT_ASSERT(!it.requests.hold(large, 900 * kb));
        CPPUNIT_ASSERT(it.ended == std::set<std::string>{"large"});
        CPPUNIT_ASSERT(!it.requests.hold(large, kb)); // it stays ended
        it.requests.end(large);
        CPPUNIT_ASSERT_EQUAL(300 * kb, it.budget->reserved());
    }

    /// A complete request may have been passed on to a worker.
    void complete_requests_are_not_ended()
    {
        ledger_session it;
        const auto complete = it.hold("complete", 900 * kb);
        it.requests.complete(complete);
        const auto other = it.begin("other");
        CPPUNIT_ASSERT(!it.requests.hold(other, 300 * kb));
        CPPUNIT_ASSERT(it.ended == std::set<std::string>{"other"});
    }

    void small_requests_need_no_budget()
    {
        ledger_session it;
        it.requests.complete(it.hold("complete", budget_bytes));
        const auto small = it.begin("small");
        CPPUNIT_ASSERT(it.requests.hold(small, request_ledger::free_bytes));
    }

    void an_answer_is_delivered_in_any_case()
    {
        ledger_session it;
        it.requests.complete(it.hold("complete", 900 * kb));
        const auto id = it.begin("answered");
        it.requests.complete(id);
        it.requests.hold_answer(id, 500 * kb);
        CPPUNIT_ASSERT(it.ended.empty());
        it.requests.end(id);
        CPPUNIT_ASSERT_EQUAL(900 * kb, it.budget->reserved());
    }

    /// A worker's answer that does not fit is lost, although the request has run.
    void answers_reclaim_memory_of_incomplete_requests()
    {
        ledger_session it;
        it.hold("large", 900 * kb);
        CPPUNIT_ASSERT(it.budget->reserve_or_reclaim(200 * kb));
        CPPUNIT_ASSERT(it.ended == std::set<std::string>{"large"});
        CPPUNIT_ASSERT(!it.budget->reserve_or_reclaim(budget_bytes));
    }

    /// Guards against replies of faulty workers that keep out the requests and replies of others.
    void a_reply_without_end_makes_room()
    {
        ledger_session it;
        memory_holder endless(it.budget, 0, [&] { it.ended.insert("endless"); });
        CPPUNIT_ASSERT(endless.hold(700 * kb));
        memory_holder reply(it.budget, 0, [&] { it.ended.insert("reply"); });
        CPPUNIT_ASSERT(reply.hold(100 * kb));
        it.hold("upload", 300 * kb);
        CPPUNIT_ASSERT(it.ended == std::set<std::string>{"endless"});
        CPPUNIT_ASSERT(!endless.hold(0)); // it stays ended
        reply.keep();
        CPPUNIT_ASSERT(!it.budget->reserve_or_reclaim(budget_bytes));
        CPPUNIT_ASSERT((it.ended == std::set<std::string>{"endless", "upload"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), it.budget->ended());
    }

    void a_connection_that_waits_longest_makes_room()
    {
        ledger_session it;
        it.requests.complete(it.begin("complete"));
        it.begin("old", millis(10));
        it.begin("new", millis(900));
        CPPUNIT_ASSERT(it.requests.abort_oldest(start_time + millis(500)));
        CPPUNIT_ASSERT(it.ended == std::set<std::string>{"old"});
        CPPUNIT_ASSERT(!it.requests.abort_oldest(start_time + millis(500)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), it.requests.aborted());
    }

    /// Growth by doubling takes up to three times the size of a body while it is copied.
    void blocks_hold_little_more_than_the_body()
    {
        body_blocks body;
        std::string expected;
        const std::string piece(1'000, 'x');
        for (int n = 0; n < 5'000; ++n)
        {
            body.append(piece);
            expected += piece;
        }
        CPPUNIT_ASSERT_EQUAL(expected.size(), body.size());
        CPPUNIT_ASSERT(body.capacity() <= body.size() + body_blocks::block_bytes);
        CPPUNIT_ASSERT(body.joined() == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_request_ledger);
