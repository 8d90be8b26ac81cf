/// Tests of the fold: races, duplicates, outdated epochs, unreadable records, snapshots, slices.
#include "support.hpp"
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/tickets/fold.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

const process_id first_holder{"vm-1", 1, "zone-a", "127.0.0.1:1"};
const process_id second_holder{"vm-2", 2, "zone-a", "127.0.0.1:2"};

/// A state with one service in two zones.
deployment_state one_service()
{
    deployment_state state;
    fold_all(state, {record_text("t1", make_ticket(make_service("orders", {"zone-a", "zone-b"})))});
    return state;
}

} // namespace

class unit_fold : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_fold);
    CPPUNIT_TEST(a_ticket_takes_effect);
    CPPUNIT_TEST(of_two_racing_tickets_one_takes_effect);
    CPPUNIT_TEST(a_second_copy_changes_nothing);
    CPPUNIT_TEST(an_outdated_claim_falls_through);
    CPPUNIT_TEST(only_named_standbys_claim_by_silence);
    CPPUNIT_TEST(a_wait_is_inherited_by_the_next_claim);
    CPPUNIT_TEST(a_shorter_lease_keeps_the_longer_wait);
    CPPUNIT_TEST(a_late_copy_of_an_appointment_brings_nobody_back);
    CPPUNIT_TEST(unreadable_records_change_nothing_but_the_offset);
    CPPUNIT_TEST(mutated_records_never_stop_the_fold);
    CPPUNIT_TEST(a_snapshot_restores_the_state);
    CPPUNIT_TEST(a_damaged_snapshot_is_refused);
    CPPUNIT_TEST(a_new_worker_moves_only_its_share);
    CPPUNIT_TEST(a_moved_slice_waits_for_its_release);
    CPPUNIT_TEST(a_release_does_not_cover_later_moves);
    CPPUNIT_TEST(a_removed_name_is_not_used_again);
    CPPUNIT_TEST(an_impossible_state_is_refused_by_field);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_ticket_takes_effect()
    {
        const auto state = one_service();
        CPPUNIT_ASSERT_EQUAL(ticket_number{1}, state.in_force);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.pools.size());
        CPPUNIT_ASSERT(state.results[0].accepted);
    }

    void of_two_racing_tickets_one_takes_effect()
    {
        auto state = one_service();
        const auto spec = make_service("orders", {"zone-a"});
        const auto reason = fold_all(state, {record_text("t2", make_ticket(spec, 1)),
                                             record_text("t3", make_ticket(spec, 1))});
        CPPUNIT_ASSERT_EQUAL(std::string("based on 1, in force is 2"), reason);
        CPPUNIT_ASSERT_EQUAL(ticket_number{2}, state.in_force);
    }

    void a_second_copy_changes_nothing()
    {
        auto state = one_service();
        const auto before = state;
        fold_all(state,
                 {record_text("t1", make_ticket(make_service("orders", {"zone-a", "zone-b"})))});
        CPPUNIT_ASSERT(state.results == before.results);
        CPPUNIT_ASSERT(state.services == before.services);
    }

    void an_outdated_claim_falls_through()
    {
        auto state = one_service();
        const auto id = state.pools[0].id;
        const claim early{id, 0, first_holder, {}, claim_evidence::unheld};
        const claim late{id, 0, second_holder, {}, claim_evidence::unheld};
        CPPUNIT_ASSERT_EQUAL(std::string("based on epoch 0, current is 2"),
                             fold_all(state, {record_text("a", early), record_text("b", late)}));
        CPPUNIT_ASSERT(state.pools[0].holder == first_holder);
    }

    void only_named_standbys_claim_by_silence()
    {
        auto state = one_service();
        const auto id = state.pools[0].id;
        fold_all(state, {record_text("a", claim{id, 0, first_holder, {}, claim_evidence::unheld})});
        const auto reason = fold_all(
            state, {record_text("b", claim{id, 2, second_holder, {}, claim_evidence::silence})});
        CPPUNIT_ASSERT_EQUAL(std::string("the evidence does not allow this claimer"), reason);
    }

    void a_wait_is_inherited_by_the_next_claim()
    {
        auto state = one_service();
        const auto id = state.pools[0].id;
        fold_all(state,
                 {record_text("a", claim{id, 0, first_holder, {}, claim_evidence::unheld}),
                  record_text("b", activation{id, 2}),
                  record_text(
                      "c", claim{id, 2, second_holder, {first_holder}, claim_evidence::isolation}),
                  record_text("d", claim{id, 4, first_holder, {}, claim_evidence::silence})});
        CPPUNIT_ASSERT_EQUAL(epoch_number{5}, state.pools[0].epoch);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{60'000 + 500 + lease_margin_ms}, state.pools[0].wait_ms);
    }

    void a_shorter_lease_keeps_the_longer_wait()
    {
        auto state = one_service();
        const auto id = state.pools[0].id;
        auto shorter = make_service("orders", {"zone-a", "zone-b"});
        shorter.lease_ms = 300;
        fold_all(
            state,
            {record_text("a", claim{id, 0, first_holder, {second_holder}, claim_evidence::unheld}),
             record_text("t2", make_ticket(shorter, 1)),
             record_text("b", claim{id, 2, second_holder, {}, claim_evidence::silence})});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{600 + lease_margin_ms}, state.pools[0].wait_ms);
    }

    void a_late_copy_of_an_appointment_brings_nobody_back()
    {
        auto state = one_service();
        const auto id = state.pools[0].id;
        const auto named = record_text("b", appointment{id, 2, 1, {second_holder}});
        fold_all(state, {record_text("a", claim{id, 0, first_holder, {}, claim_evidence::unheld}),
                         named, record_text("c", appointment{id, 2, 2, {}})});
        CPPUNIT_ASSERT_EQUAL(std::string("based on the appointment at 1, current is the one at 3"),
                             fold_all(state, {named}));
        CPPUNIT_ASSERT(state.pools[0].standbys.empty());
    }

    void unreadable_records_change_nothing_but_the_offset()
    {
        auto state = one_service();
        auto expected = state;
        const std::string whole = record_text("x", activation{state.pools[0].id, 0});
        const std::vector<std::string> records{
            "",
            "{",
            whole.substr(0, whole.size() / 2),
            "[]",
            "null",
            "{\"version\":1}",
            R"({"version":2,"kind":"ticket","id":"x","body":{}})",
            R"({"version":1,"kind":"payment","id":"x","body":{}})",
            R"({"version":1,"kind":"claim","id":7,"body":{}})",
            std::string(max_record_bytes + 1, ' ')};
        for (const auto& text : records)
            CPPUNIT_ASSERT(!fold(state, state.next, text).applied);
        expected.next += records.size();
        CPPUNIT_ASSERT(state == expected);
    }

    void mutated_records_never_stop_the_fold()
    {
        std::mt19937 random(20261204);
        const auto whole = record_text("t9", make_ticket(make_service("orders", {"zone-a"}), 1));
        for (int n = 0; n < 3000; ++n)
        {
            auto state = one_service();
            auto text = whole;
            for (int k = 0; k < 3; ++k)
                text[random() % text.size()] = static_cast<char>(random());
            fold(state, state.next, text);
            CPPUNIT_ASSERT_EQUAL(log_offset{2}, state.next);
            CPPUNIT_ASSERT(read_snapshot(make_snapshot(state)) == state || !state.results.empty());
        }
    }

    void a_snapshot_restores_the_state()
    {
        auto state = one_service();
        fold_all(state, {record_text("a", claim{state.pools[0].id,
                                                0,
                                                first_holder,
                                                {second_holder},
                                                claim_evidence::unheld})});
        const auto record = decode_record(record_text("s", make_snapshot(state)));
        CPPUNIT_ASSERT(read_snapshot(std::get<snapshot>(record.body)) == state);
    }

    void a_damaged_snapshot_is_refused()
    {
        auto value = make_snapshot(one_service());
        value.state[value.state.size() / 2] ^= 1;
        CPPUNIT_ASSERT_THROW(static_cast<void>(read_snapshot(value)), ticket_error);
    }

    void a_new_worker_moves_only_its_share()
    {
        const std::vector<pool_share> three{{0, 2}, {1, 2}, {2, 2}};
        const std::vector<pool_share> grown{{0, 2}, {1, 2}, {2, 2}, {3, 2}};
        const auto before = assign_slices(std::vector<std::uint32_t>(1200, UINT32_MAX), three);
        const auto after = assign_slices(before, grown);
        std::size_t moved = 0;
        for (std::size_t n = 0; n < before.size(); ++n)
            moved += before[n] == after[n] ? 0 : 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, moved);
    }

    void a_moved_slice_waits_for_its_release()
    {
        auto state = one_service();
        const auto zone_b = state.pools[1].id;
        auto spec = make_service("orders", {"zone-a", "zone-b"});
        spec.workers.pop_back();
        fold_all(state, {record_text("t2", make_ticket(spec, 1))});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, state.services[0].pending.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.pools.size());
        fold_all(state, {record_text("r", slice_release{zone_b, 0, state.next, false})});
        CPPUNIT_ASSERT(state.services[0].pending.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.pools.size());
    }

    void a_release_does_not_cover_later_moves()
    {
        auto state = one_service();
        const auto zone_b = state.pools[1].id;
        const auto early = state.next;
        auto spec = make_service("orders", {"zone-a", "zone-b"});
        spec.workers.pop_back();
        fold_all(state, {record_text("t2", make_ticket(spec, 1)),
                         record_text("r", slice_release{zone_b, 0, early, false})});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, state.services[0].pending.size());
    }

    void a_removed_name_is_not_used_again()
    {
        auto state = one_service();
        const auto reason = fold_all(
            state, {record_text("t2", ticket{1, "operator", "remove", {}, {"orders"}}),
                    record_text("t3", make_ticket(make_service("orders", {"zone-a"}), 2))});
        CPPUNIT_ASSERT_EQUAL(std::string("services[0].name: a removed service had this name"),
                             reason);
    }

    void an_impossible_state_is_refused_by_field()
    {
        auto state = one_service();
        auto spec = make_service("orders", {"zone-a"});
        spec.workers[0].weight = 0;
        const auto reason = fold_all(state, {record_text("t2", make_ticket(spec, 1))});
        CPPUNIT_ASSERT(reason.find("services[0].workers") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(ticket_number{1}, state.in_force);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_fold);
