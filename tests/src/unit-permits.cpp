/// Permits for requests to a worker with a rate limit, issued to 12 and to 300 processes.
#include "limit_simulation.hpp"
#include "limit_window.hpp"
#include "support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <string>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr std::array<double, 6> all_limits{0.2, 1, 2.9, 10, 40, 100};

/// A demand of four times the limit, and long enough for 20 requests.
limit_terms make_terms(std::size_t processes, double per_s)
{
    limit_terms terms;
    terms.processes = processes;
    terms.per_s = per_s;
    terms.demand = 4 * per_s;
    terms.length_s = std::max(40.0, terms.named_at_s + 3 + 20 / per_s);
    return terms;
}

std::string text(const limit_terms& terms, const limit_result& result)
{
    return std::to_string(terms.processes) + " processes, limit " + std::to_string(terms.per_s) +
           ", seed " + std::to_string(terms.seed) + ": at most " + std::to_string(result.most) +
           " in 4 s, used " + std::to_string(result.used) + ", asks per s " +
           std::to_string(result.asks_per_s);
}

limit_result play(limit_terms terms, limit_policy policy = limit_policy::permits)
{
    terms.policy = policy;
    return limit_simulation(terms).play();
}

/// Calls a function with the terms for each number of processes, limit and seed.
template <class Check>
void for_all_terms(Check check)
{
    for (const std::size_t processes : {std::size_t{12}, std::size_t{300}})
        for (const double per_s : all_limits)
            for (const unsigned seed : {1U, 2U, 3U})
            {
                auto terms = make_terms(processes, per_s);
                terms.seed = seed;
                check(terms);
            }
}

void check_bound(const limit_terms& terms, const limit_result& result)
{
    CPPUNIT_ASSERT_MESSAGE(text(terms, result),
                           static_cast<double>(result.most) <= allowed_in_window(terms.per_s));
}

void check_use(const limit_terms& terms, const limit_result& result, double min_used)
{
    CPPUNIT_ASSERT_MESSAGE(text(terms, result), result.used >= min_used);
}

} // namespace

class unit_permits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_permits);
    CPPUNIT_TEST(a_worker_without_a_limit_needs_no_permit);
    CPPUNIT_TEST(a_bucket_issues_its_rate);
    CPPUNIT_TEST(a_limit_of_zero_is_tried);
    CPPUNIT_TEST(refused_callers_return_one_after_the_other);
    CPPUNIT_TEST(urgent_requests_have_a_reserve);
    CPPUNIT_TEST(requests_without_a_permit_count);
    CPPUNIT_TEST(a_limit_without_requests_is_not_confirmed);
    CPPUNIT_TEST(an_unsettled_coordinator_takes_no_limit_away);
    CPPUNIT_TEST(the_sum_over_all_processes_is_bounded_and_used);
    CPPUNIT_TEST(repeats_do_not_exceed_the_limit);
    CPPUNIT_TEST(a_small_demand_is_served);
    CPPUNIT_TEST(full_use_returns);
    CPPUNIT_TEST(a_changed_limit_holds);
    CPPUNIT_TEST(a_lost_coordinator);
    CPPUNIT_TEST(processes_that_are_cut_off);
    CPPUNIT_TEST(restarted_processes);
    CPPUNIT_TEST(an_earlier_version_among_the_processes);
    CPPUNIT_TEST(an_earlier_version_under_overload);
    CPPUNIT_TEST(an_earlier_version_in_half_of_the_processes);
    CPPUNIT_TEST(an_earlier_version_in_half_of_the_processes_under_overload);
    CPPUNIT_TEST(an_earlier_version_as_the_coordinator);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_worker_without_a_limit_needs_no_permit()
    {
        permit_ledger ledger;
        CPPUNIT_ASSERT(ledger.take("w1", false, start_time).is_granted);
        CPPUNIT_ASSERT(ledger.limits().empty());
    }

    void a_bucket_issues_its_rate()
    {
        permit_ledger ledger;
        ledger.set({"w1", 5}, start_time);
        int granted = 0;
        for (int n = 0; n < 10'000; n += 10)
            granted += ledger.take("w1", true, start_time + millis(n)).is_granted ? 1 : 0;
        CPPUNIT_ASSERT(granted >= 49 && granted <= 51);
    }

    /// A limit of zero still permits a request now and then, whose answer shows whether it holds.
    void a_limit_of_zero_is_tried()
    {
        permit_ledger ledger;
        CPPUNIT_ASSERT(ledger.set({"w1", 0}, start_time));
        CPPUNIT_ASSERT(!ledger.set({"w1", 0}, start_time));
        CPPUNIT_ASSERT(ledger.limits().front() == (rate_limit{"w1", 0}));
        CPPUNIT_ASSERT(!ledger.take("w1", true, start_time).is_granted);
        CPPUNIT_ASSERT(ledger.take("w1", true, start_time + millis(10'000)).is_granted);
    }

    void refused_callers_return_one_after_the_other()
    {
        permit_ledger ledger;
        ledger.restart(std::array{rate_limit{"w1", 2}}, start_time);
        double last_ms = 0;
        for (int n = 1; n <= 6; ++n)
        {
            const auto denial = ledger.take("w1", true, start_time);
            CPPUNIT_ASSERT(!denial.is_granted);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, denial.next_ms, 1.0);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, denial.retry_after_ms - last_ms, 1.0);
            last_ms = denial.retry_after_ms;
        }
        for (int n = 0; n < 100; ++n)
            CPPUNIT_ASSERT(ledger.take("w1", true, start_time).retry_after_ms <= 10'001);

        limit_table table;
        table.observe("w1", {2.0, true, start_time}, start_time);
        CPPUNIT_ASSERT_EQUAL(0.0, table.queue_caller("w1", start_time));
        table.on_denied("w1", {false, 100, 200}, start_time);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, table.queue_caller("w1", start_time), 1.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000.0, table.queue_caller("w1", start_time), 1.0);
        CPPUNIT_ASSERT_EQUAL(0.0, table.queue_caller("w1", start_time + millis(100)));
    }

    void urgent_requests_have_a_reserve()
    {
        permit_ledger ledger;
        ledger.set({"w1", 10}, start_time);
        const auto later = start_time + millis(10'000);
        while (ledger.take("w1", false, later).is_granted)
        {
        }
        CPPUNIT_ASSERT(ledger.take("w1", true, later).is_granted);
    }

    void requests_without_a_permit_count()
    {
        permit_ledger ledger;
        ledger.set({"w1", 2}, start_time);
        auto at = start_time + millis(5'000);
        CPPUNIT_ASSERT(ledger.take("w1", true, at).is_granted);
        ledger.on_completed("w1", 1, at);
        CPPUNIT_ASSERT(ledger.take("w1", true, at).is_granted);
        ledger.on_completed("w1", 100, at);
        CPPUNIT_ASSERT(ledger.is_overdrawn("w1", 0, at));
        CPPUNIT_ASSERT(!ledger.take("w1", true, at + millis(2'000)).is_granted);
        // The debt is bounded: permits are issued again soon after.
        CPPUNIT_ASSERT(ledger.take("w1", true, at + millis(7'100)).is_granted);
        CPPUNIT_ASSERT(!ledger.is_overdrawn("w1", 0, at + millis(7'100)));
        CPPUNIT_ASSERT(ledger.is_overdrawn("w1", 10, at + millis(7'100)));
    }

    void a_limit_without_requests_is_not_confirmed()
    {
        permit_ledger ledger;
        ledger.set({"w1", 2}, start_time);
        CPPUNIT_ASSERT(ledger.find_confirmed("w1", start_time + millis(1'000)));
        CPPUNIT_ASSERT(!ledger.find_confirmed("w1", start_time + millis(6'000)));
        CPPUNIT_ASSERT(ledger.find("w1"));
    }

    void an_unsettled_coordinator_takes_no_limit_away()
    {
        limit_table table;
        table.observe("w1", {4.0, true, start_time}, start_time);
        const auto later = start_time + millis(10'000);
        const auto unknown = table.apply({}, false, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), unknown.size());
        CPPUNIT_ASSERT(unknown.front() == (rate_limit{"w1", 4.0}));
        CPPUNIT_ASSERT(table.find("w1"));
        CPPUNIT_ASSERT(table.apply({}, true, later).empty());
        CPPUNIT_ASSERT(!table.find("w1"));
    }

    /// In one run with processes that ignore the limit, and with an even split of it.
    void the_sum_over_all_processes_is_bounded_and_used()
    {
        for_all_terms(
            [](const limit_terms& terms)
            {
                const auto ours = play(terms);
                const auto ignored = play(terms, limit_policy::none);
                const auto split = play(terms, limit_policy::even_split);
                if (terms.seed == 1)
                    std::cout << text(terms, ours) << "; ignored: " << ignored.most << ", "
                              << ignored.used << "; even split: " << split.most << ", "
                              << split.used << "\n";
                check_bound(terms, ours);
                check_use(terms, ours, 0.85);
                // An even split exceeds the limit or leaves most of it unused.
                const bool split_fails =
                    static_cast<double>(split.most) > allowed_in_window(terms.per_s) ||
                    split.used < ours.used;
                CPPUNIT_ASSERT(terms.processes < 100 || split_fails);
                CPPUNIT_ASSERT(ignored.used > 3);
                CPPUNIT_ASSERT_MESSAGE(text(terms, ours), ours.max_decision_ms < 250);
            });
    }

    /// Refused callers return to another process; the demand is twenty times the limit.
    void repeats_do_not_exceed_the_limit()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.demand = 20 * terms.per_s;
                terms.length_s = std::min(terms.length_s, 60.0);
                const auto result = play(terms);
                check_bound(terms, result);
                check_use(terms, result, 0.8);
                CPPUNIT_ASSERT(result.min_retry_after_ms > 0);
            });
    }

    void a_small_demand_is_served()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.demand = 0.6 * terms.per_s;
                const auto result = play(terms);
                check_bound(terms, result);
                if (terms.per_s >= 10)
                    check_use(terms, result, 0.5);
            });
    }

    void full_use_returns()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.withdrawn_at_s = 20;
                // The next answer shows the withdrawal; with a small limit it takes as long.
                terms.length_s = 40 + 10 / terms.per_s;
                const auto result = play(terms);
                check_bound(terms, result);
                CPPUNIT_ASSERT_MESSAGE(text(terms, result) + " full " + std::to_string(result.full),
                                       result.full > 0.8);
            });
    }

    void a_changed_limit_holds()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.changed_at_s = 15;
                terms.changed_per_s = terms.per_s / 2;
                const auto result = play(terms);
                check_bound(terms, result);
                check_use(terms, result, 0.4);
            });
    }

    void a_lost_coordinator()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.coordinator_lost_at_s = 15;
                const auto result = play(terms);
                check_bound(terms, result);
                check_use(terms, result, 0.75);
            });
    }

    /// A third of the processes reaches the worker, but not the coordinator.
    void processes_that_are_cut_off()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.cut = {12, 20, terms.processes / 3, 2 * terms.processes / 3};
                const auto result = play(terms);
                check_bound(terms, result);
                check_use(terms, result, 0.85);
            });
    }

    void restarted_processes()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.restarted = {12, 12, terms.processes / 2, terms.processes / 2 + 4};
                const auto result = play(terms);
                check_bound(terms, result);
                check_use(terms, result, 0.8);
            });
    }

    /// One of twelve processes asks for no permits. Its requests are charged, and while they exceed
    /// the limit the worker is reported as full.
    void an_earlier_version_among_the_processes()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.old_processes = terms.processes / 12;
                terms.busy_share = 0;
                const auto result = play(terms);
                check_bound(terms, result);
                check_use(terms, result, 0.8);
            });
    }

    void an_earlier_version_under_overload()
    {
        for_all_terms([](const limit_terms& terms) { check_old_processes(terms, 12, 20); });
    }

    void an_earlier_version_in_half_of_the_processes()
    {
        for_all_terms([](const limit_terms& terms) { check_old_processes(terms, 2, 4); });
    }

    void an_earlier_version_in_half_of_the_processes_under_overload()
    {
        for_all_terms([](const limit_terms& terms) { check_old_processes(terms, 2, 20); });
    }

    /// It answers no requests for permits and announces no limits. Each process learns of the limit
    /// by its own first answer, and the processes use a part of the limit on their own.
    void an_earlier_version_as_the_coordinator()
    {
        for_all_terms(
            [](limit_terms terms)
            {
                terms.coordinator_lost_at_s = 0;
                terms.cut = {0, 1e9, 1, 2}; // nor does its successor
                terms.cut.last = terms.processes;
                terms.length_s = std::min(terms.length_s, 60.0);
                const auto result = play(terms);
                CPPUNIT_ASSERT_MESSAGE(text(terms, result),
                                       static_cast<double>(result.most_informed) <=
                                           allowed_in_window(terms.per_s));
            });
    }

  private:
    /// @param old_part one of so many processes asks for no permits
    /// @param demand relative to the limit
    static void check_old_processes(limit_terms terms, std::size_t old_part, double demand)
    {
        terms.old_processes = terms.processes / old_part;
        terms.busy_share = 0;
        terms.demand = demand * terms.per_s;
        terms.length_s = std::min(terms.length_s, 60.0);
        const auto result = play(terms);
        check_bound(terms, result);
        check_use(terms, result, 0.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_permits);
