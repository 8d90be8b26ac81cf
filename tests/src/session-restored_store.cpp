/// Routers and workers while the store is restored from a copy some seconds old. Each router runs
/// on a thread of its own; the store and the workers share one.
#include "hold_check.hpp"
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/grants/role_claim.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/router_process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

constexpr int first_port = 21'510;
constexpr int ports_per_router = 10;
constexpr int store_port = 90;
constexpr int worker_port = 91;
constexpr int key_interval = 4'096;
constexpr millis max_lease{3'000};
constexpr millis copy_age{700};
constexpr millis away{300};
constexpr millis rewriting_time{1'500}; ///< after which operator and workers have written again
constexpr millis max_recovery{25'000};  ///< more than a role lease, a lease and a claim

std::string address(int offset)
{
    return "127.0.0.1:" + std::to_string(first_port + offset);
}

std::string routes(int version)
{
    return R"({"version":"r)" + std::to_string(version) +
           R"(","limits":{"idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
           R"({"name":"read","kind":"safe","match":{"path_prefix":"/read/"},"action":)"
           R"({"service":"keys","timeout":"1500ms","max_attempts":3}}]}],"clusters":)"
           R"([{"name":"keys","max_connections":100,"sharded":true}]})";
}

/// A router with its own context and thread; destroying it has the effect of SIGKILL.
class router_thread
{
  public:
    explicit router_thread(int number)
        : m_client(m_context.get_executor(), address(store_port))
    {
        router_settings settings;
        settings.vm = "r" + std::to_string(number);
        settings.zone = "z1";
        settings.caller_address = address(number * ports_per_router);
        settings.ready_address = address(number * ports_per_router + 1);
        settings.peer_address = address(number * ports_per_router + 2);
        settings.max_lease_duration = max_lease;
        settings.stop_timeout = millis(6'000);
        settings.retry_ratio = 0.2;
        settings.retry_slack = 50;
        settings.max_descriptors = 1'000;
        settings.processor = 1.0 / (number + 1); // the first one claims first
        m_router = std::make_unique<router_process>(
            m_context, settings, make_platform_calls(m_client), platform::wire_names());
        m_router->start();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~router_thread()
    {
        m_context.stop();
        m_thread.join();
    }
    router_thread(const router_thread&) = delete;
    router_thread& operator=(const router_thread&) = delete;

  private:
    asio::io_context m_context{1};
    platform::store_client m_client;
    std::unique_ptr<router_process> m_router;
    std::thread m_thread;
};

http_reply call(int offset, http_call request)
{
    asio::io_context context;
    http_client client(context.get_executor(), address(offset), 1);
    http_reply reply;
    reply.status = 0;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            const auto got =
                co_await client.exchange(std::move(request), boot_clock::now() + millis(3'000));
            if (got.result == exchange_result::complete)
                reply = got.reply;
        },
        asio::detached);
    context.run();
    return reply;
}

/// The value of a metric of a router; -1 if it has none.
int metric_of(int router, const std::string& name)
{
    http_call request;
    request.method = "GET";
    request.target = "/metrics";
    const auto text = call(router * ports_per_router + 2, std::move(request)).body;
    const auto at = text.find(name + " ");
    return at == std::string::npos ? -1 : std::stoi(text.substr(at + name.size() + 1));
}

bool eventually(const std::function<bool()>& condition, millis time = max_recovery)
{
    for (const auto until = boot_clock::now() + time; boot_clock::now() < until;)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(millis(50));
    }
    return false;
}

/// The store, three workers that hold keys, and the routers.
class deployment
{
  public:
    deployment()
    {
        m_store.put("keyed.op", "config", routes(1));
        add_worker();
        add_worker();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~deployment()
    {
        routers.clear();
        m_context.stop();
        m_thread.join();
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Runs a function on the thread of the store and the workers.
    template <class Call>
    auto run(Call function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    /// Starts routers, of which the first becomes the coordinator.
    void start_routers(int count)
    {
        for (int n = 0; n < count; ++n)
        {
            routers.push_back(std::make_unique<router_thread>(n));
            if (n == 0)
                CPPUNIT_ASSERT(eventually([] { return metric_of(0, "coordinates") == 1; }));
        }
        for (int n = 0; n < count; ++n)
            CPPUNIT_ASSERT(eventually([&] { return serves_all(n); }));
    }

    /// Starts a worker, which gets keys of the others.
    void start_worker()
    {
        run([this] { add_worker(); });
    }

    void write_routes(int version)
    {
        run([&] { m_store.put("keyed.op", "config", routes(version)); });
    }

    void restore(millis age)
    {
        run([&] { m_store.restore(age, away); });
    }

    /// The operator and the workers write again what the copy lacks.
    void write_again(int version)
    {
        run(
            [&]
            {
                m_store.put("keyed.op", "config", routes(version));
                for (const auto& worker : m_workers)
                    if (m_store.value("keyed.servers", worker->settings().id) !=
                        worker->registration(false))
                        m_store.put("keyed.servers", worker->settings().id,
                                    worker->registration(false));
            });
    }

    ownership_record recorded()
    {
        const auto text = run([this] { return m_store.value("keyed.ownership", "map"); });
        return read_message<ownership_record>(text).value_or(ownership_record{});
    }

    /// Whether requests for keys all over the range get answers by a router.
    bool serves_all(int router)
    {
        for (int key = 0; key < static_cast<int>(key_count); key += key_interval)
        {
            http_call request;
            request.method = "GET";
            request.target = "/read/x";
            request.fields = {{"Host", "h"},
                              {"Eelgrassrail-Attempt-Id", "a" + std::to_string(m_attempts++)},
                              {"Eelgrassrail-Deadline-Ms", "2000"},
                              {"Eelgrassrail-Shard-Key", std::to_string(key)}};
            if (call(router * ports_per_router, std::move(request)).status != 200)
                return false;
        }
        return true;
    }

    hold_journal holds()
    {
        return run([this] { return m_holds; });
    }

    /// Checks that no key had two holders, and no token was used twice.
    void check() { CPPUNIT_ASSERT_EQUAL(std::string(), check_holds(holds())); }

    std::vector<std::unique_ptr<router_thread>> routers;

  private:
    void add_worker()
    {
        const auto number = static_cast<int>(m_workers.size());
        worker_settings settings;
        settings.id = "k" + std::to_string(number);
        settings.address = address(worker_port + number);
        settings.service = "keys";
        settings.zone = "z1";
        settings.is_sharded = true;
        settings.start_time_ms = 1;
        settings.holds = &m_holds;
        m_workers.push_back(std::make_unique<worker_standin>(m_context, settings));
        m_store.put("keyed.servers", settings.id, m_workers.back()->registration(false));
    }

    asio::io_context m_context{1};
    hold_journal m_holds;
    store_standin m_store{m_context, address(store_port)};
    std::vector<std::unique_ptr<worker_standin>> m_workers;
    int m_attempts{};
    std::thread m_thread;
};

void wait(millis time)
{
    std::this_thread::sleep_for(time);
}

bool is_grant_of_era(const hold_event& event, std::uint64_t era)
{
    const bool is_grant = event.kind == hold_kind::grant || event.kind == hold_kind::renewal;
    return is_grant && epoch_era(event.fence) == era;
}

bool has_grant_of_era(const hold_journal& holds, std::uint64_t era)
{
    return std::ranges::any_of(holds, [era](const hold_event& event)
                               { return is_grant_of_era(event, era); });
}

std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               boot_clock::now().time_since_epoch())
        .count();
}

} // namespace

class session_restored_store : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_restored_store);
    CPPUNIT_TEST(the_coordinator_records_its_state_again);
    CPPUNIT_TEST(two_restores_in_a_row);
    CPPUNIT_TEST(a_claimer_waits_for_grants_of_missing_records);
    CPPUNIT_TEST(a_record_of_an_earlier_coordinator_delays_no_claim);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against keys with two owners, tokens that are used twice, workers that are dropped
    /// and a desired state that is taken back, while the coordinator lives.
    void the_coordinator_records_its_state_again()
    {
        deployment it;
        it.start_routers(2);
        wait(copy_age);
        it.write_routes(2);
        it.start_worker();
        wait(copy_age - millis(100)); // keys move to it
        const auto before = it.recorded().version;
        it.restore(copy_age);
        for (const auto until = boot_clock::now() + rewriting_time; boot_clock::now() < until;)
            for (int n = 0; n < 2; ++n)
            {
                CPPUNIT_ASSERT(metric_of(n, "routes_version") >= 2);
                CPPUNIT_ASSERT(it.serves_all(n));
            }
        it.write_again(2);
        check_recovered(it, before, 1, 2);
        CPPUNIT_ASSERT_EQUAL(1, metric_of(0, "coordinates"));
    }

    void two_restores_in_a_row()
    {
        deployment it;
        it.start_routers(2);
        wait(copy_age);
        it.write_routes(2);
        it.start_worker();
        wait(copy_age - millis(100));
        const auto before = it.recorded().version;
        it.restore(copy_age);
        wait(away + millis(400)); // the record may be written again by now, and is lost again
        it.restore(millis(500));
        wait(rewriting_time);
        it.write_again(2);
        check_recovered(it, before, 2, 2);
    }

    /// Guards against grants of keys that a lost record has given to another worker.
    void a_claimer_waits_for_grants_of_missing_records()
    {
        deployment it;
        it.start_routers(2);
        wait(copy_age);
        it.start_worker();
        wait(copy_age - millis(100));
        const auto before = it.recorded().version;
        const auto restored_us = now_us();
        it.routers[0].reset();
        it.restore(copy_age);
        wait(rewriting_time);
        it.write_again(1);
        // Workers serve on the leases that they have for a while.
        CPPUNIT_ASSERT(eventually([&] { return has_grant_of_era(it.holds(), 1); }));
        CPPUNIT_ASSERT(eventually([&] { return it.serves_all(1); }));
        CPPUNIT_ASSERT(it.recorded().version > before);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), epoch_era(it.recorded().version));
        const auto earliest_us =
            restored_us + std::chrono::microseconds(role_lease + max_lease).count();
        for (const auto& event : it.holds())
            if (is_grant_of_era(event, 1))
                CPPUNIT_ASSERT(event.at_us >= earliest_us);
        it.check();
    }

    /// Guards against claimers that wait for each other for good: the record on the copy names an
    /// earlier coordinator than the one that they know.
    void a_record_of_an_earlier_coordinator_delays_no_claim()
    {
        deployment it;
        it.start_routers(3);
        const auto copied = boot_clock::now();
        wait(millis(100));
        it.routers[0].reset();
        CPPUNIT_ASSERT(eventually([] { return metric_of(1, "coordinates") == 1; }));
        wait(millis(500)); // the other router learns of it
        it.routers[1].reset();
        it.restore(std::chrono::ceil<millis>(boot_clock::now() - copied));
        wait(rewriting_time);
        it.write_again(1);
        CPPUNIT_ASSERT(eventually([] { return metric_of(2, "coordinates") == 1; }));
        CPPUNIT_ASSERT(eventually([&] { return it.serves_all(2); }));
        it.check();
    }

  private:
    static void check_recovered(deployment& it, std::uint64_t before, std::uint64_t era,
                                int processes)
    {
        wait(millis(3'500)); // removals that were deferred would be in force by now
        for (int n = 0; n < processes; ++n)
        {
            CPPUNIT_ASSERT(eventually([&] { return it.serves_all(n); }));
            CPPUNIT_ASSERT_EQUAL(2, metric_of(n, "routes_version"));
        }
        const auto record = it.recorded();
        CPPUNIT_ASSERT(record.version > before);
        CPPUNIT_ASSERT_EQUAL(era, epoch_era(record.version));
        it.check();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_restored_store);
