/// Tests of the check of holds: overlaps, ends of holds, tokens and what rule OWNER excludes.
#include "hold_check.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail::test;

namespace
{

constexpr std::int64_t s = 1'000'000; // in microseconds

/// An event at keys 0 to 99; a grant lasts 10 s.
hold_event make_event(const std::string& life, hold_kind kind, std::uint64_t fence, std::int64_t at)
{
    hold_event event{life, kind, 0, 99, fence, at, at, 0, false};
    if (kind == hold_kind::grant || kind == hold_kind::renewal)
        event.until_us = at + 10 * s;
    return event;
}

hold_check checked(const hold_journal& events)
{
    hold_check check;
    for (const auto& event : events)
        check.add(event);
    return check;
}

} // namespace

class unit_hold_check : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_hold_check);
    CPPUNIT_TEST(two_holders_are_a_violation);
    CPPUNIT_TEST(a_hold_ends_with_the_lease_the_release_or_the_process);
    CPPUNIT_TEST(a_hold_lasts_until_the_answer_of_a_release);
    CPPUNIT_TEST(a_part_of_a_grant_is_released);
    CPPUNIT_TEST(a_token_must_be_above_all_others);
    CPPUNIT_TEST(late_grants_are_labelled);
    CPPUNIT_TEST(lines_are_read_back);
    CPPUNIT_TEST_SUITE_END();

  public:
    void two_holders_are_a_violation()
    {
        const auto check = checked({make_event("a", hold_kind::grant, 1, 0),
                                    make_event("a", hold_kind::renewal, 2, 2 * s),
                                    make_event("b", hold_kind::grant, 3, 11 * s)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.violations().size());
        const auto& item = check.cases().front();
        CPPUNIT_ASSERT_EQUAL(11 * s, item.from_us);
        CPPUNIT_ASSERT_EQUAL(12 * s, item.to_us);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), item.earlier.life);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(99), item.last);
    }

    void a_hold_ends_with_the_lease_the_release_or_the_process()
    {
        const auto check = checked({make_event("a", hold_kind::grant, 1, 0),
                                    make_event("b", hold_kind::grant, 2, 10 * s),
                                    make_event("b", hold_kind::release, 3, 11 * s),
                                    make_event("b", hold_kind::released, 3, 12 * s),
                                    make_event("c", hold_kind::grant, 3, 12 * s),
                                    make_event("c", hold_kind::end, 0, 13 * s),
                                    make_event("d", hold_kind::grant, 4, 13 * s)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), check.cases().size());
    }

    void a_hold_lasts_until_the_answer_of_a_release()
    {
        const auto check = checked({make_event("a", hold_kind::grant, 1, 0),
                                    make_event("a", hold_kind::release, 2, 1 * s),
                                    make_event("b", hold_kind::grant, 2, 2 * s),
                                    make_event("a", hold_kind::released, 2, 3 * s)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.violations().size());
        CPPUNIT_ASSERT_EQUAL(3 * s, check.cases().front().to_us);
    }

    void a_part_of_a_grant_is_released()
    {
        auto release = make_event("a", hold_kind::released, 2, 1 * s);
        release.last = 49;
        auto first_half = make_event("b", hold_kind::grant, 2, 2 * s);
        first_half.last = 49;
        auto more = make_event("b", hold_kind::grant, 3, 3 * s);
        more.first = 49;
        more.last = 50;
        const auto check =
            checked({make_event("a", hold_kind::grant, 1, 0), release, first_half, more});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.violations().size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(50), check.cases().front().first);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(50), check.cases().front().last);
    }

    void a_token_must_be_above_all_others()
    {
        const auto check = checked({make_event("a", hold_kind::grant, 5, 0),
                                    make_event("b", hold_kind::grant, 5, 20 * s),
                                    make_event("b", hold_kind::renewal, 5, 21 * s)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.violations().size());
        CPPUNIT_ASSERT(!check.cases().front().is_overlap);
    }

    void late_grants_are_labelled()
    {
        auto late = make_event("a", hold_kind::renewal, 1, 9 * s);
        late.was_late = true;
        const auto check = checked({make_event("a", hold_kind::grant, 1, 0), late,
                                    make_event("b", hold_kind::grant, 2, 12 * s)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), check.violations().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.excluded().size());
        // A renewal of the other one that is in time counts again.
        const auto counted = checked({make_event("a", hold_kind::grant, 1, 0), late,
                                      make_event("b", hold_kind::grant, 2, 9 * s + 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), counted.violations().size());
    }

    void lines_are_read_back()
    {
        const auto event = make_event("h0w1#17", hold_kind::renewal, 4'294'967'308, 7);
        const auto read = parse_hold_line(to_line(event));
        CPPUNIT_ASSERT(read && read->kind == event.kind);
        CPPUNIT_ASSERT_EQUAL(to_line(event), to_line(*read));
        CPPUNIT_ASSERT(!parse_hold_line("begin a1 2 3 4"));
        CPPUNIT_ASSERT(!parse_hold_line("hold a#1 grant 2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_hold_check);
