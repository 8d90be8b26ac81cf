/// Key load, key balancer, lease expiry, claims of the coordinator role and worker speed.
#include "support.hpp"
#include <eelgrassrail/grants/claim_policy.hpp>
#include <eelgrassrail/grants/grant_table.hpp>
#include <eelgrassrail/grants/key_balancer.hpp>
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/grants/worker_speed.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

worker_incarnation incarnation_of(const std::string& id, std::uint64_t born = 1)
{
    return {id, born};
}

key_slice ready_slice(std::uint32_t first, std::uint32_t last, const std::string& owner)
{
    return {first, last, incarnation_of(owner), true, {}, {}};
}

/// Applies a plan as if all moves were completed at once.
void carry_out(key_map& map, const std::vector<planned_move>& moves)
{
    for (const auto& move : moves)
        map.assign_slice({move.first, move.last, move.target, true, {}, {}});
}

double load_of(const key_map& map, const key_load& load, const worker_incarnation& owner)
{
    double sum = 0;
    for (const auto& slice : map.owned_by(owner))
        sum += load.rate(slice.first, slice.last);
    return sum;
}

std::vector<key_worker> workers_of(const std::vector<double>& capacities)
{
    std::vector<key_worker> workers;
    for (std::size_t n = 0; n < capacities.size(); ++n)
        workers.push_back({incarnation_of("w" + std::to_string(n)), capacities[n], true});
    return workers;
}

constexpr millis even_time{20'000};

/// Load measured after a period of evenly distributed requests.
key_load even_load(double per_s)
{
    key_load load(start_time);
    std::mt19937 random(7);
    std::uniform_int_distribution<std::uint32_t> key(0, key_count - 1);
    for (millis at{0}; at < even_time; at += millis(500))
    {
        for (int n = 0; n < static_cast<int>(per_s / 2); ++n)
            load.add(key(random));
        load.settle(start_time + at + millis(500));
    }
    return load;
}

} // namespace

class unit_keys : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_keys);
    CPPUNIT_TEST(an_empty_worker_gets_keys_of_many_small_slices);
    CPPUNIT_TEST(a_hot_key_shows_within_half_a_second);
    CPPUNIT_TEST(a_key_that_is_no_longer_hot_shows_too);
    CPPUNIT_TEST(keys_without_owner_go_to_all_workers_by_capacity);
    CPPUNIT_TEST(a_calm_load_moves_nothing);
    CPPUNIT_TEST(hot_neighbours_are_divided_among_workers);
    CPPUNIT_TEST(a_single_hot_key_goes_to_the_fastest_worker);
    CPPUNIT_TEST(the_hot_piece_leaves_its_cold_neighbours);
    CPPUNIT_TEST(a_lost_owners_keys_are_placed);
    CPPUNIT_TEST(an_unreachable_worker_keeps_its_keys);
    CPPUNIT_TEST(keys_on_their_way_are_left_alone);
    CPPUNIT_TEST(a_new_empty_worker_gets_keys);
    CPPUNIT_TEST(a_hold_ends_after_its_latest_arrival);
    CPPUNIT_TEST(a_life_that_ended_holds_nothing);
    CPPUNIT_TEST(only_an_answer_at_its_address_ends_a_life);
    CPPUNIT_TEST(holds_never_get_shorter);
    CPPUNIT_TEST(silence_and_rank_decide_a_claim);
    CPPUNIT_TEST(a_process_claims_back_its_own_address);
    CPPUNIT_TEST(a_coordinator_without_log_is_succeeded);
    CPPUNIT_TEST(speed_is_a_median);
    CPPUNIT_TEST(a_full_slow_worker_shows_by_its_rate);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// After changes of hot keys a busy worker has only small slices.
    void an_empty_worker_gets_keys_of_many_small_slices()
    {
        key_map map;
        constexpr std::uint32_t slices = 256;
        constexpr std::uint32_t width = key_count / slices;
        for (std::uint32_t n = 0; n < slices; ++n)
        {
            key_slice slice{n * width, (n + 1) * width - 1, {"a", 1}, true, {}, {}};
            if (n % 2 != 0)
                slice.owner.id = "b";
            map.assign_slice(slice);
        }
        key_load load(start_time);
        for (std::uint32_t key = 0; key < key_count; key += 64)
            load.add(key);
        load.settle(start_time + millis(1'000));
        const std::vector<key_worker> workers{
            {{"a", 1}, 1'000.0, true}, {{"b", 1}, 1'000.0, true}, {{"c", 1}, 1'000.0, true}};
        const auto moves = plan_key_moves(map, load, workers, {});
        CPPUNIT_ASSERT(!moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), moves.front().target.id);
    }

    void a_hot_key_shows_within_half_a_second()
    {
        auto load = even_load(140);
        for (int n = 0; n < 25; ++n)
            load.add(777);
        load.settle(start_time + even_time + millis(500));
        CPPUNIT_ASSERT(load.rate(777, 777) > 15); // 50 requests per second
    }

    void a_key_that_is_no_longer_hot_shows_too()
    {
        auto load = even_load(140);
        for (int n = 0; n < 250; ++n)
            load.add(777);
        load.settle(start_time + even_time + millis(500));
        load.settle(start_time + even_time + millis(4'500));
        CPPUNIT_ASSERT(load.rate(777, 777) < 3);
    }

    void keys_without_owner_go_to_all_workers_by_capacity()
    {
        key_map map;
        const key_load load(start_time);
        const auto workers = workers_of({10, 20, 10, 40});
        carry_out(map, plan_key_moves(map, load, workers, {}));
        const double all = load.rate(0, key_count - 1);
        for (const auto& worker : workers)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(all * worker.capacity / 80,
                                         load_of(map, load, worker.incarnation), all * 0.05);
    }

    void a_calm_load_moves_nothing()
    {
        key_map map;
        const auto workers = workers_of({100, 100, 100});
        carry_out(map, plan_key_moves(map, key_load(start_time), workers, {}));
        const auto load = even_load(140); // about 47 for each worker
        CPPUNIT_ASSERT(plan_key_moves(map, load, workers, {}).empty());
    }

    void hot_neighbours_are_divided_among_workers()
    {
        // 200 adjacent keys take half of the load, four times what their worker can run.
        key_map map;
        const auto workers = workers_of(std::vector<double>(10, 20.0));
        carry_out(map, plan_key_moves(map, key_load(start_time), workers, {}));
        auto load = even_load(70);
        for (int n = 0; n < 160; ++n)
        {
            load.add(30'000 + static_cast<std::uint32_t>(n * 53 % 200));
            load.settle(start_time + even_time + millis(n * 10));
        }
        const auto fixed = map; // baseline: fixed ranges
        balance_limits limits;
        limits.moves = 12;
        for (int n = 0; n < 4; ++n)
            carry_out(map, plan_key_moves(map, load, workers, limits));
        const auto fullest = [&](const key_map& division)
        {
            double most = 0;
            for (const auto& worker : workers)
                most =
                    std::max(most, load_of(division, load, worker.incarnation) / worker.capacity);
            return most;
        };
        CPPUNIT_ASSERT(fullest(fixed) > 2.0);
        CPPUNIT_ASSERT(fullest(map) < 1.0);
    }

    void a_single_hot_key_goes_to_the_fastest_worker()
    {
        key_map map;
        const auto workers = workers_of({12, 12, 12, 36, 12});
        carry_out(map, plan_key_moves(map, key_load(start_time), workers, {}));
        auto load = even_load(20);
        const auto key = map.owned_by(incarnation_of("w0")).front().first;
        for (int n = 0; n < 30; ++n)
            load.add(key);
        load.settle(start_time + even_time + millis(800));
        CPPUNIT_ASSERT_EQUAL(std::string("w0"), map.find(key).owner.id);
        for (int n = 0; n < 3; ++n)
            carry_out(map, plan_key_moves(map, load, workers, {}));
        CPPUNIT_ASSERT_EQUAL(std::string("w3"), map.find(key).owner.id);
    }

    void the_hot_piece_leaves_its_cold_neighbours()
    {
        key_map map;
        const auto workers = workers_of({20, 20});
        carry_out(map, plan_key_moves(map, key_load(start_time), workers, {}));
        auto load = even_load(5);
        for (int n = 0; n < 30; ++n)
            load.add(1'000 + static_cast<std::uint32_t>(n % 10));
        load.settle(start_time + even_time + millis(800));
        const auto moves = plan_key_moves(map, load, workers, {});
        CPPUNIT_ASSERT(!moves.empty());
        std::uint32_t keys = 0;
        for (const auto& move : moves)
            keys += move.last - move.first + 1;
        CPPUNIT_ASSERT(keys < 64);
    }

    void a_lost_owners_keys_are_placed()
    {
        key_map map;
        map.assign_slice(ready_slice(0, 30'000, "gone"));
        map.assign_slice(ready_slice(30'001, key_count - 1, "w0"));
        const auto workers = workers_of({10, 10});
        const auto moves = plan_key_moves(map, key_load(start_time), workers, {});
        CPPUNIT_ASSERT(!moves.empty());
        for (const auto& move : moves)
            CPPUNIT_ASSERT_EQUAL(std::string("gone"), move.source.id);
        carry_out(map, moves);
        CPPUNIT_ASSERT(map.owned_by(incarnation_of("gone")).empty());
    }

    void an_unreachable_worker_keeps_its_keys()
    {
        key_map map;
        map.assign_slice(ready_slice(0, 60'000, "w0"));
        map.assign_slice(ready_slice(60'001, key_count - 1, "w1"));
        auto workers = workers_of({10, 10});
        workers[0].may_change = false;
        auto load = even_load(60);
        CPPUNIT_ASSERT(plan_key_moves(map, load, workers, {}).empty());
    }

    void keys_on_their_way_are_left_alone()
    {
        key_map map;
        map.assign_slice(
            {0, key_count - 1, incarnation_of("new"), false, incarnation_of("old"), {}});
        CPPUNIT_ASSERT(plan_key_moves(map, key_load(start_time), workers_of({10, 10}), {}).empty());
    }

    void a_new_empty_worker_gets_keys()
    {
        key_map map;
        map.assign_slice(ready_slice(0, key_count - 1, "w0"));
        const auto moves =
            plan_key_moves(map, even_load(3), workers_of({10, 10}), balance_limits{});
        CPPUNIT_ASSERT(!moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), moves[0].target.id);
    }

    void a_hold_ends_after_its_latest_arrival()
    {
        grant_table grants({millis(1'000), millis(400), 0.02, millis(80)});
        CPPUNIT_ASSERT(!grants.may_hold(incarnation_of("a"), start_time));
        grants.on_grant_sent(incarnation_of("a"), start_time);
        CPPUNIT_ASSERT(grants.may_hold(incarnation_of("a"), start_time + millis(1'499)));
        CPPUNIT_ASSERT(!grants.may_hold(incarnation_of("a"), start_time + millis(1'500)));
        CPPUNIT_ASSERT(!grants.may_hold(incarnation_of("a", 2), start_time));
    }

    void a_life_that_ended_holds_nothing()
    {
        grant_table grants({millis(1'000), millis(0), 0, millis(0)});
        grants.on_grant_sent(incarnation_of("a"), start_time);
        grants.on_grant_accepted(incarnation_of("a"), "10.0.0.1:80");
        CPPUNIT_ASSERT(grants.on_answer_of_another(incarnation_of("a"), "10.0.0.1:80", false));
        CPPUNIT_ASSERT(!grants.may_hold(incarnation_of("a"), start_time));
    }

    /// Guards against taking a worker for ended because of an answer at an address that is its own
    /// only by an entry, which anyone may have written.
    void only_an_answer_at_its_address_ends_a_life()
    {
        grant_table grants({millis(1'000), millis(0), 0, millis(0)});
        grants.on_grant_sent(incarnation_of("a"), start_time);
        CPPUNIT_ASSERT(!grants.on_answer_of_another(incarnation_of("a"), "10.0.0.1:80", false));
        grants.on_grant_accepted(incarnation_of("a"), "10.0.0.1:80");
        CPPUNIT_ASSERT(!grants.on_answer_of_another(incarnation_of("a"), "10.0.0.2:80", true));
        CPPUNIT_ASSERT(!grants.on_answer_of_another(incarnation_of("a", 2), "10.0.0.1:80", false));
        CPPUNIT_ASSERT(grants.may_hold(incarnation_of("a"), start_time));
        grants.on_grant_sent(incarnation_of("b"), start_time); // by the coordinator before
        CPPUNIT_ASSERT(grants.on_answer_of_another(incarnation_of("b"), "10.0.0.3:80", true));
    }

    void holds_never_get_shorter()
    {
        grant_table grants({millis(1'000), millis(0), 0, millis(0)});
        grants.on_earlier_leases(incarnation_of("a"), start_time + millis(9'000));
        grants.on_grant_sent(incarnation_of("a"), start_time);
        CPPUNIT_ASSERT(grants.may_hold(incarnation_of("a"), start_time + millis(8'999)));
    }

    void silence_and_rank_decide_a_claim()
    {
        coordinator_evidence evidence;
        evidence.is_on_record = true;
        evidence.last_push_at = start_time;
        CPPUNIT_ASSERT(!should_claim(evidence, start_time + coordinator_timeout - millis(1)));
        CPPUNIT_ASSERT(should_claim(evidence, start_time + coordinator_timeout));
        evidence.rank = 2;
        CPPUNIT_ASSERT(!should_claim(evidence, start_time + coordinator_timeout + claim_stagger));
        CPPUNIT_ASSERT(
            should_claim(evidence, start_time + coordinator_timeout + 2 * claim_stagger));
    }

    void a_process_claims_back_its_own_address()
    {
        coordinator_evidence evidence;
        evidence.is_on_record = true;
        evidence.was_own_address = true;
        evidence.last_push_at = start_time;
        CPPUNIT_ASSERT(should_claim(evidence, start_time));
    }

    void a_coordinator_without_log_is_succeeded()
    {
        coordinator_evidence evidence;
        evidence.is_on_record = true;
        evidence.last_push_at =
            start_time + millis(900); // it sends pushes, but it can not move keys
        evidence.store_lost_since = start_time;
        CPPUNIT_ASSERT(!should_claim(evidence, start_time + log_loss_timeout - millis(1)));
        CPPUNIT_ASSERT(should_claim(evidence, start_time + log_loss_timeout));
    }

    void speed_is_a_median()
    {
        worker_speed speed;
        CPPUNIT_ASSERT_EQUAL(0.0, speed.typical_ms());
        for (const double ms : {5.0, 200.0, 210.0, 190.0, 900.0})
            speed.add(ms);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, speed.typical_ms(), 0.5);
    }

    void a_full_slow_worker_shows_by_its_rate()
    {
        worker_speed speed;
        for (int n = 0; n < 32; ++n)
            speed.add(100);
        auto now = start_time;
        // Three slots answer 6 requests per second: 500 ms each.
        for (int n = 0; n < 30; ++n, now += millis(333))
            speed.on_answers(2, 9, 3, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, speed.typical_ms(), 50);
        speed.on_answers(1, 1, 3, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, speed.typical_ms(), 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_keys);
