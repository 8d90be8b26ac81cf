/// Pauses of workers that answer 503 with `Retry-After`: parsing, length and end.
#include "support.hpp"
#include <eelgrassrail/routing/worker_pauses.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

class unit_worker_pauses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_worker_pauses);
    CPPUNIT_TEST(a_time_is_a_positive_decimal_number);
    CPPUNIT_TEST(a_pause_ends_with_its_time);
    CPPUNIT_TEST(the_longest_pause_counts);
    CPPUNIT_TEST(a_pause_has_an_upper_bound);
    CPPUNIT_TEST(a_new_incarnation_is_not_paused);
    CPPUNIT_TEST(a_pause_is_reported_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_time_is_a_positive_decimal_number()
    {
        CPPUNIT_ASSERT_EQUAL(2.5, parse_retry_after("2.5").value());
        CPPUNIT_ASSERT_EQUAL(0.001, parse_retry_after("0.001").value());
        CPPUNIT_ASSERT_EQUAL(86'400.0, parse_retry_after("86400").value());
        CPPUNIT_ASSERT(parse_retry_after(std::string(300, '9')));
        for (const auto* text : {"", "0", "0.0", "-1", "+1", "1e3", "2s", "1,5", "inf", "nan",
                                 "soon", "Fri, 31 Dec 1999 23:59:59 GMT", " 1", "1 "})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_retry_after(text));
    }

    /// Guards against BUDGET: requests before the end of the time that a worker named.
    void a_pause_ends_with_its_time()
    {
        worker_pauses pauses;
        const worker_incarnation worker{"w", 1};
        CPPUNIT_ASSERT_EQUAL(0.0, pauses.remaining_ms(worker, start_time));
        pauses.start(worker, 2.5, start_time);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2'500.0, pauses.remaining_ms(worker, start_time), 0.01);
        CPPUNIT_ASSERT(pauses.remaining_ms(worker, start_time + millis(2'499)) > 0);
        CPPUNIT_ASSERT_EQUAL(0.0, pauses.remaining_ms(worker, start_time + millis(2'501)));
        CPPUNIT_ASSERT_EQUAL(0.0, pauses.remaining_ms({"v", 1}, start_time));
    }

    void the_longest_pause_counts()
    {
        worker_pauses pauses;
        const worker_incarnation worker{"w", 1};
        pauses.start(worker, 5, start_time);
        pauses.start(worker, 1, start_time + millis(100));
        CPPUNIT_ASSERT(pauses.remaining_ms(worker, start_time + millis(4'900)) > 0);
        pauses.start(worker, 6, start_time + millis(4'900));
        CPPUNIT_ASSERT(pauses.remaining_ms(worker, start_time + millis(10'800)) > 0);
    }

    void a_pause_has_an_upper_bound()
    {
        worker_pauses pauses;
        const worker_incarnation worker{"w", 1};
        pauses.start(worker, *parse_retry_after(std::string(300, '9')), start_time);
        pauses.start(worker, 86'400, start_time);
        CPPUNIT_ASSERT(pauses.remaining_ms(worker, start_time) > 0);
        CPPUNIT_ASSERT_EQUAL(0.0,
                             pauses.remaining_ms(worker, start_time + worker_pauses::max_pause));
    }

    void a_new_incarnation_is_not_paused()
    {
        worker_pauses pauses;
        pauses.start({"w", 1}, 5, start_time);
        CPPUNIT_ASSERT_EQUAL(0.0, pauses.remaining_ms({"w", 2}, start_time));
    }

    void a_pause_is_reported_once()
    {
        worker_pauses pauses;
        const worker_incarnation worker{"w", 1};
        std::size_t reported = 0;
        for (int n = 0; n < 1'000; ++n)
            reported += pauses.start(worker, 0.001, start_time + millis(10) * n) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reported);
        CPPUNIT_ASSERT(pauses.start(worker, 0.001, start_time + millis(12'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_worker_pauses);
