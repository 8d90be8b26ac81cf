/// Workers that say in their answers that they are leaving, or want no requests for some time,
/// behind several routers in one process on loopback.
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/router/router_process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <memory>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

const std::string config_text =
    R"({"version":"r1","limits":{"idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
    R"({"name":"read","kind":"safe","target_latency":"300ms","match":{"path_prefix":"/read/"},"action":{"service":"keys",)"
    R"("timeout":"1500ms","max_attempts":3}},)"
    R"({"name":"book","kind":"unsafe","target_latency":"300ms","match":{"path_prefix":"/book/"},"action":)"
    R"({"service":"plain","timeout":"1500ms","max_attempts":3}}]}],"clusters":)"
    R"([{"name":"keys","max_connections":100,"sharded":true},{"name":"plain","max_connections":100}]})";

constexpr double us_in_s = 1e6;

/// One request, as its caller saw it.
struct caller_result
{
    std::size_t router{};
    bool is_keyed{};
    std::int64_t sent_us{};
    std::int64_t ended_us{};
    unsigned status{};      ///< 0: no complete answer
    double retry_after_s{}; ///< 0: none
};

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

std::size_t router_of(std::string_view attempt)
{
    return static_cast<std::size_t>(attempt.front() - '0');
}

/// A store, two workers of each kind, and routers that all send to them.
class drain_cluster
{
  public:
    static constexpr std::size_t routers_count = 4;

    drain_cluster()
        : store(context, address(0))
        , client(context.get_executor(), address(0))
    {
        store.put("keyed.op", "config", config_text);
        for (const auto* id : {"k1", "k2", "p1", "p2"})
        {
            worker_settings settings;
            settings.id = id;
            settings.address = address(1 + static_cast<int>(workers.size()));
            settings.is_sharded = id[0] == 'k';
            settings.service = settings.is_sharded ? "keys" : "plain";
            settings.zone = "z1";
            settings.start_time_ms = 1;
            settings.run_ms = settings.is_sharded ? 10 : 60;
            workers.push_back(std::make_unique<worker_standin>(context, settings));
            store.put("keyed.servers", id, workers.back()->registration(false));
        }
        for (std::size_t n = 0; n < routers_count; ++n)
            start_router(static_cast<int>(n));
    }

    static std::string address(int offset)
    {
        constexpr int first_port = 20'700;
        return "127.0.0.1:" + std::to_string(first_port + offset);
    }

    void start_router(int n)
    {
        constexpr int first_offset = 10;
        constexpr int ports = 3;
        const int offset = first_offset + n * ports;
        router_settings settings;
        settings.vm = "r" + std::to_string(n);
        settings.zone = "z1";
        settings.caller_address = address(offset);
        settings.ready_address = address(offset + 1);
        settings.peer_address = address(offset + 2);
        settings.drain_timeout = millis(2'000);
        settings.max_lease_duration = millis(3'000);
        settings.stop_timeout = millis(6'000);
        settings.retry_ratio = 0.2;
        settings.retry_slack = 50;
        settings.max_descriptors = 1'000;
        routers.push_back(std::make_unique<router_process>(
            context, settings, make_platform_calls(client), platform::wire_names()));
        routers.back()->start();
        callers.push_back(
            std::make_unique<http_client>(context.get_executor(), address(offset), 50));
    }

    worker_standin& worker(std::string_view id)
    {
        return **std::ranges::find_if(workers,
                                      [id](const auto& it) { return it->settings().id == id; });
    }

    /// The one of two workers that got more requests.
    worker_standin& busier(std::string_view first_id, std::string_view second_id)
    {
        auto& first = worker(first_id);
        auto& second = worker(second_id);
        return first.arrivals().size() > second.arrivals().size() ? first : second;
    }

    asio::awaitable<void> delay(millis time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<caller_result> request(std::size_t router, bool is_keyed)
    {
        constexpr unsigned key_step = 1'009;
        const auto n = m_next_attempt++;
        http_call call;
        call.method = is_keyed ? "GET" : "POST";
        call.target = is_keyed ? "/read/x" : "/book/x";
        call.fields = {
            {"Host", "h"},
            {"Eelgrassrail-Attempt-Id", std::to_string(router) + "-" + std::to_string(n)},
            {"Eelgrassrail-Deadline-Ms", "1500"},
            {"Eelgrassrail-Shard-Key", std::to_string(n * key_step % key_count)}};
        caller_result result;
        result.router = router;
        result.is_keyed = is_keyed;
        result.sent_us = now_us();
        const auto exchange =
            co_await callers[router]->exchange(std::move(call), boot_clock::now() + millis(3'000));
        result.ended_us = now_us();
        if (exchange.result != exchange_result::complete)
            co_return result;
        result.status = exchange.reply.status;
        if (const auto text = find_field(exchange.reply.fields, "Retry-After"))
            result.retry_after_s = std::stod(std::string(*text));
        co_return result;
    }

    asio::awaitable<void> request_and_record(std::size_t router, bool is_keyed)
    {
        auto result = co_await request(router, is_keyed);
        results.push_back(result);
    }

    /// Sends 40 requests of each kind a second, to all routers in turn.
    asio::awaitable<void> load(millis time)
    {
        const auto until = boot_clock::now() + time;
        for (std::size_t n = 0; boot_clock::now() < until; ++n)
        {
            asio::co_spawn(context, request_and_record(n % routers_count, n % 2 == 0),
                           asio::detached);
            asio::co_spawn(context, request_and_record(n % routers_count, n % 2 != 0),
                           asio::detached);
            co_await delay(millis(25));
        }
        co_await delay(millis(200));
    }

    /// Waits until all routers serve both kinds; false after 100 polls.
    asio::awaitable<bool> wait_until_serving()
    {
        constexpr int max_polls = 100;
        std::size_t in_a_row = 0;
        for (int n = 0; n < max_polls && in_a_row < 2 * routers_count; ++n)
        {
            const auto result =
                co_await request(in_a_row % routers_count, in_a_row < routers_count);
            in_a_row = result.status == 200 ? in_a_row + 1 : 0;
            if (in_a_row == 0)
                co_await delay(millis(100));
        }
        co_return in_a_row == 2 * routers_count;
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
    store_standin store;
    platform::store_client client;
    std::vector<std::unique_ptr<worker_standin>> workers;
    std::vector<std::unique_ptr<router_process>> routers;
    std::vector<std::unique_ptr<http_client>> callers; ///< one per router
    std::vector<caller_result> results;

  private:
    std::uint64_t m_next_attempt{1};
};

std::ptrdiff_t arrivals_between(const worker_standin& worker, std::int64_t from_us,
                                std::int64_t to_us)
{
    return std::ranges::count_if(worker.arrivals(),
                                 [=](std::int64_t it) { return it >= from_us && it < to_us; });
}

/// The largest number of requests of one router that arrived in the time for which the worker had
/// asked that router for none.
std::ptrdiff_t max_arrivals_after_refusal(const worker_standin& worker, double retry_after_s)
{
    constexpr std::int64_t contact_us = 500'000;
    std::ptrdiff_t most = 0;
    for (const auto& away : worker.turned_away())
    {
        const auto from_us = away.at_us + contact_us;
        const auto to_us = away.at_us + static_cast<std::int64_t>(retry_after_s * us_in_s);
        most = std::max(most, std::ranges::count_if(worker.requests(),
                                                    [&](const request_event& it)
                                                    {
                                                        return router_of(it.attempt) ==
                                                                   router_of(away.attempt) &&
                                                               it.at_us >= from_us &&
                                                               it.at_us < to_us;
                                                    }));
    }
    return most;
}

/// Checks the refusals of requests for keys while a worker wants none: each comes at once, and
/// names at least the remaining time.
/// @return their number
std::ptrdiff_t check_refusals(const std::vector<caller_result>& results,
                              const worker_standin& worker, double retry_after_s)
{
    constexpr std::int64_t max_wait_us = 150'000;
    constexpr double rounding_s = 0.005;
    std::ptrdiff_t refused = 0;
    for (const auto& result : results)
    {
        if (!result.is_keyed || result.status != 503)
            continue;
        ++refused;
        CPPUNIT_ASSERT_MESSAGE("held before it was refused",
                               result.ended_us - result.sent_us < max_wait_us);
        for (const auto& away : worker.turned_away())
            if (router_of(away.attempt) == result.router && away.at_us < result.sent_us)
            {
                const double left_s =
                    retry_after_s - static_cast<double>(result.ended_us - away.at_us) / us_in_s;
                CPPUNIT_ASSERT_MESSAGE("named " + std::to_string(result.retry_after_s) + " of " +
                                           std::to_string(left_s),
                                       result.retry_after_s > left_s - rounding_s);
            }
    }
    return refused;
}

void assert_served(const std::vector<caller_result>& results, bool is_keyed, std::int64_t from_us)
{
    const auto lost = std::ranges::count_if(
        results, [&](const caller_result& it)
        { return it.is_keyed == is_keyed && it.sent_us >= from_us && it.status != 200; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(is_keyed ? "not served, with key" : "not served, without key",
                                 std::ptrdiff_t(0), lost);
}

} // namespace

class session_drain : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_drain);
    CPPUNIT_TEST(a_worker_that_says_it_is_leaving_gets_no_requests);
    CPPUNIT_TEST(a_worker_that_names_a_time_gets_no_requests_for_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against DRAIN: requests to a worker that says it is leaving, while the store lists it
    /// as ready.
    void a_worker_that_says_it_is_leaving_gets_no_requests()
    {
        drain_cluster cluster;
        cluster.run(leave(cluster));
    }

    /// Guards against BUDGET: requests to a worker that has answered 503 with `Retry-After`.
    void a_worker_that_names_a_time_gets_no_requests_for_it()
    {
        drain_cluster cluster;
        cluster.run(turn_away(cluster));
    }

  private:
    static asio::awaitable<void> turn_away(drain_cluster& cluster)
    {
        const bool serves = co_await cluster.wait_until_serving();
        CPPUNIT_ASSERT(serves);
        co_await cluster.load(millis(1'000));
        auto& keyed = cluster.busier("k1", "k2");
        auto& plain = cluster.busier("p1", "p2");
        // What is not a time of some length does not close the worker.
        const auto malformed_us = now_us();
        keyed.turn_away("soon", millis(1'300));
        co_await cluster.load(millis(1'500));
        const auto n = arrivals_between(keyed, malformed_us, now_us());
        CPPUNIT_ASSERT_MESSAGE(keyed.settings().id + " named no time and got " + std::to_string(n),
                               n > 10);

        constexpr double retry_after_s = 5.5;
        for (auto* worker : {&keyed, &plain})
            worker->turn_away("5.5", millis(5'500));
        cluster.results.clear();
        co_await cluster.load(millis(5'500));
        for (const auto* worker : {&keyed, &plain})
        {
            CPPUNIT_ASSERT(!worker->turned_away().empty());
            const auto most = max_arrivals_after_refusal(*worker, retry_after_s);
            CPPUNIT_ASSERT_MESSAGE(worker->settings().id + " got " + std::to_string(most) +
                                       " requests of one router (the rule allows 2)",
                                   most == 0);
        }
        CPPUNIT_ASSERT(check_refusals(cluster.results, keyed, retry_after_s) > 10);
        assert_served(cluster.results, false, 0);

        // Some routers were turned away only in the end of that time.
        co_await cluster.load(millis(5'500));
        const auto after_us = now_us();
        co_await cluster.load(millis(2'000));
        assert_served(cluster.results, true, after_us);
        assert_served(cluster.results, false, after_us);
        for (const auto* worker : {&keyed, &plain})
        {
            const auto again = arrivals_between(*worker, after_us, now_us());
            CPPUNIT_ASSERT_MESSAGE(worker->settings().id + " got only " + std::to_string(again) +
                                       " requests after that time",
                                   again > 10);
        }
    }

    static asio::awaitable<void> leave(drain_cluster& cluster)
    {
        const bool serves = co_await cluster.wait_until_serving();
        CPPUNIT_ASSERT(serves);
        co_await cluster.load(millis(1'000));
        auto& keyed = cluster.busier("k1", "k2");
        auto& plain = cluster.busier("p1", "p2");
        keyed.set_leaving("0");
        plain.set_leaving("yes");
        co_await cluster.load(millis(1'500));
        const auto leaving_us = now_us();
        cluster.results.clear();
        for (const auto* worker : {&keyed, &plain})
            CPPUNIT_ASSERT_MESSAGE(worker->settings().id + " does not say that it is leaving",
                                   arrivals_between(*worker, 0, leaving_us) > 10);
        keyed.set_leaving("1");
        plain.set_leaving("1");
        co_await cluster.load(millis(1'000));
        // The worker renews its entry, which does not say that it is leaving.
        for (const auto* worker : {&keyed, &plain})
            cluster.store.put("keyed.servers", worker->settings().id, worker->registration(false));
        co_await cluster.load(millis(3'000));
        // Half of the drain time; nothing may arrive after the whole of it.
        constexpr std::int64_t contact_us = 1'000'000;
        for (const auto* worker : {&keyed, &plain})
        {
            const auto late = arrivals_between(*worker, leaving_us + contact_us, now_us());
            CPPUNIT_ASSERT_MESSAGE(worker->settings().id + " got " + std::to_string(late) +
                                       " requests later than 1 s after it said so",
                                   late == 0);
        }
        // The keys move in that time, and the other worker without keys has room for all.
        assert_served(cluster.results, true, leaving_us + contact_us);
        assert_served(cluster.results, false, 0);
        const auto refused_without_time =
            std::ranges::count_if(cluster.results, [](const caller_result& it)
                                  { return it.status == 503 && it.retry_after_s <= 0; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), refused_without_time);

        // A new incarnation is another worker.
        const auto restarted_us = now_us();
        for (auto* worker : {&keyed, &plain})
        {
            worker->restart(2);
            cluster.store.put("keyed.servers", worker->settings().id, worker->registration(false));
        }
        co_await cluster.load(millis(4'000));
        for (const auto* worker : {&keyed, &plain})
            CPPUNIT_ASSERT_MESSAGE(worker->settings().id + " has restarted",
                                   arrivals_between(*worker, restarted_us, now_us()) > 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_drain);
