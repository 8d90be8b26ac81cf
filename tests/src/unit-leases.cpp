/// Tests of the holder's lease and of the standby role.
#include "support.hpp"
#include <eelgrassrail/ownership/holder_lease.hpp>
#include <eelgrassrail/ownership/standby_role.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

const process_id first_standby{"vm-1", 1, "zone-a", "127.0.0.1:1"};
const process_id second_standby{"vm-2", 2, "zone-a", "127.0.0.1:2"};
const lease_terms terms{millis(600), millis(10'000), millis(100)};

holder_lease make_lease()
{
    return {terms, std::vector{first_standby, second_standby}};
}

} // namespace

class unit_leases : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_leases);
    CPPUNIT_TEST(no_read_no_right_to_act);
    CPPUNIT_TEST(a_lease_counts_from_the_sending_of_the_read);
    CPPUNIT_TEST(an_older_read_does_not_shorten_it);
    CPPUNIT_TEST(without_the_log_all_standbys_have_to_relinquish);
    CPPUNIT_TEST(the_isolation_grace_ends_it);
    CPPUNIT_TEST(a_candidate_has_to_relinquish_too);
    CPPUNIT_TEST(a_clean_read_ends_the_mode);
    CPPUNIT_TEST(relinquishments_of_an_earlier_outage_do_not_count);
    CPPUNIT_TEST(a_standby_claims_after_silence);
    CPPUNIT_TEST(a_standby_with_an_open_claim_does_not_relinquish);
    CPPUNIT_TEST(a_late_resumption_does_not_free_a_standby);
    CPPUNIT_TEST_SUITE_END();

  public:
    void no_read_no_right_to_act() { CPPUNIT_ASSERT(make_lease().lease_expiry() < start_time); }

    void a_lease_counts_from_the_sending_of_the_read()
    {
        auto lease = make_lease();
        lease.on_clean_read(start_time);
        CPPUNIT_ASSERT(lease.lease_expiry() == start_time + terms.lease);
    }

    void an_older_read_does_not_shorten_it()
    {
        auto lease = make_lease();
        lease.on_clean_read(start_time);
        lease.on_clean_read(start_time - millis(50));
        CPPUNIT_ASSERT(lease.lease_expiry() == start_time + terms.lease);
    }

    void without_the_log_all_standbys_have_to_relinquish()
    {
        auto lease = make_lease();
        lease.on_clean_read(start_time);
        const auto number = lease.relinquish_number(start_time + millis(300));
        CPPUNIT_ASSERT(number.has_value());
        lease.on_relinquished(first_standby, *number);
        CPPUNIT_ASSERT(lease.lease_expiry() == start_time + terms.lease);
        lease.on_relinquished(second_standby, *number);
        CPPUNIT_ASSERT(lease.lease_expiry() > start_time + terms.lease);
    }

    void the_isolation_grace_ends_it()
    {
        auto lease = make_lease();
        relinquish_all(lease);
        CPPUNIT_ASSERT(lease.lease_expiry() == start_time + terms.isolation_grace - terms.margin);
    }

    void a_candidate_has_to_relinquish_too()
    {
        const process_id candidate{"vm-3", 3, "zone-a", "127.0.0.1:3"};
        auto lease = make_lease();
        lease.add_candidates(std::vector{candidate});
        relinquish_all(lease);
        CPPUNIT_ASSERT(lease.lease_expiry() == start_time + terms.lease);
        CPPUNIT_ASSERT(lease.unrelinquished() == std::vector{candidate});
    }

    void a_clean_read_ends_the_mode()
    {
        auto lease = make_lease();
        const auto number = relinquish_all(lease);
        const auto later = start_time + millis(5'000);
        CPPUNIT_ASSERT(lease.on_clean_read(later) == number);
        CPPUNIT_ASSERT(lease.lease_expiry() == later + terms.lease);
    }

    void relinquishments_of_an_earlier_outage_do_not_count()
    {
        auto lease = make_lease();
        const auto early = relinquish_all(lease);
        const auto later = start_time + millis(5'000);
        lease.on_clean_read(later);
        const auto number = lease.relinquish_number(later + millis(300));
        lease.on_relinquished(first_standby, early);
        lease.on_relinquished(second_standby, early);
        CPPUNIT_ASSERT(number == early + 1);
        CPPUNIT_ASSERT(lease.lease_expiry() == later + terms.lease);
    }

    void a_standby_claims_after_silence()
    {
        standby_role role(7, start_time);
        CPPUNIT_ASSERT(!role.should_claim(start_time + millis(400), millis(400)));
        CPPUNIT_ASSERT(role.should_claim(start_time + millis(401), millis(400)));
        role.on_holder_alive(start_time + millis(300));
        CPPUNIT_ASSERT(!role.should_claim(start_time + millis(401), millis(400)));
    }

    void a_standby_with_an_open_claim_does_not_relinquish()
    {
        standby_role role(7, start_time);
        role.on_claim_sent();
        CPPUNIT_ASSERT(!role.relinquish(7, 1));
        role.on_claim_resolved(start_time);
        CPPUNIT_ASSERT(role.relinquish(7, 1));
        CPPUNIT_ASSERT(!role.relinquish(6, 2));
    }

    void a_late_resumption_does_not_free_a_standby()
    {
        const auto later = start_time + millis(9'000);
        standby_role role(7, start_time);
        CPPUNIT_ASSERT(role.relinquish(7, 1));
        CPPUNIT_ASSERT(role.relinquish(7, 2));
        role.on_resumption(1, later);
        CPPUNIT_ASSERT(!role.should_claim(later + millis(900), millis(400)));
        role.on_resumption(2, later);
        CPPUNIT_ASSERT(role.should_claim(later + millis(900), millis(400)));
    }

  private:
    static std::uint64_t relinquish_all(holder_lease& lease)
    {
        lease.on_clean_read(start_time);
        const auto number = lease.relinquish_number(start_time + millis(300)).value();
        lease.on_relinquished(first_standby, number);
        lease.on_relinquished(second_standby, number);
        return number;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_leases);
