/// The pace of workers that have started or recovered: its course, and the bound on the requests
/// that a cold worker gets in any second.
#include "support.hpp"
#include <eelgrassrail/limits/limit_table.hpp>
#include <eelgrassrail/limits/pace_controller.hpp>
#include <eelgrassrail/limits/permit_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr double cold_per_s = 6.2;
constexpr double overage = 1.5;
constexpr double slack = 8.0;
constexpr double max_in_a_second = cold_per_s * overage + slack;
constexpr double capacity_per_s = 26.0; // six slots, 230 ms a request
constexpr millis cold_time{3'000};

pace_bounds bounds()
{
    return make_pace_bounds(cold_per_s, overage, slack);
}

/// A worker that responds in the same way in each step.
struct steady_worker
{
    explicit steady_worker(pace_sample each_step)
        : sample(each_step)
    {
    }

    /// Plays a time in steps of the controller.
    void play(millis time)
    {
        for (const auto until = now + time; now < until;)
        {
            now += pace_controller::step;
            pace.add(sample);
            pace.update(capacity_per_s, now);
        }
    }

    pace_sample sample;
    instant now{start_time};
    pace_controller pace{bounds(), start_time + cold_time, start_time};
};

/// Largest number of the times that lie in one second; sorts them.
std::ptrdiff_t most_in_a_second(std::vector<instant>& times)
{
    std::ranges::sort(times);
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
        most = std::max(most, std::upper_bound(first, times.end(), *first + millis(1'000)) - first);
    return most;
}

} // namespace

class unit_pace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_pace);
    CPPUNIT_TEST(a_worker_that_answers_gets_more_until_it_is_warm);
    CPPUNIT_TEST(a_cold_worker_without_requests_keeps_its_pace);
    CPPUNIT_TEST(failures_lower_the_pace_but_not_to_nothing);
    CPPUNIT_TEST(slow_answers_lower_the_pace);
    CPPUNIT_TEST(a_worker_that_turns_cold_again_starts_over);
    CPPUNIT_TEST(a_service_without_a_bound_keeps_to_its_rate);
    CPPUNIT_TEST(a_flood_stays_below_the_bound_in_any_second);
    CPPUNIT_TEST(a_worker_that_turns_cold_under_a_flood_stays_below_the_bound);
    CPPUNIT_TEST(a_prolonged_cold_time_does_not_start_the_pace_over);
    CPPUNIT_TEST(a_shortened_cold_time_lifts_the_bound);
    CPPUNIT_TEST(lower_figures_of_the_configuration_apply_at_once);
    CPPUNIT_TEST(few_failures_and_unknown_times_do_not_lower_the_pace);
    CPPUNIT_TEST(a_pace_above_the_capacity_ends_only_when_the_worker_is_warm);
    CPPUNIT_TEST(a_new_coordinator_starts_with_empty_buckets);
    CPPUNIT_TEST(a_presumed_pace_gives_way_to_the_announced_one);
    CPPUNIT_TEST(a_new_coordinator_that_knows_no_pace_keeps_the_presumed_one);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// A fixed share left workers idle long after they had warmed up.
    void a_worker_that_answers_gets_more_until_it_is_warm()
    {
        steady_worker it({2, 0, 400, 230});
        it.play(cold_time - pace_controller::step);
        CPPUNIT_ASSERT(it.pace.per_s() > bounds().initial_per_s);
        CPPUNIT_ASSERT(it.pace.per_s() <= bounds().max_cold_per_s);
        CPPUNIT_ASSERT(!it.pace.has_ended());
        it.play(millis(2'000));
        CPPUNIT_ASSERT(it.pace.has_ended());
    }

    void a_cold_worker_without_requests_keeps_its_pace()
    {
        steady_worker it({});
        it.play(cold_time - pace_controller::step);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(bounds().initial_per_s, it.pace.per_s(), 1e-9);
        it.play(millis(3'000)); // a warm one is not held back
        CPPUNIT_ASSERT(it.pace.has_ended());
    }

    /// A worker that crashes under its requests must not be flooded as soon as it is back, and must
    /// still get requests that show when it has recovered.
    void failures_lower_the_pace_but_not_to_nothing()
    {
        steady_worker it({0, 3, 0, 230});
        it.play(millis(10'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, it.pace.per_s(), 1e-9);
        CPPUNIT_ASSERT(!it.pace.has_ended());
        it.sample = {2, 0, 240, 230};
        it.play(millis(4'000));
        CPPUNIT_ASSERT(it.pace.has_ended());
    }

    void slow_answers_lower_the_pace()
    {
        steady_worker it({2, 0, 2'000, 230});
        it.play(millis(1'500));
        CPPUNIT_ASSERT(it.pace.per_s() < bounds().initial_per_s);
    }

    void a_worker_that_turns_cold_again_starts_over()
    {
        steady_worker it({2, 0, 240, 230});
        it.play(cold_time + millis(2'000));
        CPPUNIT_ASSERT(it.pace.has_ended());
        it.pace.set_cold_until(it.now + cold_time, it.now);
        CPPUNIT_ASSERT(!it.pace.has_ended());
        CPPUNIT_ASSERT(it.pace.per_s() <= bounds().initial_per_s);
    }

    void a_service_without_a_bound_keeps_to_its_rate()
    {
        const auto found = make_pace_bounds(cold_per_s, 0, 0);
        CPPUNIT_ASSERT(found.max_cold_per_s > 0);
        CPPUNIT_ASSERT(found.max_cold_per_s < cold_per_s);
        CPPUNIT_ASSERT(found.initial_per_s <= found.max_cold_per_s);
    }

    /// Many callers want the keys of a cold worker: 200 requests a second, permits that are used up
    /// to 400 ms after they were issued, and processes that decide alone at the same time.
    void a_flood_stays_below_the_bound_in_any_second()
    {
        constexpr int seconds = 60;
        std::mt19937 random(1);
        std::uniform_int_distribution<int> delay_ms(0, 400);
        permit_ledger ledger;
        ledger.set({"w", bounds().max_cold_per_s}, start_time);
        constexpr std::size_t processes = 79;
        std::vector<limit_table> alone(processes);
        for (auto& it : alone)
            it.presume({"w", bounds().max_cold_per_s}, start_time);
        std::vector<instant> arrivals;
        for (auto now = start_time; now < start_time + std::chrono::seconds(seconds);
             now += millis(5))
        {
            if (ledger.take("w", true, now).is_granted)
                arrivals.push_back(now + millis(delay_ms(random)));
            for (std::size_t rank = 0; rank < processes; ++rank)
                if (alone[rank].take_alone("w", {rank, processes}, now).is_granted)
                    arrivals.push_back(now);
        }
        CPPUNIT_ASSERT(static_cast<double>(most_in_a_second(arrivals)) <= max_in_a_second);
        // The room is used: a worker that gets nothing stays idle.
        CPPUNIT_ASSERT(static_cast<double>(arrivals.size()) > cold_per_s * seconds);
    }

    /// The tokens that a bucket had saved up at the full rate were spent in the cold time.
    void a_worker_that_turns_cold_under_a_flood_stays_below_the_bound()
    {
        std::mt19937 random(2);
        std::uniform_int_distribution<int> delay_ms(0, 400);
        steady_worker it({5, 0, 240, 230});
        permit_ledger ledger;
        std::vector<instant> arrivals;
        std::size_t idle_steps = 0;
        const auto play = [&](millis time)
        {
            for (const auto until = it.now + time; it.now < until;)
            {
                it.play(pace_controller::step);
                ledger.set({"w", it.pace.per_s()}, it.now);
                // Now and then there is no demand, and the bucket fills.
                if (++idle_steps % 7 == 0)
                    continue;
                for (auto at = it.now; at < it.now + pace_controller::step; at += millis(5))
                    if (ledger.take("w", true, at).is_granted)
                        arrivals.push_back(at + millis(delay_ms(random)));
            }
        };
        for (int n = 0; n < 20; ++n)
        {
            play(cold_time + millis(1'000 + 250 * n));
            it.pace.set_cold_until(it.now + cold_time, it.now);
            ledger.set({"w", it.pace.per_s()}, it.now);
            arrivals.clear(); // the bound holds from now on
            play(cold_time - pace_controller::step);
            CPPUNIT_ASSERT(it.pace.is_cold(it.now));
            CPPUNIT_ASSERT(static_cast<double>(most_in_a_second(arrivals)) <= max_in_a_second);
        }
    }

    /// The entry of a worker is renewed with its remaining cold time, which varies by some ms.
    void a_prolonged_cold_time_does_not_start_the_pace_over()
    {
        steady_worker it({2, 0, 400, 230});
        it.play(millis(1'000));
        const double before = it.pace.per_s();
        it.pace.set_cold_until(it.now + cold_time, it.now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before, it.pace.per_s(), 1e-9);
        it.play(cold_time - pace_controller::step);
        CPPUNIT_ASSERT(it.pace.per_s() <= bounds().max_cold_per_s);
        CPPUNIT_ASSERT(!it.pace.has_ended());
    }

    /// A worker that was only presumed to be cold says that it is warm.
    void a_shortened_cold_time_lifts_the_bound()
    {
        steady_worker it({2, 0, 240, 230});
        it.play(millis(500));
        it.pace.set_cold_until(it.now, it.now);
        it.play(millis(2'500));
        CPPUNIT_ASSERT(it.pace.has_ended());
    }

    /// A pace that had begun kept to the bound that the service had stated before.
    void lower_figures_of_the_configuration_apply_at_once()
    {
        steady_worker it({2, 0, 400, 230});
        it.play(millis(1'500));
        const auto lower = make_pace_bounds(2.0, overage, 2.0);
        CPPUNIT_ASSERT(it.pace.per_s() > lower.max_cold_per_s);
        it.pace.set_bounds(lower, it.now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(lower.max_cold_per_s, it.pace.per_s(), 1e-9);
        it.play(millis(1'000));
        CPPUNIT_ASSERT(it.pace.per_s() <= lower.max_cold_per_s);
    }

    /// A single reset, or a service without known run times, must not hold a worker back.
    void few_failures_and_unknown_times_do_not_lower_the_pace()
    {
        steady_worker failing({1, 1, 0, 0});
        failing.play(millis(1'000));
        CPPUNIT_ASSERT(failing.pace.per_s() >= bounds().initial_per_s);
        steady_worker unknown({2, 0, 2'000, 0});
        unknown.play(millis(1'000));
        CPPUNIT_ASSERT(unknown.pace.per_s() >= bounds().initial_per_s);
    }

    /// A small or slow worker can run less than its cold rate, and is still cold.
    void a_pace_above_the_capacity_ends_only_when_the_worker_is_warm()
    {
        constexpr double small_capacity_per_s = 1.0;
        pace_controller pace(bounds(), start_time + cold_time, start_time);
        auto now = start_time;
        for (; now + pace_controller::step < start_time + cold_time;)
        {
            now += pace_controller::step;
            pace.add({1, 0, 240, 230});
            pace.update(small_capacity_per_s, now);
            CPPUNIT_ASSERT(!pace.has_ended());
        }
        now += pace_controller::step;
        pace.update(small_capacity_per_s, now);
        CPPUNIT_ASSERT(pace.has_ended());
    }

    /// The predecessor may have issued permits until a moment ago.
    void a_new_coordinator_starts_with_empty_buckets()
    {
        permit_ledger ledger;
        const std::vector<rate_limit> known{{"w", bounds().max_cold_per_s}};
        ledger.restart(known, start_time);
        CPPUNIT_ASSERT(!ledger.take("w", true, start_time).is_granted);
        CPPUNIT_ASSERT(!ledger.take("w", true, start_time + millis(100)).is_granted);
        CPPUNIT_ASSERT(ledger.take("w", true, start_time + millis(200)).is_granted);
    }

    /// Without it, a worker whose state is not known would be flooded during the change.
    void a_new_coordinator_that_knows_no_pace_keeps_the_presumed_one()
    {
        limit_table paces;
        paces.presume({"w", 6.0}, start_time);
        const auto later = start_time + millis(1'500);
        paces.apply({}, false, later);
        CPPUNIT_ASSERT(paces.find("w").has_value());
        paces.apply({}, true, later);
        CPPUNIT_ASSERT(!paces.find("w"));
    }

    void a_presumed_pace_gives_way_to_the_announced_one()
    {
        limit_table paces;
        paces.presume({"w", 6.0}, start_time);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, *paces.find("w"), 1e-9);
        const std::vector<rate_limit> announced{{"w", 7.5}};
        const auto later = start_time + millis(1'500);
        paces.apply(announced, true, later);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.5, *paces.find("w"), 1e-9);
        paces.presume({"w", 6.0}, later);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.5, *paces.find("w"), 1e-9);
        paces.apply({}, true, later + millis(100));
        CPPUNIT_ASSERT(!paces.find("w"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_pace);
