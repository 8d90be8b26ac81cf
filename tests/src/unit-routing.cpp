/// Routes, weighted splits, worker selection, admission, and the worker registry.
#include "support.hpp"
#include <eelgrassrail/registry/worker_registry.hpp>
#include <eelgrassrail/routing/admission.hpp>
#include <eelgrassrail/routing/route_table.hpp>
#include <eelgrassrail/routing/split_chooser.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

route make_route(const std::string& host, const std::string& prefix)
{
    route result;
    result.name = host + prefix;
    result.host = host;
    result.path_prefix = prefix;
    result.services.push_back({"s", 1.0});
    return result;
}

worker_change entry(const std::string& id, std::uint64_t offset, std::uint64_t born = 1)
{
    worker_change change;
    change.id = id;
    change.offset = offset;
    change.entry = {{id, born}, "s", "127.0.0.1:1", "z", 3, false, 0};
    return change;
}

worker_change removal(const std::string& id, std::uint64_t offset)
{
    worker_change change;
    change.id = id;
    change.offset = offset;
    change.is_removed = true;
    return change;
}

worker_option option(std::uint32_t in_flight, double run_ms, bool is_same_zone = true)
{
    worker_option result;
    result.slots = 3;
    result.in_flight = in_flight;
    result.run_ms = run_ms;
    result.is_same_zone = is_same_zone;
    return result;
}

/// Simulates workers of different speed, where the selection determines the queueing time. Requests
/// arrive evenly; a worker runs `slots` requests concurrently.
/// @return mean time until the answer
template <class Chooser>
double mean_time(Chooser choose)
{
    const std::vector<double> runs{150, 250, 400, 150, 250, 400};
    std::vector<std::vector<double>> busy_until(runs.size(), std::vector<double>(3, 0.0));
    std::mt19937 random(11);
    double sum = 0;
    constexpr int requests = 2'000;
    for (int n = 0; n < requests; ++n)
    {
        const double now = n * 14.0;
        std::vector<worker_option> options;
        for (std::size_t w = 0; w < runs.size(); ++w)
        {
            std::uint32_t in_flight = 0;
            for (const double until : busy_until[w])
                in_flight +=
                    static_cast<std::uint32_t>(std::ceil(std::max(0.0, until - now) / runs[w]));
            options.push_back(option(in_flight, runs[w]));
        }
        const std::size_t chosen = choose(options, random);
        auto& slot = *std::ranges::min_element(busy_until[chosen]);
        slot = std::max(slot, now) + runs[chosen];
        sum += slot - now;
    }
    return sum / requests;
}

} // namespace

class unit_routing : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_routing);
    CPPUNIT_TEST(the_longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(no_route_of_another_host_matches);
    CPPUNIT_TEST(a_split_keeps_its_weights_in_any_span);
    CPPUNIT_TEST(a_split_follows_changed_weights);
    CPPUNIT_TEST(an_idle_worker_is_chosen);
    CPPUNIT_TEST(the_fullest_worker_is_not_chosen);
    CPPUNIT_TEST(a_near_worker_is_preferred_within_comfort);
    CPPUNIT_TEST(a_failing_worker_is_avoided_while_others_work);
    CPPUNIT_TEST(all_excluded_gives_nothing);
    CPPUNIT_TEST(least_expected_time_beats_the_baselines);
    CPPUNIT_TEST(a_free_slot_admits);
    CPPUNIT_TEST(a_queue_ends_by_the_objective);
    CPPUNIT_TEST(an_entry_keeps_to_its_share_of_a_full_worker);
    CPPUNIT_TEST(a_run_that_can_not_end_in_time_is_refused);
    CPPUNIT_TEST(the_newest_entry_counts_in_any_order);
    CPPUNIT_TEST(the_end_is_where_reading_goes_on);
    CPPUNIT_TEST(a_heartbeat_is_no_news);
    CPPUNIT_TEST(an_address_settles_unless_entries_name_others);
    CPPUNIT_TEST(a_listing_removes_what_it_lacks);
    CPPUNIT_TEST(a_removal_from_a_listing_is_newer_than_the_entry);
    CPPUNIT_TEST(an_older_listing_adds_no_removed_worker);
    CPPUNIT_TEST_SUITE_END();

  public:
    void the_longest_prefix_of_the_host_wins()
    {
        route_table table;
        table.routes = {make_route("h", "/a/"), make_route("h", "/a/b/"),
                        make_route("i", "/a/b/c/")};
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), table.find("h", "/a/b/c/d")->path_prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), table.find("h", "/a/bc")->path_prefix);
    }

    void no_route_of_another_host_matches()
    {
        route_table table;
        table.routes = {make_route("h", "/a/")};
        CPPUNIT_ASSERT(table.find("g", "/a/") == nullptr);
        CPPUNIT_ASSERT(table.find("h", "/a") == nullptr);
        CPPUNIT_ASSERT(table.find_service("s") == nullptr);
    }

    void a_split_keeps_its_weights_in_any_span()
    {
        auto split = make_route("h", "/");
        split.services = {{"a", 90}, {"b", 10}};
        split_chooser chooser;
        int b = 0;
        for (int n = 1; n <= 500; ++n)
        {
            b += chooser.choose(split) == "b" ? 1 : 0;
            CPPUNIT_ASSERT(std::abs(b - n * 0.1) <= 1.0);
        }
    }

    void a_split_follows_changed_weights()
    {
        auto split = make_route("h", "/");
        split.services = {{"a", 1}, {"b", 1}};
        split_chooser chooser;
        for (int n = 0; n < 11; ++n)
            static_cast<void>(chooser.choose(split));
        split.services = {{"c", 3}, {"a", 1}};
        int c = 0;
        for (int n = 0; n < 100; ++n)
            c += chooser.choose(split) == "c" ? 1 : 0;
        CPPUNIT_ASSERT(c >= 73 && c <= 77);
    }

    void an_idle_worker_is_chosen()
    {
        const std::vector<worker_option> options{option(5, 200), option(0, 200)};
        for (double first = 0; first < 1; first += 0.1)
            for (double second = 0; second < 1; second += 0.1)
                CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                     choose_worker(options, 0, {first, second})->index);
    }

    void the_fullest_worker_is_not_chosen()
    {
        const std::vector<worker_option> options{option(5, 200), option(0, 200), option(4, 200)};
        for (double first = 0; first < 1; first += 0.1)
            for (double second = 0; second < 1; second += 0.1)
                CPPUNIT_ASSERT(choose_worker(options, 0, {first, second})->index != 0);
    }

    void a_near_worker_is_preferred_within_comfort()
    {
        const std::vector<worker_option> options{option(0, 100, false), option(1, 200, true)};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), choose_worker(options, 270, {0.5, 0.5})->index);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), choose_worker(options, 0, {0.5, 0.5})->index);
    }

    void a_failing_worker_is_avoided_while_others_work()
    {
        std::vector<worker_option> options{option(0, 100), option(2, 200)};
        options[0].failing = 0.5;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), choose_worker(options, 0, {0.5, 0.5})->index);
        options[1].is_excluded = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), choose_worker(options, 0, {0.5, 0.5})->index);
    }

    void all_excluded_gives_nothing()
    {
        std::vector<worker_option> options{option(0, 100)};
        options[0].is_excluded = true;
        CPPUNIT_ASSERT(!choose_worker(options, 0, {0.5, 0.5}));
        CPPUNIT_ASSERT(!choose_worker(std::span<const worker_option>(), 0, {0.5, 0.5}));
    }

    void least_expected_time_beats_the_baselines()
    {
        std::uniform_real_distribution<double> draw(0, 1);
        const auto ours = mean_time(
            [&](const auto& options, auto& random) {
                return choose_worker(options, 0, {draw(random), draw(random)})->index;
            });
        std::size_t turn = 0;
        const auto round_robin =
            mean_time([&](const auto& options, auto&) { return turn++ % options.size(); });
        const auto two_choices = mean_time(
            [&](const auto& options, auto& random)
            {
                std::uniform_int_distribution<std::size_t> any(0, options.size() - 1);
                const auto a = any(random);
                const auto b = any(random);
                return options[a].in_flight <= options[b].in_flight ? a : b;
            });
        const auto figures = std::to_string(ours) + " " + std::to_string(two_choices) + " " +
                             std::to_string(round_robin);
        CPPUNIT_ASSERT_MESSAGE(figures, ours < two_choices);
        CPPUNIT_ASSERT(two_choices < round_robin);
    }

    void a_free_slot_admits()
    {
        admission_inputs inputs{600, 2'000, 0, 12};
        CPPUNIT_ASSERT(admit(option(0, 200), inputs).is_admitted);
        CPPUNIT_ASSERT(admit(option(2, 200), inputs).is_admitted);
    }

    void a_queue_ends_by_the_objective()
    {
        // Three slots of 200 ms run 9 requests within 600 ms; a few more may be late.
        admission_inputs inputs{600, 2'000, 0, 1};
        CPPUNIT_ASSERT(admit(option(8, 200), inputs).is_admitted);
        const auto full = admit(option(14, 200), inputs);
        CPPUNIT_ASSERT(!full.is_admitted);
        CPPUNIT_ASSERT(full.retry_after_ms >= 100 && full.retry_after_ms <= 1'000);
        CPPUNIT_ASSERT(!admit(option(8, 200), {200, 200, 0, 1}).is_admitted);
    }

    void an_entry_keeps_to_its_share_of_a_full_worker()
    {
        admission_inputs inputs{600, 2'000, 4, 12};
        CPPUNIT_ASSERT(!admit(option(5, 200), inputs).is_admitted);
        inputs.own_in_flight = 0;
        CPPUNIT_ASSERT(admit(option(5, 200), inputs).is_admitted);
    }

    void a_run_that_can_not_end_in_time_is_refused()
    {
        CPPUNIT_ASSERT(!admit(option(0, 200), {600, 150, 0, 1}).is_admitted);
    }

    void the_newest_entry_counts_in_any_order()
    {
        worker_registry workers;
        workers.apply(entry("a", 5), start_time);
        CPPUNIT_ASSERT(workers.apply(removal("a", 9), start_time));
        CPPUNIT_ASSERT(!workers.apply(entry("a", 7), start_time));
        CPPUNIT_ASSERT(workers.ready("s").empty());
        CPPUNIT_ASSERT(workers.apply(entry("a", 10), start_time));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.ready("s").size());
    }

    /// Guards against skipping records: a change with a high offset, such as of a listing in
    /// several pages, does not show that those before it were read.
    void the_end_is_where_reading_goes_on()
    {
        worker_registry workers;
        workers.apply(entry("a", 10), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), workers.end_offset());
        workers.advance(11);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), workers.end_offset());
        workers.advance(4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), workers.end_offset());
    }

    void a_heartbeat_is_no_news()
    {
        worker_registry workers;
        workers.apply(entry("a", 1), start_time);
        const auto revision = workers.revision();
        CPPUNIT_ASSERT(!workers.apply(entry("a", 2), start_time));
        CPPUNIT_ASSERT_EQUAL(revision, workers.revision());
        auto leaving = entry("a", 3);
        leaving.entry.is_leaving = true;
        CPPUNIT_ASSERT(workers.apply(leaving, start_time));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.changes_since(revision).size());
        CPPUNIT_ASSERT(workers.ready("s").empty());
    }

    /// Guards against removed workers that stay in use at processes which learn of them by changes:
    /// the record of the removal was deleted, so the coordinator learned of it from a listing.
    void a_removal_from_a_listing_is_newer_than_the_entry()
    {
        worker_registry coordinator;
        worker_registry other;
        for (auto* it : {&coordinator, &other})
            it->apply(entry("a", 1), start_time);
        const auto revision = coordinator.revision();
        coordinator.replace(std::vector<worker_change>{}, 5, start_time);
        for (const auto& change : coordinator.changes_since(revision))
            other.apply(change, start_time);
        CPPUNIT_ASSERT(!other.find("a")->is_listed);
    }

    /// Guards against removed workers that are listed again by a copy from before their removal.
    void an_older_listing_adds_no_removed_worker()
    {
        worker_registry workers;
        workers.replace(std::vector{entry("b", 2)}, 10, start_time);
        workers.replace(std::vector{entry("a", 1), entry("b", 2)}, 5, start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.ready("s").size());
    }

    /// Guards against taking the address of an entry of another writer, under a worker's id and
    /// start, for that of the worker.
    void an_address_settles_unless_entries_name_others()
    {
        constexpr millis time{2'000};
        worker_registry workers;
        workers.apply(entry("a", 1), start_time);
        CPPUNIT_ASSERT(!workers.find("a")->has_settled_address(start_time + millis(1'999), time));
        workers.apply(entry("a", 2), start_time + time);
        CPPUNIT_ASSERT(workers.find("a")->has_settled_address(start_time + time, time));
        auto other = entry("a", 3);
        other.entry.address = "10.9.9.9:1";
        workers.apply(other, start_time);
        workers.apply(entry("a", 4), start_time);
        CPPUNIT_ASSERT(!workers.find("a")->has_settled_address(start_time + 5 * time, time));
        other = entry("a", 5);
        other.entry.life.born_ms += 1;
        workers.apply(other, start_time);
        CPPUNIT_ASSERT(workers.find("a")->has_settled_address(start_time + time, time));
    }

    void a_listing_removes_what_it_lacks()
    {
        worker_registry workers;
        workers.apply(entry("a", 1), start_time);
        workers.apply(entry("b", 2), start_time);
        workers.apply(entry("c", 20), start_time); // newer than the listing
        workers.replace(std::vector{entry("b", 3)}, 10, start_time);
        CPPUNIT_ASSERT(!workers.find("a")->is_listed);
        CPPUNIT_ASSERT(workers.find("b")->is_listed);
        CPPUNIT_ASSERT(workers.find("c")->is_listed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_routing);
