/// Merging of reports in relays on the path to the coordinator.
#include "support.hpp"
#include <eelgrassrail/router/report_collector.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

entry_report report_of(const std::string& address, std::uint32_t in_flight, std::uint32_t answers)
{
    entry_report report;
    report.sender.address = address;
    report.freshest = report.sender;
    report.members.push_back({{address, "z", 0.1F}, false, false});
    worker_report item;
    item.id = "w";
    item.in_flight = in_flight;
    item.answers = answers;
    item.times_ms = {100};
    report.workers.push_back(item);
    report.keys.push_back({"s", {7}});
    return report;
}

} // namespace

class unit_report_collector : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_report_collector);
    CPPUNIT_TEST(an_own_report_stays_as_it_is);
    CPPUNIT_TEST(reports_are_summed_up);
    CPPUNIT_TEST(counts_are_passed_on_once_and_states_until_the_next);
    CPPUNIT_TEST(a_second_report_replaces_what_runs);
    CPPUNIT_TEST(what_runs_at_a_silent_process_is_forgotten);
    CPPUNIT_TEST(the_freshest_is_named);
    CPPUNIT_TEST(times_and_keys_are_bounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void an_own_report_stays_as_it_is()
    {
        const auto merged = report_collector().merge_into(report_of("a", 2, 3), start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), merged.members.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), merged.workers.front().in_flight);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), merged.freshest.address);
    }

    void reports_are_summed_up()
    {
        report_collector collector;
        collector.take(report_of("b", 1, 5), start_time);
        collector.take(report_of("c", 4, 0), start_time);
        auto other = report_of("d", 1, 1);
        other.workers.front().id = "v";
        collector.take(other, start_time);
        const auto merged = collector.merge_into(report_of("a", 2, 3), start_time);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), merged.sender.address);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), merged.members.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), merged.workers.size());
        const auto& sum = merged.workers.back();
        CPPUNIT_ASSERT_EQUAL(std::string("w"), sum.id);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(7), sum.in_flight);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(8), sum.answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), sum.times_ms.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), merged.keys.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), merged.keys.front().keys.size());
    }

    void counts_are_passed_on_once_and_states_until_the_next()
    {
        report_collector collector;
        collector.take(report_of("b", 1, 5), start_time);
        static_cast<void>(collector.merge_into(report_of("a", 0, 0), start_time));
        const auto again = collector.merge_into(report_of("a", 0, 0), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), again.workers.front().answers);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), again.workers.front().in_flight);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), again.members.size());
    }

    void a_second_report_replaces_what_runs()
    {
        report_collector collector;
        collector.take(report_of("b", 5, 0), start_time);
        collector.take(report_of("b", 2, 0), start_time);
        const auto merged = collector.merge_into(report_of("a", 0, 0), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), merged.workers.front().in_flight);
    }

    void what_runs_at_a_silent_process_is_forgotten()
    {
        report_collector collector;
        collector.take(report_of("b", 5, 0), start_time);
        const auto merged =
            collector.merge_into(report_of("a", 0, 0), start_time + std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), merged.workers.front().in_flight);
    }

    void the_freshest_is_named()
    {
        report_collector collector;
        auto newer = report_of("b", 0, 0);
        newer.routes_version = 9;
        newer.age_ms = 500;
        collector.take(newer, start_time);
        auto own = report_of("a", 0, 0);
        own.routes_version = 8;
        const auto merged = collector.merge_into(own, start_time);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), merged.freshest.address);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), merged.routes_version);
    }

    /// Guards against unbounded reports when many processes receive requests for the same hot key.
    void times_and_keys_are_bounded()
    {
        report_collector collector;
        auto large = report_of("b", 0, 1);
        large.keys.front().keys.assign(6'000, 7);
        large.workers.front().times_ms.assign(30, 9);
        for (int n = 0; n < 10; ++n)
            collector.take(large, start_time);
        const auto merged = collector.merge_into(report_of("a", 0, 0), start_time);
        CPPUNIT_ASSERT(merged.keys.front().keys.size() <= 8'192);
        CPPUNIT_ASSERT(merged.workers.front().times_ms.size() <= 32);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_report_collector);
