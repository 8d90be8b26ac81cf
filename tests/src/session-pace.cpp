/// Cold workers under a flood of requests from several routers on loopback.
#include "zone_cluster.hpp"

#include <boost/asio/awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

constexpr millis cold_time{3'000};
constexpr double max_in_a_second =
    zone_cluster::cold_per_s * zone_cluster::cold_overage + zone_cluster::cold_slack;

/// Time from the entry of a worker that has turned cold until the bound applies: the routers read
/// the entry from the store, and requests under way arrive.
constexpr std::int64_t contact_us = 500'000;

std::int64_t us(millis time)
{
    return std::chrono::microseconds(time).count();
}

void check_bound(zone_cluster& cluster, const char* id, std::int64_t from_us, std::int64_t to_us)
{
    const auto most = most_in_a_second(cluster.worker(id), from_us, to_us);
    CPPUNIT_ASSERT_MESSAGE(std::string(id) + " got " + std::to_string(most) + " in a second",
                           static_cast<double>(most) <= max_in_a_second);
}

/// Checks that a worker got at least so many requests.
void check_gets(zone_cluster& cluster, const char* id, std::int64_t from_us, std::int64_t to_us,
                std::size_t least)
{
    const auto got = accepted_between(cluster.worker(id), from_us, to_us);
    CPPUNIT_ASSERT_MESSAGE(std::string(id) + " got only " + std::to_string(got), got >= least);
}

/// Starts workers and routers, without those in zone 1.
void start_others(zone_cluster& cluster, int routers)
{
    // Two workers of six slots can hardly serve 100 requests a second, so the third is needed.
    cluster.run_ms = 100;
    for (const auto* id : {"k2", "k3", "p2", "p3"})
        cluster.start_worker(id, millis(0));
    for (int n = 0; n < routers; ++n)
        cluster.start_router();
}

} // namespace

class session_pace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_pace);
    CPPUNIT_TEST(a_worker_that_starts_under_a_flood);
    CPPUNIT_TEST(a_worker_that_turns_cold_while_it_runs);
    CPPUNIT_TEST(a_worker_that_turns_cold_while_the_coordinator_is_gone);
    CPPUNIT_TEST(a_worker_that_did_not_respond_for_some_time);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Each process saw an idle worker and sent to it: together 18 requests in a second.
    void a_worker_that_starts_under_a_flood()
    {
        zone_cluster cluster;
        cluster.run(start_cold(cluster));
    }

    /// The permits that were issued at the full rate must not add to those of a cold worker.
    void a_worker_that_turns_cold_while_it_runs()
    {
        zone_cluster cluster;
        cluster.run(turn_cold(cluster, false));
    }

    /// Without the coordinator the processes must not exceed the bound, nor send nothing at all.
    void a_worker_that_turns_cold_while_the_coordinator_is_gone()
    {
        zone_cluster cluster;
        cluster.run(turn_cold(cluster, true));
    }

    /// It must not be flooded when it is back, before its next entry says that it is cold.
    void a_worker_that_did_not_respond_for_some_time()
    {
        zone_cluster cluster;
        cluster.run(freeze(cluster));
    }

  private:
    static asio::awaitable<void> freeze(zone_cluster& cluster)
    {
        constexpr millis frozen_time{3'500};
        start_others(cluster, 4);
        for (const auto* id : {"k1", "p1"})
            cluster.start_worker(id, millis(0));
        co_await cluster.warm_up();
        cluster.writes_entries = false;
        for (const auto* id : {"k1", "p1"})
            cluster.worker(id).freeze(frozen_time);
        co_await cluster.flood(frozen_time);
        const auto back = boot_us();
        for (const auto* id : {"k1", "p1"})
            cluster.worker(id).set_cold(cold_time);
        co_await cluster.flood(millis(1'200));
        cluster.writes_entries = true;
        co_await cluster.flood(millis(7'800));
        co_await cluster.delay(millis(500));
        for (const auto* id : {"k1", "p1"})
        {
            check_bound(cluster, id, back, back + us(cold_time));
            check_gets(cluster, id, back + us(cold_time + millis(3'000)),
                       back + us(cold_time + millis(5'000)), 10);
        }
    }

    static asio::awaitable<void> start_cold(zone_cluster& cluster)
    {
        start_others(cluster, 4);
        co_await cluster.warm_up();
        const auto started = boot_us();
        for (const auto* id : {"k1", "p1"})
            cluster.start_worker(id, cold_time);
        co_await cluster.flood(millis(9'000));
        co_await cluster.delay(millis(500));
        const auto warm = started + us(cold_time);
        for (const auto* id : {"k1", "p1"})
        {
            check_bound(cluster, id, started, warm);
            check_gets(cluster, id, started, warm, 8);
        }
        // Its share of the requests for keys, and of those without, is about 33 a second.
        check_gets(cluster, "p1", warm + us(millis(3'000)), warm + us(millis(5'000)), 30);
        check_gets(cluster, "k1", warm + us(millis(3'000)), warm + us(millis(5'000)), 20);
    }

    static asio::awaitable<void> turn_cold(zone_cluster& cluster, bool pauses_coordinator)
    {
        start_others(cluster, pauses_coordinator ? 5 : 4);
        for (const auto* id : {"k1", "p1"})
            cluster.start_worker(id, millis(0));
        co_await cluster.warm_up();
        if (pauses_coordinator)
            co_await cluster.pause_coordinator();
        const auto turned = boot_us();
        for (const auto* id : {"k1", "p1"})
        {
            cluster.worker(id).set_cold(cold_time);
            cluster.write_entry(id);
        }
        co_await cluster.flood(millis(9'000));
        co_await cluster.delay(millis(500));
        const auto warm = turned + us(cold_time);
        for (const auto* id : {"k1", "p1"})
        {
            check_bound(cluster, id, turned + contact_us, warm);
            check_gets(cluster, id, turned + contact_us, warm, 3);
            check_gets(cluster, id, warm + us(millis(3'000)), warm + us(millis(5'000)), 20);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_pace);
