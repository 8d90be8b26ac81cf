/// Several router processes on loopback, each with a thread of its own; one of them falls silent.
#include "store_standin.hpp"
#include <eelgrassrail/router/router_process.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>

#include <atomic>
#include <memory>
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
        settings.stop_bound = millis(6'000);
        settings.max_descriptors = 1'000;
        settings.processor = processor;
        auto calls = calls_of(m_client);
        calls.newest = [this](platform_stream stream)
        {
            if (stream == platform_stream::ownership)
                ++ownership_reads;
            else
                ++stream_reads;
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

  private:
    asio::io_context m_context{1};
    platform::store_client m_client;
    std::unique_ptr<router_process> m_router;
    std::thread m_thread;
};

/// The store, and processes with falling processor time, so that the first ones coordinate.
class deployment
{
  public:
    explicit deployment(int processes)
        : store(m_context, address(0))
    {
        store.put("keyed.op", "config",
                  R"({"version":"r1","limits":{},"listeners":[],"clusters":[]})");
        m_thread = std::thread([this] { m_context.run(); });
        for (int n = 0; n < processes; ++n)
        {
            routers.push_back(std::make_unique<router_thread>(n + 1, 1.0 / (n + 1)));
            // The first one has claimed before the next one starts.
            std::this_thread::sleep_for(millis(n == 0 ? 600 : 20));
        }
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
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Who is told of the successor need not find it by a claim of its own.
    void a_successor_is_heard_by_all()
    {
        deployment it(5);
        std::this_thread::sleep_for(millis(2'500)); // the list of processes has gone round
        std::vector<int> before;
        for (const auto& router : it.routers)
            before.push_back(router->ownership_reads);
        it.routers.front()->pause();
        std::this_thread::sleep_for(millis(2'500));
        int claims = 0;
        for (std::size_t n = 1; n < it.routers.size(); ++n)
            claims += it.routers[n]->ownership_reads - before[n];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(claims), claims >= 1 && claims <= 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_failover);
