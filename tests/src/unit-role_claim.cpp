/// Claims of the coordinator role: what they continue, and until when earlier leases may last.
#include "support.hpp"
#include <eelgrassrail/grants/coordinator_term.hpp>
#include <eelgrassrail/grants/role_claim.hpp>
#include <eelgrassrail/peers/codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr millis lease{10'950};
constexpr std::uint64_t epoch = std::uint64_t(7) << epoch_shift;

const coordinator_identity other{"127.0.0.1:1", "z", 1};

claimant make_claimant(const std::string& address = "127.0.0.1:2")
{
    claimant who;
    who.self = {address, "z", 9};
    who.started = start_time;
    who.lease = lease;
    return who;
}

recorded_ownership make_base(const coordinator_identity& coordinator,
                             std::optional<lease_times> times, instant read_at)
{
    recorded_ownership base;
    base.record.coordinator = coordinator;
    base.record.version = epoch + 12;
    base.record.assign_slice("s", {0, key_count - 1, {"a", 1}, true, {}, {}});
    if (times)
        base.record.set_lease_times(*times);
    base.read_at = read_at;
    return base;
}

const service_slices& slices_of(const ownership_record& record)
{
    return *std::ranges::find(record.services, "s", &service_slices::service);
}

} // namespace

class unit_role_claim : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_role_claim);
    CPPUNIT_TEST(a_claim_continues_the_record);
    CPPUNIT_TEST(a_claim_begins_above_all_epochs_that_were_seen);
    CPPUNIT_TEST(the_first_claim_waits_for_nobody);
    CPPUNIT_TEST(the_coordinator_on_record_may_grant_for_its_role_lease);
    CPPUNIT_TEST(the_coordinator_before_a_process_at_its_address_has_ended);
    CPPUNIT_TEST(a_restart_at_the_address_waits_for_the_epochs_before);
    CPPUNIT_TEST(a_claim_without_an_answer_counts_as_any_other);
    CPPUNIT_TEST(a_resignation_ends_grants_but_not_leases);
    CPPUNIT_TEST(a_record_of_an_earlier_version_may_be_of_a_new_claim);
    CPPUNIT_TEST(the_longest_lease_counts);
    CPPUNIT_TEST(lease_times_shrink_during_a_term);
    CPPUNIT_TEST(a_term_grants_while_it_is_confirmed);
    CPPUNIT_TEST(lease_times_are_kept_in_a_record);
    CPPUNIT_TEST(malformed_lease_times_count_as_none);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_claim_continues_the_record()
    {
        const auto base = make_base(other, lease_times{millis(0), lease}, start_time);
        const role_claim claim(base, make_claimant(), start_time);
        CPPUNIT_ASSERT_EQUAL(next_epoch(epoch), claim.record().version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), claim.record().coordinator.born_ms);
        CPPUNIT_ASSERT(claim.before() == other);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), slices_of(claim.record()).slices[0].owner.id);
    }

    void a_claim_begins_above_all_epochs_that_were_seen()
    {
        auto who = make_claimant();
        who.max_version = next_epoch(next_epoch(epoch)) + 3;
        const role_claim claim(make_base(other, {}, start_time), who, start_time);
        CPPUNIT_ASSERT_EQUAL(next_epoch(who.max_version), claim.record().version);
    }

    void the_first_claim_waits_for_nobody()
    {
        const role_claim claim({}, make_claimant(), start_time);
        CPPUNIT_ASSERT(claim.leases_until(start_time) <= start_time);
        CPPUNIT_ASSERT(claim.record().find_lease_times() == (lease_times{millis(0), lease}));
    }

    void the_coordinator_on_record_may_grant_for_its_role_lease()
    {
        const auto base = make_base(other, lease_times{millis(0), lease}, start_time);
        const role_claim claim(base, make_claimant(), start_time);
        const auto recorded = start_time + millis(700);
        CPPUNIT_ASSERT(claim.leases_until(recorded) == recorded + role_lease + lease);
        CPPUNIT_ASSERT(claim.record().find_lease_times()->earlier == role_lease + lease);
    }

    void the_coordinator_before_a_process_at_its_address_has_ended()
    {
        const auto who = make_claimant(other.address);
        const auto now = start_time + millis(900);
        const role_claim claim(make_base(other, lease_times{millis(0), lease}, now), who, now);
        CPPUNIT_ASSERT(claim.leases_until(now + millis(500)) == start_time + lease);
        CPPUNIT_ASSERT(claim.record().find_lease_times()->earlier == lease - millis(900));
    }

    /// Guards against a wait that counts only the last epoch: the coordinator before the one that
    /// has restarted may still be alive.
    void a_restart_at_the_address_waits_for_the_epochs_before()
    {
        const auto who = make_claimant(other.address);
        const auto now = start_time + millis(900);
        const lease_times times{role_lease + lease, lease};
        const role_claim claim(make_base(other, times, now), who, now);
        CPPUNIT_ASSERT(claim.leases_until(now) == now + role_lease + lease);
    }

    /// Guards against a process that takes its own claim of unknown outcome for an earlier term.
    void a_claim_without_an_answer_counts_as_any_other()
    {
        const auto who = make_claimant();
        const role_claim first(make_base(other, lease_times{millis(0), lease}, start_time), who,
                               start_time);
        const auto now = start_time + std::chrono::minutes(5); // it has run for long
        const role_claim second(recorded_ownership{first.record(), now}, who, now);
        CPPUNIT_ASSERT(second.leases_until(now) == now + role_lease + lease);
        CPPUNIT_ASSERT_EQUAL(next_epoch(first.record().version), second.record().version);
    }

    void a_resignation_ends_grants_but_not_leases()
    {
        const role_claim claim(make_base({}, lease_times{millis(300), lease}, start_time),
                               make_claimant(), start_time);
        CPPUNIT_ASSERT(claim.leases_until(start_time + millis(400)) == start_time + lease);
    }

    void a_record_of_an_earlier_version_may_be_of_a_new_claim()
    {
        const auto who = make_claimant(other.address);
        const role_claim claim(make_base(other, {}, start_time), who, start_time);
        CPPUNIT_ASSERT(claim.leases_until(start_time) == start_time + role_lease + lease);
    }

    void the_longest_lease_counts()
    {
        const lease_times times{millis(0), lease + millis(5'000)};
        const role_claim claim(make_base({}, times, start_time), make_claimant(), start_time);
        CPPUNIT_ASSERT(claim.leases_until(start_time) == start_time + lease + millis(5'000));
    }

    void lease_times_shrink_during_a_term()
    {
        coordinator_term term;
        term.begin(8, start_time, start_time + millis(18'950));
        CPPUNIT_ASSERT(term.times(start_time + millis(8'950), lease) ==
                       (lease_times{millis(10'000), lease}));
        CPPUNIT_ASSERT(term.times(start_time + millis(60'000), lease) ==
                       (lease_times{millis(0), lease}));
    }

    void a_term_grants_while_it_is_confirmed()
    {
        coordinator_term term;
        CPPUNIT_ASSERT(!term.may_grant(start_time));
        term.begin(8, start_time, start_time);
        CPPUNIT_ASSERT(term.may_grant(start_time + role_lease - millis(1)));
        CPPUNIT_ASSERT(!term.may_grant(start_time + role_lease));
        term.confirm(start_time + millis(500));
        term.confirm(start_time); // an older call changes nothing
        CPPUNIT_ASSERT(term.may_grant(start_time + role_lease));
        term.end();
        CPPUNIT_ASSERT(!term.may_grant(start_time));
    }

    void lease_times_are_kept_in_a_record()
    {
        auto record = make_base(other, lease_times{millis(5), lease}, start_time).record;
        record.set_lease_times({millis(7), lease}); // replaces the others
        const auto copy = read_message<ownership_record>(write_message(record));
        CPPUNIT_ASSERT(copy->find_lease_times() == (lease_times{millis(7), lease}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), copy->services.size());
    }

    void malformed_lease_times_count_as_none()
    {
        for (const auto* text : {"", "5", "5:", ":5", "-1:5", "5:5x", "5:99999999999999999999"})
        {
            ownership_record record;
            record.services.push_back({std::string("\x01lease_ms=") + text, {}});
            CPPUNIT_ASSERT(!record.find_lease_times());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_role_claim);
