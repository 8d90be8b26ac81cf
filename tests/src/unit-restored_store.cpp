/// Positions, claims, workers and evacuations after the store was restored from a copy.
#include "support.hpp"
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/grants/coordinator_term.hpp>
#include <eelgrassrail/grants/role_claim.hpp>
#include <eelgrassrail/registry/evacuated_zones.hpp>
#include <eelgrassrail/registry/worker_feed.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr millis lease{10'950};
constexpr millis step{100};
constexpr millis settle_time{3'000}; ///< after it the restored store counts as complete

const coordinator_identity other{"127.0.0.1:1", "z", 1};

claimant make_claimant(std::uint64_t era, bool is_restored)
{
    claimant who;
    who.self = {"127.0.0.1:2", "z", 9};
    who.started = start_time;
    who.lease = lease;
    who.era = era;
    who.is_restored = is_restored;
    return who;
}

recorded_ownership make_base(std::uint64_t version, millis hold = millis(0))
{
    recorded_ownership base;
    base.record.coordinator = other;
    base.record.version = version;
    base.record.set_lease_times({millis(0), lease});
    base.record.set_grant_hold(hold);
    base.read_at = start_time;
    return base;
}

worker_change entry_of(const std::string& id, std::uint64_t offset, bool is_leaving = false,
                       std::uint64_t born_ms = 1)
{
    worker_change change;
    change.id = id;
    change.offset = offset;
    change.entry.life = {id, born_ms};
    change.entry.service = "s";
    change.entry.address = "10.0.0.1:80";
    change.entry.is_leaving = is_leaving;
    return change;
}

worker_change removal_of(const std::string& id, std::uint64_t offset)
{
    worker_change change;
    change.id = id;
    change.offset = offset;
    change.is_removed = true;
    return change;
}

/// A process that has read the stream up to offset 10 before the restore.
struct reader
{
    explicit reader(std::vector<worker_change> records)
    {
        feed.on_store_answered(start_time, start_time);
        feed.apply_records(records, 10, start_time);
    }

    void list(std::vector<worker_change> listing, std::uint64_t end, instant now = start_time)
    {
        feed.apply_listing(listing, end, now);
    }

    [[nodiscard]] bool accepts_work(const std::string& id) const
    {
        const auto* known = workers.find(id);
        return known != nullptr && known->accepts_work();
    }

    worker_registry workers;
    worker_feed feed{workers, millis(870)};
};

} // namespace

class unit_restored_store : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_restored_store);
    CPPUNIT_TEST(positions_rise_over_restores);
    CPPUNIT_TEST(epochs_of_a_later_era_exceed_all_earlier_ones);
    CPPUNIT_TEST(a_claim_in_a_restored_store_waits_for_unknown_leases);
    CPPUNIT_TEST(a_claim_keeps_the_wait_on_record);
    CPPUNIT_TEST(a_claim_without_a_restore_waits_for_nothing);
    CPPUNIT_TEST(a_term_grants_nothing_before_its_wait_has_ended);
    CPPUNIT_TEST(a_later_term_keeps_the_wait);
    CPPUNIT_TEST(a_claim_after_a_restore_keeps_a_longer_wait_on_record);
    CPPUNIT_TEST(a_term_lapses_unless_it_is_confirmed);
    CPPUNIT_TEST(a_live_worker_that_the_copy_lacks_is_kept);
    CPPUNIT_TEST(a_worker_that_does_not_return_is_removed);
    CPPUNIT_TEST(a_worker_that_left_is_not_revived);
    CPPUNIT_TEST(a_newer_entry_of_a_worker_that_left_counts);
    CPPUNIT_TEST(an_earlier_life_does_not_replace_a_later_one);
    CPPUNIT_TEST(an_entry_that_stays_counts_in_the_end);
    CPPUNIT_TEST(a_second_restore_is_handled_as_the_first);
    CPPUNIT_TEST(an_evacuation_that_the_copy_lacks_stays_in_force);
    CPPUNIT_TEST(an_evacuation_that_has_ended_does_not_return);
    CPPUNIT_TEST(records_of_the_operator_before_the_first_listing_count);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against a record that was read before a restore and counts as newer than later ones.
    void positions_rise_over_restores()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(77), make_position(0, 77));
        CPPUNIT_ASSERT(make_position(1, 0) > make_position(0, 1'000'000'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), era_of(make_position(3, 5)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), offset_of(make_position(3, 5)));
    }

    /// Guards against fencing tokens that are used twice, as records of their epochs are gone.
    void epochs_of_a_later_era_exceed_all_earlier_ones()
    {
        const auto version = (std::uint64_t(7) << epoch_shift) + 12;
        CPPUNIT_ASSERT_EQUAL(next_epoch(version), first_version_of(0, version));
        const auto second = first_version_of(1, version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), epoch_era(second));
        CPPUNIT_ASSERT(second > std::uint64_t(1'000'000) << epoch_shift);
        CPPUNIT_ASSERT_EQUAL(next_epoch(second), first_version_of(1, second + 5));
        CPPUNIT_ASSERT_EQUAL(next_epoch(second), first_version_of(0, second));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), epoch_era(first_version_of(2, second)));
    }

    /// Guards against a second owner of keys whose move is not on the copy: the coordinator that
    /// recorded it may grant for its role lease, and the grant lasts for a lease.
    void a_claim_in_a_restored_store_waits_for_unknown_leases()
    {
        const auto now = start_time + step;
        const role_claim claim(make_base(epoch_shift), make_claimant(1, true), now);
        CPPUNIT_ASSERT(claim.grants_from() >= now + role_lease + lease);
        CPPUNIT_ASSERT(claim.leases_until(now) >= claim.grants_from());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), epoch_era(claim.record().version));
        CPPUNIT_ASSERT(claim.record().find_grant_hold() >= role_lease + lease);
        const role_claim without_record({}, make_claimant(1, true), now);
        CPPUNIT_ASSERT(without_record.grants_from() >= now + role_lease + lease);
    }

    /// Guards against a successor in the same era that does not know of the wait.
    void a_claim_keeps_the_wait_on_record()
    {
        const auto base = make_base(first_version_of(1, 0), millis(5'000));
        const role_claim claim(base, make_claimant(1, false), start_time + step);
        CPPUNIT_ASSERT(claim.grants_from() == start_time + millis(5'000));
        CPPUNIT_ASSERT(claim.record().find_grant_hold() == millis(5'000) - step);
    }

    void a_claim_without_a_restore_waits_for_nothing()
    {
        const role_claim claim(make_base(epoch_shift), make_claimant(0, false), start_time);
        CPPUNIT_ASSERT(claim.grants_from() == instant());
        CPPUNIT_ASSERT(claim.record().find_grant_hold() == millis(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), claim.record().services.size());
    }

    void a_term_grants_nothing_before_its_wait_has_ended()
    {
        coordinator_term term;
        term.begin(1, start_time, start_time);
        term.hold_grants(start_time + millis(500));
        CPPUNIT_ASSERT(!term.may_grant(start_time + millis(499)));
        CPPUNIT_ASSERT(term.grant_hold(start_time + step) == millis(400));
        CPPUNIT_ASSERT(term.may_grant(start_time + millis(500)));
        CPPUNIT_ASSERT(term.grant_hold(start_time + millis(600)) == millis(0));
    }

    /// Guards against keys with two holders after a second restore: the coordinator that waits for
    /// the leases of lost records begins another term, or learns of a shorter wait.
    void a_later_term_keeps_the_wait()
    {
        coordinator_term term;
        term.begin(1, start_time, start_time);
        term.hold_grants(start_time + millis(2'000));
        term.end();
        term.begin(2, start_time, start_time);
        CPPUNIT_ASSERT(!term.may_grant(start_time + millis(1'999)));
        CPPUNIT_ASSERT(term.grant_hold(start_time) == millis(2'000));
        term.hold_grants(start_time + millis(500));
        term.hold_grants({});
        CPPUNIT_ASSERT(!term.may_grant(start_time + millis(1'999)));
        CPPUNIT_ASSERT(term.may_grant(start_time + millis(2'000)));
    }

    /// Guards against a claim after a second restore that cuts the wait on record short.
    void a_claim_after_a_restore_keeps_a_longer_wait_on_record()
    {
        const millis longer = 2 * (role_lease + lease);
        const auto base = make_base(first_version_of(1, 0), longer);
        const role_claim claim(base, make_claimant(2, true), start_time);
        CPPUNIT_ASSERT(claim.grants_from() == start_time + longer);
        CPPUNIT_ASSERT(claim.record().find_grant_hold() == longer);
    }

    void a_term_lapses_unless_it_is_confirmed()
    {
        coordinator_term term;
        term.begin(1, start_time, start_time);
        CPPUNIT_ASSERT(!term.has_lapsed(start_time + role_lease - millis(1)));
        CPPUNIT_ASSERT(term.has_lapsed(start_time + role_lease));
        CPPUNIT_ASSERT(!term.may_grant(start_time + role_lease));
        term.confirm(start_time + step);
        CPPUNIT_ASSERT(!term.has_lapsed(start_time + role_lease));
    }

    void a_live_worker_that_the_copy_lacks_is_kept()
    {
        reader it({entry_of("a", 3), entry_of("b", 8)});
        const auto end = make_position(1, 6);
        it.list({entry_of("a", make_position(1, 3))}, end);
        CPPUNIT_ASSERT(it.accepts_work("a"));
        CPPUNIT_ASSERT(it.accepts_work("b"));
        const std::vector written{entry_of("b", end)};
        it.feed.apply_records(written, end + 1, start_time + step);
        it.feed.apply_due(start_time + settle_time);
        CPPUNIT_ASSERT(it.accepts_work("b"));
    }

    void a_worker_that_does_not_return_is_removed()
    {
        reader it({entry_of("b", 8)});
        it.list({}, make_position(1, 6));
        it.feed.apply_due(start_time + millis(2'000)); // workers write again within this time
        CPPUNIT_ASSERT(it.accepts_work("b"));
        it.feed.apply_due(start_time + settle_time);
        CPPUNIT_ASSERT(!it.accepts_work("b"));
    }

    /// Guards against requests to workers that were draining or removed, since an entry of theirs
    /// from before is in the copy.
    void a_worker_that_left_is_not_revived()
    {
        reader it({entry_of("a", 3), entry_of("b", 4), entry_of("a", 7, true), removal_of("b", 8)});
        const std::vector listing{entry_of("a", make_position(1, 3)),
                                  entry_of("b", make_position(1, 4))};
        it.list(listing, make_position(1, 6));
        it.list(listing, make_position(1, 7), start_time + step); // the history was deleted
        it.feed.apply_due(start_time + millis(2'500));
        CPPUNIT_ASSERT(!it.accepts_work("a"));
        CPPUNIT_ASSERT(!it.accepts_work("b"));
        const std::vector written{entry_of("a", make_position(1, 7), true),
                                  removal_of("b", make_position(1, 8))};
        it.feed.apply_records(written, make_position(1, 9), start_time + millis(2'600));
        it.feed.apply_due(start_time + settle_time + step);
        CPPUNIT_ASSERT(!it.accepts_work("a"));
        CPPUNIT_ASSERT(!it.accepts_work("b"));
    }

    void a_newer_entry_of_a_worker_that_left_counts()
    {
        reader it({entry_of("a", 3), removal_of("a", 7)});
        const auto end = make_position(1, 6);
        it.list({entry_of("a", make_position(1, 3))}, end);
        const std::vector written{entry_of("a", end)};
        it.feed.apply_records(written, end + 1, start_time + step);
        CPPUNIT_ASSERT(it.accepts_work("a"));
    }

    /// Guards against a worker that restarted in the lost time and counts as its earlier life: its
    /// keys would move, and requests would name a life that has ended.
    void an_earlier_life_does_not_replace_a_later_one()
    {
        reader it({entry_of("a", 3, false, 1), entry_of("a", 8, false, 2)});
        const auto end = make_position(1, 6);
        it.list({entry_of("a", make_position(1, 3), false, 1)}, end);
        CPPUNIT_ASSERT(it.accepts_work("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), it.workers.find("a")->entry.life.born_ms);
        it.feed.apply_due(start_time + settle_time + step); // it has not written its entry again
        CPPUNIT_ASSERT(!it.accepts_work("a"));
    }

    /// Guards against a live worker that is never used again: its entry had lapsed, and it wrote it
    /// between the restore and the first listing.
    void an_entry_that_stays_counts_in_the_end()
    {
        reader it({entry_of("a", 3), removal_of("a", 7)});
        const auto end = make_position(1, 6);
        it.list({entry_of("a", make_position(1, 5))}, end);
        CPPUNIT_ASSERT(!it.accepts_work("a"));
        it.feed.apply_records({}, end, start_time + step);
        CPPUNIT_ASSERT(it.feed.due_at().has_value());
        it.feed.apply_due(start_time + settle_time);
        CPPUNIT_ASSERT(it.accepts_work("a"));
    }

    void a_second_restore_is_handled_as_the_first()
    {
        reader it({entry_of("a", 3), removal_of("a", 7), entry_of("b", 8)});
        it.list({entry_of("a", make_position(1, 3))}, make_position(1, 6));
        it.list({entry_of("a", make_position(2, 3))}, make_position(2, 5), start_time + step);
        it.feed.apply_due(start_time + millis(2'000) + step);
        CPPUNIT_ASSERT(!it.accepts_work("a"));
        CPPUNIT_ASSERT(it.accepts_work("b"));
    }

    /// Guards against requests to an evacuated zone, since the copy was made before.
    void an_evacuation_that_the_copy_lacks_stays_in_force()
    {
        evacuated_zones zones;
        zones.apply({"a", 9, true}, start_time);
        CPPUNIT_ASSERT(zones.apply_listing({}, make_position(1, 6), start_time + step).empty());
        CPPUNIT_ASSERT(zones.since("a") == start_time);
        zones.apply({"a", make_position(1, 7), false}, start_time + step);
        CPPUNIT_ASSERT(!zones.since("a"));
    }

    void an_evacuation_that_has_ended_does_not_return()
    {
        evacuated_zones zones;
        zones.apply({"a", 5, true}, start_time);
        zones.apply({"a", 9, false}, start_time);
        const std::vector<zone_evacuation> listing{{"a", make_position(1, 5), true}};
        zones.apply_listing(listing, make_position(1, 6), start_time + step);
        CPPUNIT_ASSERT(!zones.since("a"));
    }

    /// Guards against an evacuation that is ignored, or lasts for good, since the operator wrote
    /// between the restore and the first listing, which can not be told from the copy.
    void records_of_the_operator_before_the_first_listing_count()
    {
        evacuated_zones zones;
        zones.apply({"a", 8, true}, start_time);
        zones.apply({"b", 7, true}, start_time);
        zones.apply({"b", 9, false}, start_time);
        const std::vector<zone_evacuation> listing{{"b", make_position(1, 5), true}};
        const auto end = make_position(1, 6);
        zones.apply_listing(listing, end, start_time);
        zones.apply_listing(listing, end, start_time + settle_time);
        CPPUNIT_ASSERT(!zones.since("a"));
        CPPUNIT_ASSERT(zones.since("b"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_restored_store);
