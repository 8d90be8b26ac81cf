/// Evacuation of an availability zone under load, with several routers on loopback.
#include "zone_cluster.hpp"

#include <boost/asio/awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <limits>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

constexpr millis cold_time{3'000};
constexpr double max_in_a_second =
    zone_cluster::cold_per_s * zone_cluster::cold_overage + zone_cluster::cold_slack;

std::int64_t us(millis time)
{
    return std::chrono::microseconds(time).count();
}

constexpr std::int64_t forever_us = std::numeric_limits<std::int64_t>::max();

/// Time in which the routers learn of an evacuation; half of `evacuate` is left for it.
constexpr millis contact{500};

void check_none(zone_cluster& cluster, const char* id, std::int64_t from_us)
{
    const auto got = accepted_between(cluster.worker(id), from_us, forever_us);
    CPPUNIT_ASSERT_MESSAGE(std::string(id) + " got " + std::to_string(got), got == 0);
}

void check_gets(zone_cluster& cluster, const char* id, std::int64_t from_us, std::size_t least)
{
    const auto got = accepted_between(cluster.worker(id), from_us, forever_us);
    CPPUNIT_ASSERT_MESSAGE(std::string(id) + " got only " + std::to_string(got), got >= least);
}

void check_bound(zone_cluster& cluster, const char* id, std::int64_t from_us, std::int64_t to_us)
{
    const auto most = most_in_a_second(cluster.worker(id), from_us, to_us);
    CPPUNIT_ASSERT_MESSAGE(std::string(id) + " got " + std::to_string(most) + " in a second",
                           static_cast<double>(most) <= max_in_a_second);
}

void check_served(const char* kind, const zone_result& result, std::size_t may_fail)
{
    CPPUNIT_ASSERT_MESSAGE(std::string(kind) + " served " + std::to_string(result.served) + " of " +
                               std::to_string(result.sent),
                           result.served + may_fail >= result.sent);
}

void start_all(zone_cluster& cluster, int routers)
{
    for (const auto* id : {"k1", "k2", "k3", "p1", "p2", "p3"})
        cluster.start_worker(id, millis(0));
    for (int n = 0; n < routers; ++n)
        cluster.start_router();
}

} // namespace

class session_evacuation : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_evacuation);
    CPPUNIT_TEST(requests_leave_the_zone_and_come_back);
    CPPUNIT_TEST(a_router_that_starts_during_an_evacuation);
    CPPUNIT_TEST(the_coordinator_is_replaced_when_a_zone_is_evacuated);
    CPPUNIT_TEST(the_coordinator_is_replaced_when_a_zone_is_taken_back);
    CPPUNIT_TEST(no_other_zone_is_left);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Requests went on to the workers of an evacuated zone, and its workers may be cold at the end
    /// without having said so.
    void requests_leave_the_zone_and_come_back()
    {
        zone_cluster cluster;
        cluster.run(leave_and_return(cluster));
    }

    /// A process that has just started may serve before it has read of the evacuation.
    void a_router_that_starts_during_an_evacuation()
    {
        zone_cluster cluster;
        cluster.run(start_during_evacuation(cluster));
    }

    /// The successor of the coordinator has to move the keys of the zone.
    void the_coordinator_is_replaced_when_a_zone_is_evacuated()
    {
        zone_cluster cluster;
        cluster.run(replace_at_begin(cluster));
    }

    /// The successor never coordinated during the evacuation, and still has to pace the workers
    /// that may have turned cold in it.
    void the_coordinator_is_replaced_when_a_zone_is_taken_back()
    {
        zone_cluster cluster;
        cluster.run(replace_at_end(cluster));
    }

    /// A request that nothing may serve has to be refused before its deadline, with a time.
    void no_other_zone_is_left()
    {
        zone_cluster cluster;
        cluster.run(evacuate_all(cluster));
    }

  private:
    static asio::awaitable<void> leave_and_return(zone_cluster& cluster)
    {
        // Two zones can hardly serve 100 requests a second of each kind, so the third is needed.
        cluster.run_ms = 100;
        start_all(cluster, 4);
        co_await cluster.warm_up();
        cluster.reset_results();
        const auto begun = boot_us();
        cluster.evacuate("z1", true);
        co_await cluster.flood(millis(4'000));
        co_await cluster.delay(millis(300));
        check_served("plain", cluster.plain, cluster.plain.sent / 10);
        check_served("keyed", cluster.keyed, cluster.keyed.sent / 10);
        cluster.reset_results();
        co_await cluster.flood(millis(2'000));
        co_await cluster.delay(millis(300));
        check_served("plain", cluster.plain, cluster.plain.sent / 10);
        check_served("keyed", cluster.keyed, cluster.keyed.sent / 10);
        check_none(cluster, "p1", begun + us(contact));
        check_none(cluster, "k1", begun + us(zone_cluster::evacuate_timeout / 2 + contact));

        const auto ended = boot_us();
        for (const auto* id : {"k1", "p1"})
            cluster.worker(id).set_cold(cold_time);
        cluster.evacuate("z1", false);
        co_await cluster.flood(millis(9'000));
        co_await cluster.delay(millis(300));
        const auto warm = ended + us(cold_time);
        for (const auto* id : {"k1", "p1"})
        {
            check_bound(cluster, id, ended, warm);
            check_gets(cluster, id, warm + us(millis(3'000)), 20);
        }
    }

    static asio::awaitable<void> start_during_evacuation(zone_cluster& cluster)
    {
        start_all(cluster, 3);
        co_await cluster.warm_up();
        const auto begun = boot_us();
        cluster.evacuate("z1", true);
        co_await cluster.flood(zone_cluster::evacuate_timeout);
        // It learns the routes from another process long before the store answers.
        cluster.store.faults.slow_ms = 600;
        const auto started = cluster.start_router();
        std::size_t served = 0;
        for (int n = 0; n < 400; ++n)
        {
            const auto reply = co_await cluster.request(started, n % 2 == 0);
            served += reply.status == 200 ? 1 : 0;
            co_await cluster.delay(millis(10));
        }
        CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served), served > 100);
        check_none(cluster, "p1", begun + us(contact));
        check_none(cluster, "k1", begun + us(zone_cluster::evacuate_timeout));
    }

    static asio::awaitable<void> replace_at_begin(zone_cluster& cluster)
    {
        start_all(cluster, 5);
        co_await cluster.warm_up();
        const auto begun = boot_us();
        cluster.evacuate("z1", true);
        co_await cluster.pause_coordinator();
        co_await cluster.flood(zone_cluster::evacuate_timeout);
        cluster.reset_results();
        co_await cluster.flood(millis(3'000));
        co_await cluster.delay(millis(300));
        // They read the store themselves only after the coordinator has been silent for a time.
        constexpr millis late_contact{2'000};
        check_none(cluster, "p1", begun + us(late_contact));
        check_none(cluster, "k1", begun + us(zone_cluster::evacuate_timeout / 2 + late_contact));
        check_served("plain", cluster.plain, 0);
        check_served("keyed", cluster.keyed, 0);
    }

    static asio::awaitable<void> replace_at_end(zone_cluster& cluster)
    {
        start_all(cluster, 5);
        co_await cluster.warm_up();
        cluster.evacuate("z1", true);
        co_await cluster.flood(zone_cluster::evacuate_timeout);
        // The workers write no entries at first, so nothing says that they are cold.
        cluster.writes_entries = false;
        const auto ended = boot_us();
        cluster.worker("p1").set_cold(cold_time);
        cluster.evacuate("z1", false);
        co_await cluster.flood(millis(400)); // all routers know of it
        co_await cluster.pause_coordinator();
        co_await cluster.flood(millis(1'900));
        check_bound(cluster, "p1", ended, forever_us);
        cluster.writes_entries = true;
        co_await cluster.flood(millis(7'000));
        check_bound(cluster, "p1", ended, ended + us(cold_time));
        check_gets(cluster, "p1", ended + us(cold_time + millis(3'000)), 20);
    }

    static asio::awaitable<void> evacuate_all(zone_cluster& cluster)
    {
        start_all(cluster, 4);
        co_await cluster.warm_up();
        for (const auto* zone : {"z1", "z2", "z3"})
            cluster.evacuate(zone, true);
        const auto begun = boot_us();
        co_await cluster.flood(zone_cluster::evacuate_timeout);
        co_await cluster.delay(millis(1'500));
        for (const auto* id : {"p1", "p2", "p3"})
            check_none(cluster, id, begun + us(contact));
        for (const auto* id : {"k1", "k2", "k3"})
            check_none(cluster, id, begun + us(zone_cluster::evacuate_timeout / 2 + contact));
        cluster.reset_results();
        co_await cluster.flood(millis(1'000));
        co_await cluster.delay(millis(1'000));
        for (const auto* result : {&cluster.plain, &cluster.keyed})
        {
            CPPUNIT_ASSERT_EQUAL(result->sent, result->refused);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), result->refused_without_time);
            CPPUNIT_ASSERT_MESSAGE("refused after " + std::to_string(result->max_refusal_ms),
                                   result->max_refusal_ms < 300);
        }
        for (const auto* zone : {"z1", "z2", "z3"})
            cluster.evacuate(zone, false);
        co_await cluster.flood(millis(6'000));
        cluster.reset_results();
        co_await cluster.flood(millis(2'000));
        co_await cluster.delay(millis(300));
        check_served("plain", cluster.plain, 0);
        check_served("keyed", cluster.keyed, cluster.keyed.sent / 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_evacuation);
