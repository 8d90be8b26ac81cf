/// Claims of the coordinator role whose outcome is unknown or pending, with the router, a stand-in
/// store and a stand-in worker in one process on loopback.
#include "hold_check.hpp"
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/peers/packing.hpp>
#include <eelgrassrail/router/router_process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <functional>
#include <memory>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

const std::string routes_text =
    R"({"version":"r1","limits":{"idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
    R"({"name":"read","kind":"safe","match":{"path_prefix":"/read/"},"action":{"service":"keys",)"
    R"("timeout":"500ms","max_attempts":3}}]}],"clusters":)"
    R"([{"name":"keys","max_connections":100,"sharded":true}]})";

constexpr std::uint64_t recorded_version = (std::uint64_t(9) << epoch_shift) + 4;

/// A router that starts while the record names a coordinator that does not answer it.
class claim_cluster
{
  public:
    claim_cluster()
        : store(context, address(0))
        , client(context.get_executor(), address(0))
    {
        store.put("keyed.op", "config", routes_text);
        worker = start_worker("k1", address(1));
        // All keys were being moved to k1 from a worker that is not registered.
        put_record(address(90), {0, key_count - 1, {"k1", 1}, false, {"unlisted", 1}, {}});
    }

    /// Starts and registers a worker.
    std::unique_ptr<worker_standin> start_worker(const std::string& id, const std::string& at,
                                                 bool is_sharded = true)
    {
        worker_settings settings;
        settings.id = id;
        settings.address = at;
        settings.service = "keys";
        settings.zone = "z1";
        settings.is_sharded = is_sharded;
        settings.start_time_ms = 1;
        settings.holds = &holds;
        auto started = std::make_unique<worker_standin>(context, settings);
        store.put("keyed.servers", id, started->registration(false));
        return started;
    }

    /// Records one slice, as the version before does: without lease times.
    void put_record(const std::string& coordinator, const key_slice& slice)
    {
        ownership_record record;
        record.coordinator = {coordinator, "z1", 7};
        record.version = recorded_version;
        record.assign_slice("keys", slice);
        store.put("keyed.ownership", "map", write_message(record));
    }

    /// Registers a worker, by default at an address where nobody listens.
    void put_entry(const std::string& id, std::uint64_t born_ms,
                   const std::string& at = address(95), const std::string& service = "keys")
    {
        store.put("keyed.servers", id,
                  R"({"service":")" + service + R"(","address":")" + at +
                      R"(","zone":"z1","version":"v1","slots":3,"state":"ready",)"
                      R"("cold_remaining":"0ms","seq":1,"born":)" +
                      std::to_string(born_ms) + "}");
    }

    static std::string address(int offset)
    {
        constexpr int first_port = 20'800;
        return "127.0.0.1:" + std::to_string(first_port + offset);
    }

    void start_router()
    {
        router_settings settings;
        settings.vm = "r";
        settings.zone = "z1";
        settings.caller_address = address(50);
        settings.ready_address = address(51);
        settings.peer_address = address(52);
        settings.max_lease_duration = millis(3'000);
        settings.stop_timeout = millis(6'000);
        settings.retry_ratio = 0.2;
        settings.retry_slack = 50;
        settings.max_descriptors = 1'000;
        router = std::make_unique<router_process>(context, settings, make_platform_calls(client),
                                                  platform::wire_names());
        router->start();
    }

    asio::awaitable<void> delay(millis time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<unsigned> read_status(std::string attempt)
    {
        http_call call;
        call.method = "GET";
        call.target = "/read/x";
        call.fields = {{"Host", "h"},
                       {"Eelgrassrail-Attempt-Id", std::move(attempt)},
                       {"Eelgrassrail-Deadline-Ms", "400"},
                       {"Eelgrassrail-Shard-Key", "5"}};
        http_client caller(context.get_executor(), address(50), 1);
        const auto exchange =
            co_await caller.exchange(std::move(call), boot_clock::now() + millis(800));
        co_return exchange.reply.status;
    }

    /// The state that the router serves to other processes.
    asio::awaitable<std::optional<state_copy>> fetch_copy()
    {
        http_call call;
        call.method = "GET";
        call.target = "/copy?ownership=0&routes=0";
        http_client peer(context.get_executor(), address(52), 1);
        const auto exchange =
            co_await peer.exchange(std::move(call), boot_clock::now() + millis(800));
        const auto bytes = unpack(exchange.reply.body);
        co_return bytes ? read_message<state_copy>(*bytes) : std::nullopt;
    }

    /// Runs a session to completion and rethrows its exception.
    void run(asio::awaitable<void> session)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(session),
                       [&](const std::exception_ptr& thrown)
                       {
                           failure = thrown;
                           context.stop();
                       });
        context.run();
        if (failure)
            std::rethrow_exception(failure);
    }

    asio::io_context context{1};
    hold_journal holds; ///< of all workers
    store_standin store;
    platform::store_client client;
    std::unique_ptr<worker_standin> worker;
    std::unique_ptr<router_process> router;
};

} // namespace

class session_ownership : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_ownership);
    CPPUNIT_TEST(a_claim_without_an_answer_waits_for_the_coordinator_before_it);
    CPPUNIT_TEST(a_claim_that_is_not_on_record_is_not_served_to_others);
    CPPUNIT_TEST(an_older_entry_does_not_end_an_incarnation);
    CPPUNIT_TEST(a_restart_on_a_record_of_the_version_before_serves_at_once);
    CPPUNIT_TEST(an_entry_at_its_address_does_not_end_a_worker);
    CPPUNIT_TEST(another_process_at_its_address_ends_a_worker);
    CPPUNIT_TEST(a_process_without_keys_at_its_address_ends_a_worker);
    CPPUNIT_TEST(an_entry_under_its_id_does_not_end_a_worker);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against granting keys whose owner may still get renewals: the append of the claim is
    /// executed, its answer is lost, and the process then takes the role for its own.
    void a_claim_without_an_answer_waits_for_the_coordinator_before_it()
    {
        claim_cluster cluster;
        cluster.store.faults.lost_answer_percent = 1; // the first of each 100 appends
        cluster.start_router();
        cluster.run(read_until_leases_have_ended(cluster));
    }

    /// Guards against processes that take a pending claim for the record: the claim may fail, and
    /// they would ignore the record of the epoch that is in force.
    void a_claim_that_is_not_on_record_is_not_served_to_others()
    {
        claim_cluster cluster;
        cluster.store.faults.slow_ms = 300;
        cluster.start_router();
        cluster.run(copy_during_claim(cluster));
    }

    /// Guards against taking a living incarnation for ended: the registry knows only an earlier
    /// one, whose address another worker has taken.
    void an_older_entry_does_not_end_an_incarnation()
    {
        claim_cluster cluster;
        cluster.put_record(claim_cluster::address(90),
                           {0, key_count - 1, {"k1", 1}, false, {"moved", 300}, {}});
        cluster.put_entry("moved", 100);
        cluster.put_entry("other", 200);
        cluster.start_router();
        cluster.run(read_until_leases_may_end(cluster));
    }

    /// Guards against waits for workers that answer: only keys of others wait for earlier leases.
    void a_restart_on_a_record_of_the_version_before_serves_at_once()
    {
        claim_cluster cluster;
        cluster.put_record(claim_cluster::address(52), {0, key_count - 1, {"k1", 1}, true, {}, {}});
        cluster.start_router();
        cluster.run(read_until_served(cluster, millis(4'000)));
    }

    /// Guards against granting the keys of a worker that is up, without a release, since another
    /// entry has its address and a later start.
    void an_entry_at_its_address_does_not_end_a_worker()
    {
        claim_cluster cluster;
        cluster.put_record(claim_cluster::address(52), {0, key_count - 1, {"k0", 1}, true, {}, {}});
        const auto owner = cluster.start_worker("k0", claim_cluster::address(2));
        cluster.start_router();
        cluster.run(replace_entry(
            cluster, [&] { cluster.put_entry("x", 900, claim_cluster::address(2), "other"); }));
        CPPUNIT_ASSERT_EQUAL(std::string(), check_holds(cluster.holds));
        CPPUNIT_ASSERT(has_event(cluster.holds, "k0", hold_kind::released));
        CPPUNIT_ASSERT(has_event(cluster.holds, "k1", hold_kind::grant));
    }

    /// Guards against keys that wait for a lease of a process that has ended: another one answers
    /// at its address.
    void another_process_at_its_address_ends_a_worker() { replace_process(true); }

    /// As above, if the other process is of a service without keys: it does not look at the id in a
    /// release, but refuses it.
    void a_process_without_keys_at_its_address_ends_a_worker() { replace_process(false); }

    static void replace_process(bool is_sharded)
    {
        claim_cluster cluster;
        cluster.put_record(claim_cluster::address(52), {0, key_count - 1, {"k0", 1}, true, {}, {}});
        auto owner = cluster.start_worker("k0", claim_cluster::address(2));
        cluster.start_router();
        cluster.run(replace_entry(
            cluster,
            [&]
            {
                owner.reset();
                owner = cluster.start_worker("x", claim_cluster::address(2), is_sharded);
                cluster.put_entry("x", 900, claim_cluster::address(2), "other");
            }));
        CPPUNIT_ASSERT_EQUAL(std::string(), check_holds(cluster.holds));
        CPPUNIT_ASSERT(has_event(cluster.holds, "k1", hold_kind::grant));
    }

    /// Guards against taking the refusal of a process at another address, which an entry under the
    /// worker's id names, for the end of the worker.
    void an_entry_under_its_id_does_not_end_a_worker()
    {
        claim_cluster cluster;
        cluster.put_record(claim_cluster::address(52), {0, key_count - 1, {"k0", 1}, true, {}, {}});
        const auto owner = cluster.start_worker("k0", claim_cluster::address(2));
        cluster.start_router();
        cluster.run(replace_entry(cluster, [&]
                                  { cluster.put_entry("k0", 900, claim_cluster::address(1)); }));
        CPPUNIT_ASSERT_EQUAL(std::string(), check_holds(cluster.holds));
    }

  private:
    static bool has_event(const hold_journal& holds, const std::string& id, hold_kind kind)
    {
        return std::ranges::any_of(holds, [&](const hold_event& it)
                                   { return it.kind == kind && it.life.starts_with(id + "#"); });
    }

    /// The owner serves; then an entry appears, and its own is removed. A lease takes 3 s, so the
    /// keys that move in the time after that were not just given up by a lease that ended.
    static asio::awaitable<void> replace_entry(claim_cluster& cluster,
                                               std::function<void()> put_entry)
    {
        constexpr millis read_interval{700};
        constexpr millis move_time{1'800};
        co_await read_until_served(cluster, millis(4'000));
        put_entry();
        co_await cluster.delay(read_interval);
        cluster.store.put("keyed.servers", "k0", "");
        co_await cluster.delay(move_time);
    }

    static asio::awaitable<void> read_until_served(claim_cluster& cluster, millis timeout)
    {
        const auto until = boot_clock::now() + timeout;
        unsigned status = 0;
        for (int n = 0; status != 200 && boot_clock::now() < until; ++n)
        {
            status = co_await cluster.read_status("served-" + std::to_string(n));
            co_await cluster.delay(millis(100));
        }
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }

    /// A claim is made at least 1.3 s after the start. Then the previous coordinator may renew for
    /// 8 s, and the lease of the last renewal takes 3 s.
    static asio::awaitable<void> read_until_leases_may_end(claim_cluster& cluster)
    {
        const auto until = boot_clock::now() + millis(7'000);
        for (int n = 0; boot_clock::now() < until; ++n)
        {
            const auto status = co_await cluster.read_status("read-" + std::to_string(n));
            CPPUNIT_ASSERT(status != 200);
            co_await cluster.delay(millis(100));
        }
        CPPUNIT_ASSERT(cluster.worker->journal().empty());
    }

    /// The claim is on record 3 s after the start at the latest; the leases that may last then have
    /// ended after 11.9 s.
    static asio::awaitable<void> read_until_leases_have_ended(claim_cluster& cluster)
    {
        co_await read_until_leases_may_end(cluster);
        co_await read_until_served(cluster, millis(9'000));
    }

    static asio::awaitable<void> copy_during_claim(claim_cluster& cluster)
    {
        std::size_t copies = 0;
        std::optional<std::uint64_t> claimed_version;
        // Until the claim is on record the store has exactly one record of ownership.
        for (int n = 0; n < 400 && cluster.store.end("keyed.ownership") == 1; ++n)
        {
            const auto copy = co_await cluster.fetch_copy();
            if (copy && cluster.store.end("keyed.ownership") == 1)
            {
                ++copies;
                if (copy->ownership.version > recorded_version)
                    claimed_version = copy->ownership.version;
            }
            co_await cluster.delay(millis(20));
        }
        CPPUNIT_ASSERT(copies > 20);
        CPPUNIT_ASSERT(!claimed_version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_ownership);
