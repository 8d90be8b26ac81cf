/// End-to-end tests of the router with the platform adapter and stand-ins of the store and the
/// workers, in one process on loopback.
#include "hold_check.hpp"
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/router_process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <memory>
#include <set>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

const std::string state_text =
    R"({"version":"r1","limits":{"idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
    R"({"name":"read","kind":"safe","match":{"path_prefix":"/read/"},"action":{"service":"keys",)"
    R"("timeout":"1500ms","max_attempts":3}},)"
    R"({"name":"book","kind":"unsafe","match":{"path_prefix":"/book/"},"action":)"
    R"({"service":"plain","timeout":"1500ms","max_attempts":3}}]}],"clusters":)"
    R"([{"name":"keys","max_connections":100,"sharded":true},{"name":"plain","max_connections":100}]})";

/// A store stand-in, worker stand-ins and one router.
class test_cluster
{
  public:
    test_cluster()
        : store(context, address(0))
        , client(context.get_executor(), address(0))
    {
        store.put("keyed.op", "config", state_text);
    }

    static std::string address(int offset)
    {
        constexpr int first_port = 20'100;
        return "127.0.0.1:" + std::to_string(first_port + offset);
    }

    worker_standin& add_worker(const std::string& id, int offset, bool is_sharded,
                               std::uint64_t start_time_ms = 1)
    {
        worker_settings settings;
        settings.id = id;
        settings.address = address(offset);
        settings.service = is_sharded ? "keys" : "plain";
        settings.zone = "z1";
        settings.is_sharded = is_sharded;
        settings.start_time_ms = start_time_ms;
        settings.holds = &holds;
        workers.push_back(std::make_unique<worker_standin>(context, settings));
        store.put("keyed.servers", id, workers.back()->registration(false));
        return *workers.back();
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

    asio::awaitable<http_exchange> request(std::string target, std::string attempt, int key)
    {
        http_call call;
        call.method = target.starts_with("/book") ? "POST" : "GET";
        call.target = std::move(target);
        call.fields = {{"Host", "h"},
                       {"Eelgrassrail-Attempt-Id", std::move(attempt)},
                       {"Eelgrassrail-Deadline-Ms", "2000"},
                       {"Eelgrassrail-Shard-Key", std::to_string(key)}};
        http_client caller(context.get_executor(), address(50), 1);
        co_return co_await caller.exchange(std::move(call), boot_clock::now() + millis(3'000));
    }

    /// Waits until requests for the first and the last key are served; false after 60 polls.
    asio::awaitable<bool> wait_until_serving()
    {
        constexpr int max_polls = 60;
        for (int n = 0; n < max_polls; ++n)
        {
            const auto first = co_await request("/read/x", "ready-" + std::to_string(n), 0);
            const auto last = co_await request("/read/x", "readier-" + std::to_string(n), 65'535);
            if (first.reply.status == 200 && last.reply.status == 200 &&
                first.result == exchange_result::complete)
                co_return true;
            co_await delay(millis(100));
        }
        co_return false;
    }

    /// Runs a session to completion, rethrows its exception and checks that no key had two holders.
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
        CPPUNIT_ASSERT_EQUAL(std::string(), check_holds(holds));
    }

    asio::io_context context{1};
    hold_journal holds; ///< of all workers, also of those that were reset
    store_standin store;
    platform::store_client client;
    std::vector<std::unique_ptr<worker_standin>> workers;
    std::unique_ptr<router_process> router;
};

} // namespace

class session_router : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_router);
    CPPUNIT_TEST(the_whole_path_serves);
    CPPUNIT_TEST(foreign_entries_name_no_worker);
    CPPUNIT_TEST(a_store_that_turns_away_takes_no_key_out_of_service);
    CPPUNIT_TEST(a_worker_at_a_reused_address_gets_no_keys_of_the_old_one);
    CPPUNIT_TEST(a_planned_stop_answers_what_it_has_read);
    CPPUNIT_TEST(a_claim_finishes_moves_to_workers_that_are_gone);
    CPPUNIT_TEST(keys_that_wait_for_a_lost_worker_hold_up_no_others);
    CPPUNIT_TEST_SUITE_END();

  public:
    void the_whole_path_serves()
    {
        test_cluster cluster;
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("k2", 2, true);
        cluster.add_worker("p1", 3, false);
        cluster.start_router();
        cluster.run(serve_all_kinds(cluster));
        CPPUNIT_ASSERT(cluster.store.calls < 60);
    }

    void foreign_entries_name_no_worker()
    {
        test_cluster cluster;
        cluster.store.put("keyed.servers", "foreign", "\xff not a document");
        cluster.store.put("keyed.servers", "half", R"({"service":"keys"})");
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("p1", 3, false);
        cluster.start_router();
        cluster.run(serve_all_kinds(cluster));
    }

    void a_store_that_turns_away_takes_no_key_out_of_service()
    {
        test_cluster cluster;
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("p1", 3, false);
        cluster.start_router();
        cluster.run(serve_without_store(cluster));
    }

    void a_worker_at_a_reused_address_gets_no_keys_of_the_old_one()
    {
        test_cluster cluster;
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("k2", 2, true);
        cluster.add_worker("p1", 3, false);
        cluster.start_router();
        cluster.run(replace_at_address(cluster));
    }

    void a_planned_stop_answers_what_it_has_read()
    {
        test_cluster cluster;
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("p1", 3, false);
        cluster.start_router();
        cluster.run(stop_under_load(cluster));
    }

    void a_claim_finishes_moves_to_workers_that_are_gone()
    {
        test_cluster cluster;
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("p1", 3, false);
        ownership_record record;
        // earlier incarnation of this process
        record.coordinator = {test_cluster::address(52), "z1", 7};
        record.version = std::uint64_t(9) << epoch_shift;
        constexpr std::uint32_t slices = 64;
        constexpr std::uint32_t width = key_count / slices;
        // Every second slice was being moved to a worker that is no longer registered.
        for (std::uint32_t n = 0; n < slices; ++n)
            record.assign_slice("keys", {n * width,
                                         (n + 1) * width - 1,
                                         {n % 2 == 0 ? "gone" + std::to_string(n) : "k1", 1},
                                         n % 2 != 0,
                                         {},
                                         {}});
        record.set_lease_times({millis(0), millis(0)}); // the leases of earlier epochs have ended
        cluster.store.put("keyed.ownership", "map", write_message(record));
        cluster.start_router();
        cluster.run(serve_all_kinds(cluster));
    }

    /// A network partition of a zone leaves many keys that must not be granted until the leases of
    /// its workers have expired. Other keys must not wait for them.
    void keys_that_wait_for_a_lost_worker_hold_up_no_others()
    {
        test_cluster cluster;
        cluster.add_worker("k1", 1, true);
        cluster.add_worker("k2", 2, true);
        cluster.add_worker("p1", 3, false);
        ownership_record record;
        // earlier incarnation of this process
        record.coordinator = {test_cluster::address(52), "z1", 7};
        record.version = std::uint64_t(9) << epoch_shift;
        constexpr std::uint32_t half = key_count / 2;
        constexpr std::uint32_t width = 512;
        record.assign_slice("keys", {half, key_count - 1, {"k1", 1}, true, {}, {}});
        for (std::uint32_t first = 0; first < half; first += width)
            record.assign_slice("keys", {first,
                                         first + width - 1,
                                         {"k1", 1},
                                         false,
                                         {"gone" + std::to_string(first), 1},
                                         {}});
        record.set_lease_times({millis(0), millis(0)}); // the leases of earlier epochs have ended
        cluster.store.put("keyed.ownership", "map", write_message(record));
        cluster.start_router();
        cluster.run(serve_at_the_empty_worker(cluster));
    }

  private:
    /// The leases of the lost workers expire after 3.8 s; the worker without keys must get some
    /// before that.
    static asio::awaitable<void> serve_at_the_empty_worker(test_cluster& cluster)
    {
        const auto until = boot_clock::now() + millis(3'000);
        std::size_t runs = 0;
        for (int n = 0; boot_clock::now() < until && runs == 0; ++n)
        {
            constexpr int half = key_count / 2;
            const int key = half + (n * 1'024) % half;
            co_await cluster.request("/read/x", "read-" + std::to_string(n), key);
            runs = cluster.workers[1]->journal().size();
        }
        CPPUNIT_ASSERT(runs > 0);
    }

    static asio::awaitable<void> serve_all_kinds(test_cluster& cluster)
    {
        const bool serves = co_await cluster.wait_until_serving();
        CPPUNIT_ASSERT(serves);
        for (int n = 0; n < 40; ++n)
        {
            const auto read =
                co_await cluster.request("/read/x", "read-" + std::to_string(n), n * 1'600);
            CPPUNIT_ASSERT_EQUAL(200U, read.reply.status);
            CPPUNIT_ASSERT_EQUAL("answer to read-" + std::to_string(n) + " ", read.reply.body);
            const auto book = co_await cluster.request("/book/x", "book-" + std::to_string(n), 1);
            CPPUNIT_ASSERT_EQUAL(200U, book.reply.status);
        }
        const auto unknown = co_await cluster.request("/other/x", "other", 1);
        CPPUNIT_ASSERT_EQUAL(404U, unknown.reply.status);
        std::multiset<std::string> ran;
        for (const auto& worker : cluster.workers)
            for (const auto& run : worker->journal())
                ran.insert(run.attempt);
        for (int n = 0; n < 40; ++n)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), ran.count("book-" + std::to_string(n)));
    }

    static asio::awaitable<void> serve_without_store(test_cluster& cluster)
    {
        const bool serves = co_await cluster.wait_until_serving();
        CPPUNIT_ASSERT(serves);
        // The new worker is due to get keys, but the store rejects all writes.
        cluster.add_worker("k2", 2, true);
        co_await cluster.delay(millis(600));
        cluster.store.faults.reject_status = 503;
        for (int n = 0; n < 60; ++n)
        {
            const auto read =
                co_await cluster.request("/read/x", "read-" + std::to_string(n), n * 1'000);
            CPPUNIT_ASSERT_EQUAL(200U, read.reply.status);
            co_await cluster.delay(millis(25));
        }
    }

    static asio::awaitable<void> replace_at_address(test_cluster& cluster)
    {
        const bool serves = co_await cluster.wait_until_serving();
        CPPUNIT_ASSERT(serves);
        cluster.workers[0].reset(); // k1 is lost; its registration stays for a while
        auto& other = cluster.add_worker("k3", 1, true, 2);
        co_await cluster.delay(millis(300));
        const auto other_runs_now = other.journal().size();
        for (int n = 0; n < 20; ++n)
        {
            co_await cluster.request("/read/x", "read-" + std::to_string(n), n * 3'000);
            co_await cluster.delay(millis(100));
        }
        static_cast<void>(other_runs_now);
        check_owners(cluster);
    }

    /// Checks that no key ran on two workers with the same fencing token.
    static void check_owners(const test_cluster& cluster)
    {
        std::map<std::uint32_t, std::map<std::string, std::uint64_t>> fences;
        for (const auto& worker : cluster.workers)
        {
            if (!worker || !worker->settings().is_sharded)
                continue;
            for (const auto& run : worker->journal())
                for (const auto& [id, fence] : fences[run.key])
                    CPPUNIT_ASSERT(id == worker->settings().id || fence != run.fence);
            for (const auto& run : worker->journal())
                fences[run.key][worker->settings().id] = run.fence;
        }
    }

    static asio::awaitable<void> stop_under_load(test_cluster& cluster)
    {
        const bool serves = co_await cluster.wait_until_serving();
        CPPUNIT_ASSERT(serves);
        cluster.router->begin_stop();
        for (int n = 0; n < 60; ++n)
        {
            const auto read = co_await cluster.request("/book/x", "book-" + std::to_string(n), 1);
            if (read.result == exchange_result::not_written)
                break; // the router no longer accepts connections
            CPPUNIT_ASSERT(read.result == exchange_result::complete);
            CPPUNIT_ASSERT_EQUAL(200U, read.reply.status);
            co_await cluster.delay(millis(30));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_router);
