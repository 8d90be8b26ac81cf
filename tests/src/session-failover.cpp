/// Several router processes on loopback, each with a thread of its own; one of them falls silent.
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

/// One process: a thread with its own context. Stopping the thread is like SIGSTOP.
class router_thread
{
  public:
    router_thread(int number, double processor)
        : m_client(m_context.get_executor(), address(0))
    {
        constexpr int ports = 10; // of one process
        router_settings settings;
        settings.vm = "r" + std::to_string(number);
        settings.zone = "z1";
        settings.caller_address = address(number * ports);
        settings.ready_address = address(number * ports + 1);
        settings.peer_address = address(number * ports + 2);
        settings.longest_hold = millis(3'000);
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

    std::atomic<int> ownership_reads{}; ///< whole reads of the ownership stream: one a claim
    std::atomic<int> stream_reads{};    ///< reads of the other streams
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

/// Whether a process shows a value.
bool metric(int number, const std::string& name, int value)
{
    return metrics_of(number).find(name + " " + std::to_string(value) + "\n") != std::string::npos;
}

/// Asks until the answer is yes; no after a time that is far beyond any bound.
bool eventually(const std::function<bool()>& ask)
{
    const auto until = boot_clock::now() + millis(20'000);
    while (boot_clock::now() < until)
    {
        if (ask())
            return true;
        std::this_thread::sleep_for(millis(20));
    }
    return false;
}

/// Waits until the processes from `first` to `last` have heard of that many.
bool all_know(int first, int last, int processes)
{
    for (int n = first; n <= last; ++n)
        if (!eventually([&] { return metric(n, "processes_known", processes); }))
            return false;
    return true;
}

/// The store and the processes.
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

    /// The store answers each call with a status; 0: it serves.
    void turn_away(int status)
    {
        asio::post(m_context, [this, status] { store.faults.reject_status = status; });
    }

    void start_router(double processor)
    {
        const int number = static_cast<int>(routers.size()) + 1;
        routers.push_back(std::make_unique<router_thread>(number, processor));
    }

    /// Processes with falling processor time, so that the first ones coordinate. Ends when each of
    /// them knows all others.
    void start_in_turn(int processes)
    {
        for (int n = 0; n < processes; ++n)
        {
            start_router(1.0 / (n + 1));
            if (n == 0)
                CPPUNIT_ASSERT(eventually([] { return metric(1, "coordinates", 1); }));
        }
        CPPUNIT_ASSERT(all_know(1, processes, processes));
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
    /// Who is told of the successor need not find it by a claim of its own.
    void a_successor_is_heard_by_all()
    {
        deployment it;
        it.start_store();
        it.start_in_turn(5);
        std::vector<int> before;
        for (const auto& router : it.routers)
            before.push_back(router->ownership_reads);
        it.routers.front()->pause();
        // The successor's list has gone round, without the one that fell silent.
        CPPUNIT_ASSERT(all_know(2, 5, 4));
        int claims = 0;
        for (std::size_t n = 1; n < it.routers.size(); ++n)
            claims += it.routers[n]->ownership_reads - before[n];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(claims), claims >= 1 && claims <= 2);
    }

    /// All processes ask a store that is away; with a hundred of them the calls add up.
    void a_store_that_is_away_is_asked_ever_less()
    {
        deployment it;
        it.start_store();
        it.start_in_turn(4);
        auto& last = *it.routers.back();
        const int calm = last.stream_reads;
        constexpr int unavailable = 503;
        it.turn_away(unavailable);
        CPPUNIT_ASSERT(eventually([&] { return last.stream_reads > calm; }));
        const int before = last.stream_reads;
        const auto began = boot_clock::now();
        std::this_thread::sleep_for(millis(6'000)); // three of the longest pauses
        // Two streams, two seconds apart; and those that are made while the pauses grow.
        constexpr millis longest_pause{2'000};
        constexpr int growing = 8;
        const int most =
            2 * static_cast<int>((boot_clock::now() - began) / longest_pause) + growing;
        const int calls = last.stream_reads - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= most);
        it.turn_away(0);
        // Any process may succeed a coordinator that the store does not serve; that one reads on.
        const auto is_quiet = [&]
        {
            std::vector<int> reads;
            for (const auto& router : it.routers)
                reads.push_back(router->stream_reads);
            std::this_thread::sleep_for(longest_pause);
            int reading = 0;
            for (std::size_t n = 0; n < reads.size(); ++n)
                reading += it.routers[n]->stream_reads != reads[n] ? 1 : 0;
            return reading == 1;
        };
        CPPUNIT_ASSERT(eventually(is_quiet));
    }

    /// All processes were lost and come back; the workers have held their keys meanwhile. Small VMs
    /// claim last, about a second after their start.
    void processes_that_start_again_know_the_owners_at_once()
    {
        deployment it;
        ownership_record record;
        record.coordinator = {address(12), "z1", 7}; // an earlier life of the first process
        record.version = std::uint64_t(9) << epoch_shift;
        record.paint("keys", {0, key_count - 1, {"k1", 1}, true, {}, {}});
        it.store.put("keyed.ownership", "map", write_message(record));
        it.start_store();
        constexpr double small_vm = 0.1; // cores
        for (int n = 0; n < 5; ++n)
            it.start_router(small_vm);
        // The first claim of such a VM comes after eight ranks of 120 ms.
        constexpr millis first_claim{960};
        for (int n = 1; n <= 5; ++n)
        {
            CPPUNIT_ASSERT(eventually([n] { return metric(n, "key_slices", 1); }));
            const auto& router = *it.routers[static_cast<std::size_t>(n) - 1];
            CPPUNIT_ASSERT(router.first_ownership_read.load() < first_claim);
        }
    }

    /// Pattern: hundreds of small VMs start again at the same time. The lists of workers and routes
    /// have many pages, and each of them would read them all.
    void all_that_start_again_are_told()
    {
        deployment it;
        ownership_record record;
        record.coordinator = {address(12), "z1", 7}; // an earlier life of the first process
        record.version = std::uint64_t(9) << epoch_shift;
        record.paint("keys", {0, key_count - 1, {"k1", 1}, true, {}, {}});
        constexpr int processes = 5;
        constexpr int ports = 10; // of one process
        for (int n = 1; n <= processes; ++n)
            record.members.push_back({address(n * ports + 2), "z1", n == 1 ? 0.5F : 0.1F});
        it.store.put("keyed.ownership", "map", write_message(record));
        it.start_store();
        for (int n = 1; n <= processes; ++n)
            it.start_router(n == 1 ? 0.5 : 0.1);
        for (int n = 2; n <= processes; ++n)
        {
            CPPUNIT_ASSERT(eventually([n] { return metric(n, "key_slices", 1); }));
            CPPUNIT_ASSERT(eventually([n] { return metric(n, "routes_version", 1); }));
            const auto& router = *it.routers[static_cast<std::size_t>(n) - 1];
            CPPUNIT_ASSERT_EQUAL(0, router.stream_reads.load());
        }
    }

    /// Pushes and reports with damaged bytes, wrong lengths and addresses that are none.
    void damaged_datagrams_end_no_process()
    {
        deployment it;
        it.start_store();
        it.start_in_turn(2);
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const auto to = parse_udp_address(address(22)); // the one that does not coordinate
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
        CPPUNIT_ASSERT(eventually([] { return metric(2, "processes_known", 2); }));
        CPPUNIT_ASSERT(metrics_of(2).find("datagrams_malformed_total") != std::string::npos);
        // It goes on hearing pushes.
        CPPUNIT_ASSERT(eventually([] { return metric(1, "processes_known", 2); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_failover);
