/// Worker selection by many router processes that see the workers' load some hundred ms late.
#include "stale_view_model.hpp"
#include <eelgrassrail/routing/admission.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr double target_part = 0.45; ///< of the objective, as in the request path

/// A large deployment: the Records Division's defect reports after growth.
stale_view_terms grown_reports(double load)
{
    stale_view_terms terms;
    terms.load = load;
    return terms;
}

/// A small deployment: the Ice Authority's rush orders.
stale_view_terms small_rush(double load)
{
    stale_view_terms terms;
    terms.entries = 12;
    terms.workers = 6;
    terms.zones = 3;
    terms.slots = 3;
    terms.queue = 12;
    terms.run_ms = 150;
    terms.objective_ms = 500;
    terms.push_ms = 250;
    terms.load = load;
    return terms;
}

stale_view_result play_ours(const stale_view_terms& terms)
{
    return play_stale_view(terms,
                           [&](const auto& options, auto& random, std::size_t)
                           {
                               std::uniform_real_distribution<double> draw(0, 1);
                               return choose_worker(options, target_part * terms.objective_ms,
                                                    {draw(random), draw(random)})
                                   ->index;
                           });
}

stale_view_result play_least_expected(const stale_view_terms& terms)
{
    return play_stale_view(terms,
                           [](const auto& options, auto&, std::size_t)
                           {
                               const auto it = std::ranges::min_element(options, {}, expected_ms);
                               return static_cast<std::size_t>(it - options.begin());
                           });
}

stale_view_result play_random(const stale_view_terms& terms)
{
    return play_stale_view(terms,
                           [](const auto& options, auto& random, std::size_t)
                           {
                               std::uniform_int_distribution<std::size_t> any(0,
                                                                              options.size() - 1);
                               return any(random);
                           });
}

} // namespace

class unit_worker_choice : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_worker_choice);
    CPPUNIT_TEST(old_figures_draw_no_crowd);
    CPPUNIT_TEST(a_few_entries_lose_nothing);
    CPPUNIT_TEST(most_requests_stay_in_their_zone);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// At a load of 0.8 a fifth of the slots is free: no request should wait long or be refused.
    void old_figures_draw_no_crowd()
    {
        for (const double load : {0.6, 0.8, 0.9})
        {
            const auto ours = play_ours(grown_reports(load));
            const auto least = play_least_expected(grown_reports(load));
            const auto random = play_random(grown_reports(load));
            const auto figures = "load " + std::to_string(load) + ": ours " +
                                 std::to_string(ours.in_time) + ", least expected time " +
                                 std::to_string(least.in_time) + ", random " +
                                 std::to_string(random.in_time);
            std::cout << figures << "\n";
            CPPUNIT_ASSERT_MESSAGE(figures, ours.in_time > 0.95);
            CPPUNIT_ASSERT_MESSAGE(figures, ours.in_time > least.in_time);
            CPPUNIT_ASSERT_MESSAGE(figures, ours.in_time > random.in_time);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(ours.refused), ours.refused < 0.001);
        }
    }

    void a_few_entries_lose_nothing()
    {
        for (const double load : {0.6, 0.8})
        {
            const auto ours = play_ours(small_rush(load));
            const auto least = play_least_expected(small_rush(load));
            const auto figures = "load " + std::to_string(load) + ": ours " +
                                 std::to_string(ours.in_time) + ", least expected time " +
                                 std::to_string(least.in_time);
            std::cout << figures << "\n";
            CPPUNIT_ASSERT_MESSAGE(figures, ours.in_time > 0.95);
            CPPUNIT_ASSERT_MESSAGE(figures, ours.in_time > least.in_time);
        }
    }

    void most_requests_stay_in_their_zone()
    {
        const auto result = play_ours(grown_reports(0.8));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(result.near), result.near > 0.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_worker_choice);
