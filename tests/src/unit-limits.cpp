/// Rate limits that workers name in their answers: parsing, changes and withdrawal.
#include "support.hpp"
#include <eelgrassrail/limits/limit_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

class unit_limits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_limits);
    CPPUNIT_TEST(a_limit_is_a_decimal_number);
    CPPUNIT_TEST(a_limit_changes_and_is_withdrawn);
    CPPUNIT_TEST(an_answer_under_way_withdraws_nothing);
    CPPUNIT_TEST(a_refusal_withdraws_nothing);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_limit_is_a_decimal_number()
    {
        CPPUNIT_ASSERT_EQUAL(2.9, parse_rate_limit("2.9").value());
        CPPUNIT_ASSERT_EQUAL(0.2, parse_rate_limit("0.2").value());
        CPPUNIT_ASSERT_EQUAL(100.0, parse_rate_limit("100").value());
        CPPUNIT_ASSERT_EQUAL(0.0, parse_rate_limit("0").value());
        for (const auto* text : {"", " ", "-1", "+1", "1e3", "1.5/s", "1,5", "inf", "nan", "0x10",
                                 "5 ", " 5", "1.2.3", ".5"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_rate_limit(text));
    }

    void a_limit_changes_and_is_withdrawn()
    {
        limit_table table;
        CPPUNIT_ASSERT(!table.find("w1"));
        CPPUNIT_ASSERT(table.observe("w1", named(5, start_time), start_time) ==
                       limit_change::named);
        CPPUNIT_ASSERT(table.observe("w1", named(5, start_time), start_time) == limit_change::none);
        CPPUNIT_ASSERT(table.observe("w1", named(2, start_time), start_time) ==
                       limit_change::named);
        CPPUNIT_ASSERT_EQUAL(2.0, table.find("w1").value());
        const auto later = start_time + millis(10);
        CPPUNIT_ASSERT(table.observe("w1", {{}, true, later}, later) == limit_change::withdrawn);
        CPPUNIT_ASSERT(!table.find("w1"));
    }

    void an_answer_under_way_withdraws_nothing()
    {
        limit_table table;
        table.observe("w1", named(5, start_time), start_time);
        const auto before = start_time - millis(100);
        CPPUNIT_ASSERT(table.observe("w1", {{}, true, before}, start_time + millis(1)) ==
                       limit_change::none);
        CPPUNIT_ASSERT(table.find("w1"));
    }

    void a_refusal_withdraws_nothing()
    {
        limit_table table;
        table.observe("w1", named(5, start_time), start_time);
        const auto later = start_time + millis(10);
        CPPUNIT_ASSERT(table.observe("w1", {{}, false, later}, later) == limit_change::none);
        CPPUNIT_ASSERT(table.find("w1"));
    }

  private:
    static limit_observation named(double per_s, instant sent_at) { return {per_s, true, sent_at}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_limits);
