/// Dissemination of state updates through relays: delay, cost, and the effect of lost relays.
#include "dissemination_model.hpp"
#include <eelgrassrail/dissemination/dissemination_times.hpp>
#include <eelgrassrail/grants/claim_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <numeric>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr millis bound{500}; ///< from a change until the last process has received it

const instant start{std::chrono::hours(1)};

member_report report_of(const std::string& address, const std::string& zone, float processor)
{
    return {{address, zone, processor}, false, false};
}

/// All receivers of a plan, each as often as it is sent to.
std::vector<std::string> reached(const std::vector<relay_part<std::string>>& parts)
{
    std::vector<std::string> result;
    for (const auto& part : parts)
    {
        result.push_back(part.child);
        result.insert(result.end(), part.behind.begin(), part.behind.end());
    }
    std::ranges::sort(result);
    return result;
}

void print(const char* name, const dissemination_conditions& conditions,
           const dissemination_results& figures)
{
    std::cout << "  " << name << " processes=" << conditions.processes
              << " longest_ms=" << figures.longest.count() << " messages_s=" << figures.messages
              << " busiest_bytes_s=" << figures.most_bytes << " root_sends=" << figures.root_sends
              << "\n";
}

} // namespace

class unit_news : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_news);
    CPPUNIT_TEST(each_receiver_is_told_once);
    CPPUNIT_TEST(levels_are_counted);
    CPPUNIT_TEST(the_strongest_of_each_zone_relay);
    CPPUNIT_TEST(a_silent_process_relays_nothing);
    CPPUNIT_TEST(an_orphan_is_told_directly);
    CPPUNIT_TEST(the_two_trees_have_different_relays);
    CPPUNIT_TEST(one_that_has_left_is_told_but_does_not_count);
    CPPUNIT_TEST(silence_is_longer_than_the_way_at_any_size);
    CPPUNIT_TEST(all_hear_in_time_at_any_size);
    CPPUNIT_TEST(lost_and_late_messages);
    CPPUNIT_TEST(any_relay_is_lost);
    CPPUNIT_TEST(relays_freeze);
    CPPUNIT_TEST(a_process_is_cut_off_from_its_relay_only);
    CPPUNIT_TEST(what_other_ways_cost);
    CPPUNIT_TEST_SUITE_END();

  public:
    void each_receiver_is_told_once()
    {
        for (const std::size_t n : {0UL, 1UL, 5UL, 6UL, 7UL, 59UL, 500UL})
        {
            std::vector<int> receivers(n);
            std::iota(receivers.begin(), receivers.end(), 0);
            std::vector<int> reached;
            const auto parts = divide_receivers(std::span<const int>(receivers), relay_degree);
            CPPUNIT_ASSERT(parts.size() <= relay_degree);
            for (const auto& part : parts)
            {
                reached.push_back(part.child);
                reached.insert(reached.end(), part.behind.begin(), part.behind.end());
            }
            std::ranges::sort(reached);
            CPPUNIT_ASSERT(reached == receivers);
        }
    }

    void levels_are_counted()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), relay_levels(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relay_levels(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relay_levels(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relay_levels(42));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), relay_levels(43));
    }

    /// Twenty members in each of two zones.
    static member_table two_zones()
    {
        member_table table;
        for (int n = 0; n < 20; ++n)
            for (const std::string zone : {"a", "b"})
                table.on_member_report(
                    report_of(zone + std::to_string(n + 10), zone, n < 3 ? 0.5F : 0.1F), start);
        return table;
    }

    void the_strongest_of_each_zone_relay()
    {
        const auto parts = two_zones().plan(relay_choice::gathering, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), parts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a10"), parts[0].child);
        CPPUNIT_ASSERT_EQUAL(std::string("a11"), parts[1].child);
        CPPUNIT_ASSERT_EQUAL(std::string("b10"), parts[2].child);
        for (const auto& part : parts)
            for (const auto& address : part.behind)
                CPPUNIT_ASSERT_EQUAL(part.child.front(), address.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), reached(parts).size());
    }

    void a_silent_process_relays_nothing()
    {
        auto table = two_zones();
        const auto later = start + suspect_timeout + millis(1);
        for (const auto& member : table.live_members(start))
            if (member.address != "a10")
                table.on_member_report({member, false, false}, later);
        const auto parts = table.plan(relay_choice::gathering, later);
        CPPUNIT_ASSERT(
            std::ranges::none_of(parts, [](const auto& it) { return it.child == "a10"; }));
        // Pushes are still sent to it, as it may be recovering.
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), reached(parts).size());
        for (const auto& part : parts)
            for (const auto& behind :
                 divide_receivers(std::span<const std::string>(part.behind), relay_degree))
                CPPUNIT_ASSERT(behind.child != "a10" || behind.behind.empty());
    }

    void an_orphan_is_told_directly()
    {
        auto table = two_zones();
        auto orphan = report_of("b25", "b", 0.1F);
        orphan.is_orphan = true;
        table.on_member_report(orphan, start);
        const auto parts = table.plan(relay_choice::gathering, start);
        const auto it = std::ranges::find(parts, "b25", &relay_part<std::string>::child);
        CPPUNIT_ASSERT(it != parts.end() && it->behind.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), reached(parts).size());
    }

    void the_two_trees_have_different_relays()
    {
        const auto table = two_zones();
        const auto one = table.plan(relay_choice::gathering, start);
        const auto other = table.plan(relay_choice::other, start);
        for (const auto& part : one)
            CPPUNIT_ASSERT(std::ranges::none_of(other, [&](const auto& it)
                                                { return it.child == part.child; }));
        CPPUNIT_ASSERT(reached(one) == reached(other));
    }

    /// A process is restarted while the store is unavailable: only the coordinator can send it the
    /// state.
    void one_that_has_left_is_told_but_does_not_count()
    {
        auto table = two_zones();
        auto leaving = report_of("b25", "b", 0.1F);
        leaving.is_leaving = true;
        table.on_member_report(leaving, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(39), table.live_members(start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(40),
                             reached(table.plan(relay_choice::gathering, start)).size());
    }

    /// If the time-out were shorter than the interval between pushes, each process would consider
    /// the coordinator lost after each push.
    void silence_is_longer_than_the_way_at_any_size()
    {
        for (const std::size_t n : {12UL, 70UL, 300UL, 2'305UL})
        {
            const auto levels = static_cast<std::int64_t>(relay_levels(n)) + 1;
            constexpr millis max_hop_delay{20}; // of a push at a small VM
            const auto path_delay = max_hop_delay * levels;
            CPPUNIT_ASSERT(2 * push_interval + path_delay < orphan_timeout);
            CPPUNIT_ASSERT(2 * push_interval + path_delay < suspect_timeout);
            CPPUNIT_ASSERT(3 * push_interval + path_delay < coordinator_timeout);
            CPPUNIT_ASSERT(coordinator_timeout < push_timeout);
        }
    }

    void all_hear_in_time_at_any_size()
    {
        for (const std::size_t n : {12UL, 70UL, 300UL, 2'305UL})
        {
            dissemination_conditions conditions;
            conditions.processes = n;
            conditions.zones = n > 1'000 ? 15 : 5;
            const auto figures = dissemination_model(conditions).run();
            print("calm", conditions, figures);
            CPPUNIT_ASSERT(figures.longest <= bound);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), figures.unknown_count);
        }
    }

    void lost_and_late_messages()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            dissemination_conditions conditions;
            conditions.processes = 300;
            conditions.seed = seed;
            conditions.lost = 0.001;
            conditions.late = 0.01;
            const auto figures = dissemination_model(conditions).run();
            CPPUNIT_ASSERT(figures.longest <= bound);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), figures.unknown_count);
        }
    }

    void any_relay_is_lost()
    {
        for (std::size_t n = 1; n < 100; n += 3)
        {
            dissemination_conditions conditions;
            conditions.processes = 300;
            conditions.seed = n;
            conditions.dead = {n};
            CPPUNIT_ASSERT(dissemination_model(conditions).run().longest <= bound);
        }
    }

    void relays_freeze()
    {
        for (std::size_t n = 1; n < 60; n += 3)
        {
            dissemination_conditions conditions;
            conditions.processes = 300;
            conditions.seed = n;
            conditions.frozen = {n};
            const auto figures = dissemination_model(conditions).run();
            CPPUNIT_ASSERT(figures.longest <= bound);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), figures.unknown_count);
        }
    }

    /// One of the two trees uses another path.
    void a_process_is_cut_off_from_its_relay_only()
    {
        dissemination_conditions conditions;
        conditions.processes = 300;
        for (std::size_t n = 100; n < 120; ++n)
            for (std::size_t zone_first = 0; zone_first < 2; ++zone_first)
                conditions.cuts.insert({n % 5 + zone_first * 5, n});
        const auto figures = dissemination_model(conditions).run();
        CPPUNIT_ASSERT(figures.longest <= bound);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), figures.unknown_count);
    }

    void what_other_ways_cost()
    {
        dissemination_conditions conditions;
        conditions.processes = 300;
        conditions.dead = {5};
        std::map<dissemination_scheme, dissemination_results> all;
        for (const auto& [scheme, name] :
             {std::pair(dissemination_scheme::trees, "two trees"),
              std::pair(dissemination_scheme::flat, "flat"),
              std::pair(dissemination_scheme::one_relay, "one relay a zone"),
              std::pair(dissemination_scheme::one_tree, "one tree")})
        {
            conditions.scheme = scheme;
            all[scheme] = dissemination_model(conditions).run();
            print(name, conditions, all[scheme]);
        }
        CPPUNIT_ASSERT(4 * all[dissemination_scheme::trees].most_bytes <
                       all[dissemination_scheme::flat].most_bytes);
        CPPUNIT_ASSERT(2 * all[dissemination_scheme::trees].most_bytes <
                       all[dissemination_scheme::one_relay].most_bytes);
        CPPUNIT_ASSERT(all[dissemination_scheme::trees].longest <
                       all[dissemination_scheme::one_tree].longest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_news);
