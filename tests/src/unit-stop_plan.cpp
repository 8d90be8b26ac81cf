/// Which requests are passed on to workers during a planned stop.
#include <eelgrassrail/router/stop_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace eelgrassrail;

class unit_stop_plan : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_stop_plan);
    CPPUNIT_TEST(what_ends_in_time_is_passed_on);
    CPPUNIT_TEST(what_could_be_cut_is_not_passed_on);
    CPPUNIT_TEST(the_cut_is_in_the_last_sixth_of_the_grace);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant began{std::chrono::seconds(100)};
    static constexpr millis grace{6'000};

    /// @param at time after the begin of the stop
    static bool may_pass_on(millis at, millis time_limit, millis typical)
    {
        const stop_plan plan(began, grace);
        return plan.may_pass_on(began + at, began + at + time_limit, typical);
    }

  public:
    void what_ends_in_time_is_passed_on()
    {
        CPPUNIT_ASSERT(may_pass_on(millis(0), millis(6'000), millis(200)));
        CPPUNIT_ASSERT(may_pass_on(millis(2'500), millis(6'000), millis(200)));
        CPPUNIT_ASSERT(may_pass_on(millis(2'500), millis(1'500), millis(5'000)));
        CPPUNIT_ASSERT(may_pass_on(millis(4'600), millis(500), millis(200)));
    }

    /// Guards against LOST: a late request with a long time limit is cut when the process ends.
    void what_could_be_cut_is_not_passed_on()
    {
        CPPUNIT_ASSERT(!may_pass_on(millis(2'500), millis(6'000), millis(700))); // it may run long
        CPPUNIT_ASSERT(!may_pass_on(millis(3'000), millis(6'000), millis(10)));  // no callers come
        CPPUNIT_ASSERT(!may_pass_on(millis(4'800), millis(500), millis(10)));
        CPPUNIT_ASSERT(!may_pass_on(millis(7'000), millis(1), millis(1)));
    }

    /// What is cut before the last sixth counts as lost, even if it was sent right at the begin.
    void the_cut_is_in_the_last_sixth_of_the_grace()
    {
        for (const millis length : {millis(1'000), millis(4'000), millis(6'000), millis(10'000)})
        {
            const stop_plan plan(began, length);
            const auto text = std::to_string(length.count());
            CPPUNIT_ASSERT_MESSAGE(text, plan.cuts_at() > began + length * 5 / 6);
            CPPUNIT_ASSERT_MESSAGE(text, plan.cuts_at() < began + length);
            CPPUNIT_ASSERT_MESSAGE(text, plan.answers_until() < plan.cuts_at());
            CPPUNIT_ASSERT_MESSAGE(text, plan.accepts_until() <= plan.answers_until());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_stop_plan);
