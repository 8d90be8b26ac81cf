/// Failover tests: several routers on loopback, each on a thread of its own, with a store stand-in;
/// the coordinator stops, the store rejects calls, or all routers restart.
#include "store_standin.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/peers/packing.hpp>
#include <eelgrassrail/router/router_process.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <memory>
#include <random>
#include <thread>
#include <vector>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

constexpr int first_port = 20'300;

std::string address(int offset)
{
    return "127.0.0.1:" + std::to_string(first_port + offset);
}

/// A router with its own context and thread. Stopping the thread has the effect of SIGSTOP on a
/// router process.
class router_thread
{
  public:
    router_thread(int number, double processor)
        : m_client(m_context.get_executor(), address(0))
    {
        constexpr int ports_per_process = 10;
        router_settings settings;
        settings.vm = "r" + std::to_string(number);
        settings.zone = "z1";
        settings.caller_address = address(number * ports_per_process);
        settings.ready_address = address(number * ports_per_process + 1);
        settings.peer_address = address(number * ports_per_process + 2);
        settings.max_lease_duration = millis(3'000);
        settings.stop_timeout = millis(6'000);
        settings.max_descriptors = 1'000;
        settings.processor = processor;
        auto calls = make_platform_calls(m_client);
        calls.newest = [this](platform_stream stream)
        {
            if (stream != platform_stream::ownership)
                ++stream_reads;
            else if (ownership_reads++ == 0)
                first_ownership_read = boot_clock::now() - m_started;
            return m_client.newest(stream);
        };
        calls.read = [this](platform_stream stream, std::uint64_t from, millis wait)
        {
            if (stream != platform_stream::ownership)
                ++stream_reads;
            return m_client.read(stream, from, wait);
        };
        m_router = std::make_unique<router_process>(m_context, settings, std::move(calls),
                                                    platform::wire_names());
        m_router->start();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~router_thread() { pause(); }
    router_thread(const router_thread&) = delete;
    router_thread& operator=(const router_thread&) = delete;

    void pause()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    std::atomic<int> ownership_reads{}; ///< full reads of the ownership stream; one for each claim
    std::atomic<int> stream_reads{};    ///< reads of all other streams
    std::atomic<boot_clock::duration> first_ownership_read{boot_clock::duration::max()};

  private:
    const instant m_started{boot_clock::now()};
    asio::io_context m_context{1};
    platform::store_client m_client;
    std::unique_ptr<router_process> m_router;
    std::thread m_thread;
};

std::string metrics_of(int number)
{
    asio::io_context context;
    http_client client(context.get_executor(), address(number * 10 + 2), 1);
    http_call call;
    call.method = "GET";
    call.target = "/metrics";
    std::string text;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            const auto got =
                co_await client.exchange(std::move(call), boot_clock::now() + millis(1'000));
            text = got.reply.body;
        },
        asio::detached);
    context.run();
    return text;
}

/// Whether the metric of a router has the value.
bool has_metric(int number, const std::string& name, int value)
{
    return metrics_of(number).find(name + " " + std::to_string(value) + "\n") != std::string::npos;
}

/// Polls until the condition is true; false after 20 s, which is far beyond any tested bound.
bool eventually(const std::function<bool()>& condition)
{
    const auto until = boot_clock::now() + millis(20'000);
    while (boot_clock::now() < until)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(millis(20));
    }
    return false;
}

/// Waits until the routers `first` to `last` each know `processes` routers; false after the
/// time-out.
bool wait_for_known_processes(int first, int last, int processes)
{
    for (int n = first; n <= last; ++n)
        if (!eventually([&] { return has_metric(n, "processes_known", processes); }))
            return false;
    return true;
}

/// The store stand-in and the routers.
class deployment
{
  public:
    deployment()
        : store(m_context, address(0))
    {
        store.put("keyed.op", "config",
                  R"({"version":"r1","limits":{},"listeners":[],"clusters":[]})");
    }

    void start_store()
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    /// Makes the store answer each call with the HTTP status; 0 restores normal service.
    void reject_calls(int status)
    {
        asio::post(m_context, [this, status] { store.faults.reject_status = status; });
    }

    void start_router(double processor)
    {
        const int number = static_cast<int>(routers.size()) + 1;
        routers.push_back(std::make_unique<router_thread>(number, processor));
    }

    /// Starts routers with decreasing processor capacity, so that the first becomes the
    /// coordinator. Returns when each of them knows all others.
    void start_in_order(int processes)
    {
        for (int n = 0; n < processes; ++n)
        {
            start_router(1.0 / (n + 1));
            if (n == 0)
                CPPUNIT_ASSERT(eventually([] { return has_metric(1, "coordinates", 1); }));
        }
        CPPUNIT_ASSERT(wait_for_known_processes(1, processes, processes));
    }

    ~deployment()
    {
        routers.clear();
        m_context.stop();
        m_thread.join();
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

  private:
    asio::io_context m_context{1};

  public:
    store_standin store;
    std::vector<std::unique_ptr<router_thread>> routers;

  private:
    std::thread m_thread;
};

} // namespace

class session_failover : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_failover);
    CPPUNIT_TEST(a_successor_is_heard_by_all);
    CPPUNIT_TEST(a_store_that_is_away_is_asked_ever_less);
    CPPUNIT_TEST(processes_that_start_again_know_the_owners_at_once);
    CPPUNIT_TEST(all_that_start_again_are_told);
    CPPUNIT_TEST(damaged_datagrams_end_no_process);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// A router that receives the push of the new coordinator must not claim the role itself.
    void a_successor_is_heard_by_all()
    {
        deployment cluster;
        cluster.start_store();
        cluster.start_in_order(5);
        std::vector<int> before;
        for (const auto& router : cluster.routers)
            before.push_back(router->ownership_reads);
        cluster.routers.front()->pause();
        // The new coordinator's member list has been disseminated, without the paused router.
        CPPUNIT_ASSERT(wait_for_known_processes(2, 5, 4));
        int claims = 0;
        for (std::size_t n = 1; n < cluster.routers.size(); ++n)
            claims += cluster.routers[n]->ownership_reads - before[n];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(claims), claims >= 1 && claims <= 2);
    }

    /// With an unavailable store, each router has to back off: the calls of a hundred routers add
    /// up.
    void a_store_that_is_away_is_asked_ever_less()
    {
        deployment cluster;
        cluster.start_store();
        cluster.start_in_order(4);
        auto& last = *cluster.routers.back();
        const int reads_before_outage = last.stream_reads;
        constexpr int unavailable = 503;
        cluster.reject_calls(unavailable);
        CPPUNIT_ASSERT(eventually([&] { return last.stream_reads > reads_before_outage; }));
        const int before = last.stream_reads;
        const auto began = boot_clock::now();
        std::this_thread::sleep_for(millis(6'000)); // three times the maximum backoff
        // Two streams with a call every 2 s, and the calls made while the backoff grows.
        constexpr millis max_backoff{2'000};
        constexpr int calls_during_growth = 8;
        const int max_calls =
            2 * static_cast<int>((boot_clock::now() - began) / max_backoff) + calls_during_growth;
        const int calls = last.stream_reads - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= max_calls);
        cluster.reject_calls(0);
        // Any router may have replaced the coordinator, which the store rejected. Only the current
        // coordinator goes on reading.
        const auto has_single_reader = [&]
        {
            std::vector<int> reads;
            for (const auto& router : cluster.routers)
                reads.push_back(router->stream_reads);
            std::this_thread::sleep_for(max_backoff);
            int readers = 0;
            for (std::size_t n = 0; n < reads.size(); ++n)
                readers += cluster.routers[n]->stream_reads != reads[n] ? 1 : 0;
            return readers == 1;
        };
        CPPUNIT_ASSERT(eventually(has_single_reader));
    }

    /// All routers restart while the workers keep their leases. Routers on small VMs claim last,
    /// about 1 s after their start, and must know the owners before.
    void processes_that_start_again_know_the_owners_at_once()
    {
        deployment cluster;
        ownership_record record;
        // earlier incarnation of router 1
        record.coordinator = {address(12), "z1", 7};
        record.version = std::uint64_t(9) << epoch_shift;
        record.assign_slice("keys", {0, key_count - 1, {"k1", 1}, true, {}, {}});
        cluster.store.put("keyed.ownership", "map", write_message(record));
        cluster.start_store();
        constexpr double small_vm_cores = 0.1;
        for (int n = 0; n < 5; ++n)
            cluster.start_router(small_vm_cores);
        // The first claim on such a VM is delayed by eight ranks of 120 ms.
        constexpr millis first_claim{960};
        for (int n = 1; n <= 5; ++n)
        {
            CPPUNIT_ASSERT(eventually([n] { return has_metric(n, "key_slices", 1); }));
            const auto& router = *cluster.routers[static_cast<std::size_t>(n) - 1];
            CPPUNIT_ASSERT(router.first_ownership_read.load() < first_claim);
        }
    }

    /// Hundreds of small VMs restart at the same time. The streams of workers and routes have many
    /// pages; all but the coordinator have to get them by pushes, without reads from the store.
    void all_that_start_again_are_told()
    {
        deployment cluster;
        ownership_record record;
        // earlier incarnation of router 1
        record.coordinator = {address(12), "z1", 7};
        record.version = std::uint64_t(9) << epoch_shift;
        record.assign_slice("keys", {0, key_count - 1, {"k1", 1}, true, {}, {}});
        constexpr int processes = 5;
        constexpr int ports_per_process = 10;
        for (int n = 1; n <= processes; ++n)
            record.members.push_back(
                {address(n * ports_per_process + 2), "z1", n == 1 ? 0.5F : 0.1F});
        cluster.store.put("keyed.ownership", "map", write_message(record));
        cluster.start_store();
        for (int n = 1; n <= processes; ++n)
            cluster.start_router(n == 1 ? 0.5 : 0.1);
        for (int n = 2; n <= processes; ++n)
        {
            CPPUNIT_ASSERT(eventually([n] { return has_metric(n, "key_slices", 1); }));
            CPPUNIT_ASSERT(eventually([n] { return has_metric(n, "routes_version", 1); }));
            const auto& router = *cluster.routers[static_cast<std::size_t>(n) - 1];
            CPPUNIT_ASSERT_EQUAL(0, router.stream_reads.load());
        }
    }

    /// Sends pushes and reports with corrupted bytes, wrong lengths and invalid addresses.
    void damaged_datagrams_end_no_process()
    {
        deployment cluster;
        cluster.start_store();
        cluster.start_in_order(2);
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const auto to = parse_udp_address(address(22)); // the router that is not the coordinator
        std::mt19937 random(11);
        constexpr int datagrams = 5'000;
        for (int n = 0; n < datagrams; ++n)
        {
            push_route route;
            route.receivers = {"127.0.0.1:1", "nobody", "", "10.0.0.1:99999"};
            const auto head = write_message(route);
            std::string bytes = n % 2 == 0 ? "p" : "r";
            if (n % 2 == 0)
            {
                bytes += static_cast<char>(head.size());
                bytes += static_cast<char>(head.size() >> 8U);
                bytes += head;
            }
            bytes +=
                pack(n % 4 < 2 ? write_message(coordinator_push{}) : write_message(entry_report{}));
            for (std::size_t k = random() % 4; k > 0; --k)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
            socket.send_to(asio::buffer(bytes), to);
        }
        CPPUNIT_ASSERT(eventually([] { return has_metric(2, "processes_known", 2); }));
        CPPUNIT_ASSERT(metrics_of(2).find("datagrams_malformed_total") != std::string::npos);
        // Router 2 still exchanges pushes and reports.
        CPPUNIT_ASSERT(eventually([] { return has_metric(1, "processes_known", 2); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_failover);
