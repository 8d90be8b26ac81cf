/// Tests of the ownership agent: clean reads, VM list evidence, relinquishment and handover.
#include "support.hpp"
#include <eelgrassrail/ownership/agent.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

const process_id self{"vm-1", 1, "zone-a", "127.0.0.1:1"};
const process_id other{"vm-2", 2, "zone-a", "127.0.0.1:2"};
const pool_id pool{"orders", "zone-a", 0};

/// An agent that has claimed the pool and read its own records back.
struct holding_agent
{
    holding_agent()
        : agent(self, {})
    {
        read({record_text("t1", make_ticket(make_service("orders", {"zone-a"})))});
        agent.tick(now);
        read_own();
        agent.tick(now);
        read_own();
    }

    void read(std::vector<std::string> records)
    {
        const auto first = agent.state().next;
        const auto head = first + records.size();
        agent.on_log_page({0, first, head, std::move(records)}, now, now);
    }

    void read_own()
    {
        std::vector<std::string> records;
        for (const auto& order : agent.take_outputs().appends)
            records.push_back(order.text);
        read(std::move(records));
    }

    instant now{start_time};
    ownership_agent agent;
};

} // namespace

class unit_agent : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_agent);
    CPPUNIT_TEST(it_claims_and_holds_a_pool_that_nobody_holds);
    CPPUNIT_TEST(a_page_that_ends_before_the_head_renews_nothing);
    CPPUNIT_TEST(it_stops_acting_before_it_hands_over);
    CPPUNIT_TEST(an_old_vm_list_is_no_evidence);
    CPPUNIT_TEST(it_relinquishes_before_it_has_read_its_appointment);
    CPPUNIT_TEST(a_claim_that_may_be_appended_prevents_relinquishing);
    CPPUNIT_TEST_SUITE_END();

  public:
    void it_claims_and_holds_a_pool_that_nobody_holds()
    {
        const holding_agent holder;
        CPPUNIT_ASSERT(holder.agent.has_valid_lease(pool, start_time + millis(599)));
        CPPUNIT_ASSERT(!holder.agent.has_valid_lease(pool, start_time + millis(600)));
    }

    void a_page_that_ends_before_the_head_renews_nothing()
    {
        holding_agent holder;
        const auto later = start_time + millis(300);
        const auto next = holder.agent.state().next;
        holder.agent.on_log_page({0, next, next + 5, {}}, later, later);
        CPPUNIT_ASSERT(!holder.agent.has_valid_lease(pool, start_time + millis(600)));
        holder.agent.on_log_page({0, next, next, {}}, later, later);
        CPPUNIT_ASSERT(holder.agent.has_valid_lease(pool, start_time + millis(600)));
    }

    void an_old_vm_list_is_no_evidence()
    {
        ownership_agent third({"vm-3", 3, "zone-a", "127.0.0.1:3"}, {});
        const std::vector<std::string> records{
            record_text("t1", make_ticket(make_service("orders", {"zone-a"}))),
            record_text("a", claim{pool, 0, self, {}, claim_evidence::unheld}),
            record_text("b", activation{pool, 2})};
        third.on_log_page({0, 0, records.size(), records}, start_time, start_time);
        const listed_vm holder{"vm-1", "zone-a", "127.0.0.1:1", false};
        third.on_vm_list(std::vector{holder}, start_time);
        third.on_vm_list(std::vector<listed_vm>{}, start_time + millis(1000));
        third.tick(start_time + millis(9000));
        CPPUNIT_ASSERT(third.take_outputs().appends.empty());
        third.on_vm_list(std::vector<listed_vm>{}, start_time + millis(9000));
        third.tick(start_time + millis(9500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.take_outputs().appends.size());
    }

    void it_relinquishes_before_it_has_read_its_appointment()
    {
        ownership_agent third({"vm-3", 3, "zone-a", "127.0.0.1:3"}, {});
        const std::vector<std::string> records{
            record_text("t1", make_ticket(make_service("orders", {"zone-a"}))),
            record_text("a", claim{pool, 0, self, {}, claim_evidence::unheld})};
        third.on_log_page({0, 0, records.size(), records}, start_time, start_time);
        third.on_message(relinquish_request{self, pool, 2, 1}, start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.take_outputs().messages.size());
        third.on_message(relinquish_request{self, pool, 9, 1}, start_time);
        CPPUNIT_ASSERT(third.take_outputs().messages.empty());
    }

    /// Guards against two holders: the first append of a claim has no known outcome, only its
    /// repetition was certainly not sent, and the process relinquishes before the log executes it.
    void a_claim_that_may_be_appended_prevents_relinquishing()
    {
        const process_id standby{"vm-3", 3, "zone-a", "127.0.0.1:3"};
        ownership_agent third(standby, {});
        const std::vector<std::string> records{
            record_text("t1", make_ticket(make_service("orders", {"zone-a"}))),
            record_text("a", claim{pool, 0, self, {standby}, claim_evidence::unheld}),
            record_text("b", activation{pool, 2})};
        third.on_log_page({0, 0, records.size(), records}, start_time, start_time);
        third.tick(start_time);
        third.tick(start_time + millis(3'000));
        const auto first = third.take_outputs().appends;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        const auto later = start_time + millis(3'800);
        third.tick(later);
        const auto second = third.take_outputs().appends;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT_EQUAL(first.front().id, second.front().id);
        third.on_append_result(first.front().id, append_result::not_sent, later);
        third.on_message(relinquish_request{self, pool, 2, 1}, later);
        CPPUNIT_ASSERT(third.take_outputs().messages.empty());
    }

    void it_stops_acting_before_it_hands_over()
    {
        holding_agent holder;
        const auto* state = find_pool(holder.agent.state(), pool);
        holder.read({record_text("a", appointment{pool, state->epoch, state->appointed, {other}})});
        CPPUNIT_ASSERT(holder.agent.has_valid_lease(pool, holder.now));
        CPPUNIT_ASSERT(holder.agent.hand_over(pool, holder.now));
        CPPUNIT_ASSERT(!holder.agent.has_valid_lease(pool, holder.now));
        holder.read_own();
        CPPUNIT_ASSERT(find_pool(holder.agent.state(), pool)->holder == other);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_agent);
