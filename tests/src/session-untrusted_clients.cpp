/// Clients that are not controlled: many bodies that never end, bodies above the limit, and many
/// connections, against one router process on loopback. The process has to stay within the memory
/// and the descriptors of its VM, and has to answer an ordinary request while they are connected.
#include "child_process.hpp"
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <string>
#include <sys/wait.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t mb = 1024UL * 1024;

/// Limits of the VM, lower than those of any deployment, so that a small crowd exceeds them.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_fds = 300;
constexpr std::size_t body_limit = 4 * mb;

/// Bodies of this crowd add up to two and a half times the memory.
constexpr std::size_t crowd_size = 40;

constexpr millis crowd_timeout{60'000}; ///< ends a test that would hang
constexpr millis ordinary_timeout{10'000};

std::string address(int offset)
{
    constexpr int first_port = 21'300;
    return "127.0.0.1:" + std::to_string(first_port + offset);
}

std::string desired_state(std::size_t max_body_bytes)
{
    return R"({"version":"r1","limits":{"max_body_bytes":)" + std::to_string(max_body_bytes) +
           R"(,"header_timeout":"30s","idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
           R"({"name":"file","kind":"unsafe","match":{"path_prefix":"/file/"},"action":)"
           R"({"service":"plain","timeout":"20s","max_attempts":1}}]}],)"
           R"("clusters":[{"name":"plain","max_connections":100}]})";
}

/// The number after a name in /proc/PID/status, in KB; 0 if the process has ended.
std::size_t status_kb(pid_t pid, const std::string& name)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1));
    return 0;
}

std::size_t open_descriptors(pid_t pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string head(const std::string& framing)
{
    return "POST /file/x HTTP/1.1\r\nHost: h\r\nEelgrassrail-Attempt-Id: crowd\r\n" + framing +
           "\r\n\r\n";
}

std::string chunk(std::size_t bytes)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'x') + "\r\n";
}

/// What a client of the crowd sends before it stops and stays connected.
struct client_script
{
    std::string head;
    std::string piece;    ///< sent repeatedly
    std::size_t pieces{}; ///< how often
    std::string last;     ///< sent at the end
};

/// One router process between a crowd and one worker.
class overloaded_router
{
  public:
    explicit overloaded_router(std::size_t max_body_bytes)
        : m_router(program(), arguments(), "build/untrusted-clients.log")
        , m_store(m_context, address(0))
        , m_worker(m_context, make_worker_settings())
    {
        m_store.put("keyed.op", "config", desired_state(max_body_bytes));
        m_store.put("keyed.servers", "p1", m_worker.registration(false));
        run(wait_until_serving());
    }

    /// Connects the crowd and waits until each client has sent its script or was disconnected.
    void play(std::size_t clients, const client_script& script)
    {
        run(play_crowd(clients, script));
    }

    /// Status of the answer to one ordinary request.
    unsigned ordinary_request(std::size_t body_bytes, bool is_chunked = false)
    {
        unsigned status = 0;
        run(send_request(body_bytes, is_chunked, status));
        return status;
    }

    void check_limits()
    {
        CPPUNIT_ASSERT_EQUAL(pid_t(0), waitpid(m_router.pid(), nullptr, WNOHANG));
        const auto peak_kb = status_kb(m_router.pid(), "VmHWM");
        CPPUNIT_ASSERT_MESSAGE("peak of resident memory: " + std::to_string(peak_kb) + " KB",
                               peak_kb > 0 && peak_kb <= memory_mb * 1024);
        CPPUNIT_ASSERT_MESSAGE("descriptors: " + std::to_string(m_max_descriptors),
                               m_max_descriptors <= max_fds);
    }

  private:
    static std::string program()
    {
        return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
               "eelgrassrail_platform";
    }

    static std::vector<std::string> arguments()
    {
        return {"--vm=r",
                "--zone=z1",
                "--ip=127.0.0.1",
                "--front=" + address(10),
                "--ready=" + address(11),
                "--internal_ports=" + address(12).substr(10) + "," + address(13).substr(10),
                "--store=" + address(0),
                "--memory_mb=" + std::to_string(memory_mb),
                "--max_fds=" + std::to_string(max_fds),
                "--log_level=info"};
    }

    static worker_settings make_worker_settings()
    {
        worker_settings settings;
        settings.id = "p1";
        settings.address = address(1);
        settings.service = "plain";
        settings.zone = "z1";
        settings.start_time_ms = 1;
        settings.max_body_bytes = 64 * mb;
        settings.echoes_body = false; // answers are limited to less
        return settings;
    }

    void run(asio::awaitable<void> task)
    {
        std::exception_ptr failure;
        asio::co_spawn(m_context, std::move(task),
                       [&](const std::exception_ptr& thrown)
                       {
                           failure = thrown;
                           m_context.stop();
                       });
        m_context.restart();
        m_context.run();
        if (failure)
            std::rethrow_exception(failure);
    }

    asio::awaitable<void> delay(millis time)
    {
        asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// Until the router has applied the limits of the desired state.
    asio::awaitable<void> wait_until_serving()
    {
        constexpr std::size_t above_default_limit = mb + 1;
        constexpr int max_polls = 200;
        constexpr millis interval{50};
        unsigned status = 0;
        for (int n = 0; n < max_polls && status != 200; ++n)
        {
            co_await delay(interval);
            co_await send_with_length(above_default_limit, status);
        }
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }

    /// A caller repeats a request that was not run, as a refusal permits.
    asio::awaitable<void> send_request(std::size_t body_bytes, bool is_chunked, unsigned& status)
    {
        constexpr millis interval{100};
        const auto until = boot_clock::now() + ordinary_timeout;
        status = 0;
        while (status != 200 && boot_clock::now() < until)
        {
            if (is_chunked)
                co_await send_chunked(body_bytes, status);
            else
                co_await send_with_length(body_bytes, status);
            if (status != 200)
                co_await delay(interval);
        }
    }

    asio::awaitable<void> send_with_length(std::size_t body_bytes, unsigned& status)
    {
        http_client client(m_context.get_executor(), address(10), 1);
        http_call call;
        call.method = "POST";
        call.target = "/file/x";
        call.fields = {{"Host", "h"},
                       {"Eelgrassrail-Attempt-Id", "a" + std::to_string(m_next_attempt++)},
                       {"Eelgrassrail-Deadline-Ms", "10000"}};
        call.body.assign(body_bytes, 'x');
        const auto exchange =
            co_await client.exchange(std::move(call), boot_clock::now() + ordinary_timeout);
        status = exchange.result == exchange_result::complete ? exchange.reply.status : 0;
    }

    asio::awaitable<void> send_chunked(std::size_t body_bytes, unsigned& status)
    {
        constexpr std::size_t chunk_bytes = 64UL * 1024;
        constexpr std::size_t status_at = 9; // after "HTTP/1.1 "
        const auto piece = chunk(chunk_bytes);
        boost::system::error_code ec;
        tcp::socket socket(m_context);
        co_await connect(socket, ec);
        const auto text = "POST /file/x HTTP/1.1\r\nHost: h\r\nEelgrassrail-Attempt-Id: a" +
                          std::to_string(m_next_attempt++) +
                          "\r\nEelgrassrail-Deadline-Ms: 10000\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, ec));
        for (std::size_t n = 0; n < body_bytes / chunk_bytes && !ec.failed(); ++n)
            co_await asio::async_write(socket, asio::buffer(piece),
                                       asio::redirect_error(asio::use_awaitable, ec));
        const std::string last_chunk = "0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(last_chunk),
                                   asio::redirect_error(asio::use_awaitable, ec));
        std::array<char, 128> buf{};
        const auto n = co_await socket.async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        status = n > status_at + 3 ? static_cast<unsigned>(std::atoi(buf.data() + status_at)) : 0;
    }

    static asio::awaitable<void> connect(tcp::socket& socket, boost::system::error_code& ec)
    {
        constexpr std::size_t host_length = 9; // of 127.0.0.1
        const auto port = std::stoi(address(10).substr(host_length + 1));
        co_await socket.async_connect(
            {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)},
            asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::awaitable<void> play_crowd(std::size_t clients, client_script script)
    {
        constexpr millis interval{20};
        std::size_t playing = clients;
        for (std::size_t n = 0; n < clients; ++n)
        {
            auto& socket = m_crowd.emplace_back(m_context);
            asio::co_spawn(
                m_context,
                [&]() -> asio::awaitable<void>
                {
                    co_await play_client(socket, script);
                    --playing;
                },
                asio::detached);
        }
        const auto until = boot_clock::now() + crowd_timeout;
        while (playing > 0 && boot_clock::now() < until)
        {
            m_max_descriptors = std::max(m_max_descriptors, open_descriptors(m_router.pid()));
            co_await delay(interval);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), playing);
        co_await wait_until_read(until);
    }

    /// Waits until the router has read what was sent: its memory no longer changes.
    asio::awaitable<void> wait_until_read(instant until)
    {
        constexpr int steady_polls = 25;
        constexpr millis interval{20};
        std::size_t before = 0;
        for (int n = 0; n < steady_polls && boot_clock::now() < until; ++n)
        {
            co_await delay(interval);
            const auto now_kb = status_kb(m_router.pid(), "VmRSS");
            if (std::exchange(before, now_kb) != now_kb)
                n = 0;
        }
    }

    static asio::awaitable<void> play_client(tcp::socket& socket, const client_script& script)
    {
        boost::system::error_code ec;
        co_await connect(socket, ec);
        if (!ec.failed())
            co_await asio::async_write(socket, asio::buffer(script.head),
                                       asio::redirect_error(asio::use_awaitable, ec));
        for (std::size_t n = 0; n < script.pieces && !ec.failed(); ++n)
            co_await asio::async_write(socket, asio::buffer(script.piece),
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (!ec.failed())
            co_await asio::async_write(socket, asio::buffer(script.last),
                                       asio::redirect_error(asio::use_awaitable, ec));
    }

    harness::child_process m_router; ///< started first, so that it inherits no socket
    asio::io_context m_context{1};
    store_standin m_store;
    worker_standin m_worker;
    std::list<tcp::socket> m_crowd; ///< stay connected until the end of the test
    std::size_t m_max_descriptors{};
    int m_next_attempt{};
};

} // namespace

class session_untrusted_clients : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_untrusted_clients);
    CPPUNIT_TEST(whole_bodies_that_stop_short);
    CPPUNIT_TEST(bodies_in_pieces_that_stop_short);
    CPPUNIT_TEST(bodies_announced_above_the_limit);
    CPPUNIT_TEST(bodies_sent_above_the_limit);
    CPPUNIT_TEST(large_chunks_that_stop_short);
    CPPUNIT_TEST(small_chunks_that_stop_short);
    CPPUNIT_TEST(connections_without_a_request);
    CPPUNIT_TEST(one_large_body_with_a_length);
    CPPUNIT_TEST(one_large_body_in_chunks);
    CPPUNIT_TEST_SUITE_END();

    static std::string length(std::size_t bytes)
    {
        return "Content-Length: " + std::to_string(bytes);
    }

    static void check_crowd(std::size_t clients, const client_script& script)
    {
        overloaded_router router(body_limit);
        router.play(clients, script);
        CPPUNIT_ASSERT_EQUAL(200U, router.ordinary_request(1'000));
        router.check_limits();
    }

    static void check_single(bool is_chunked)
    {
        constexpr std::size_t large = 28 * mb; // a body of the limit needs half of the memory
        overloaded_router router(large);
        CPPUNIT_ASSERT_EQUAL(200U, router.ordinary_request(large, is_chunked));
        router.check_limits();
    }

  public:
    void whole_bodies_that_stop_short()
    {
        check_crowd(crowd_size,
                    {head(length(body_limit)), std::string(body_limit - 1, 'x'), 1, ""});
    }

    void bodies_in_pieces_that_stop_short()
    {
        constexpr std::size_t piece = 16UL * 1024;
        check_crowd(crowd_size, {head(length(body_limit)), std::string(piece, 'x'),
                                 body_limit / piece - 1, std::string(piece - 1, 'x')});
    }

    void bodies_announced_above_the_limit()
    {
        check_crowd(crowd_size, {head(length(1024 * mb)), std::string(mb, 'x'), 16, ""});
    }

    void bodies_sent_above_the_limit()
    {
        check_crowd(crowd_size, {head("Transfer-Encoding: chunked"), chunk(mb), 16, ""});
    }

    void large_chunks_that_stop_short()
    {
        check_crowd(crowd_size,
                    {head("Transfer-Encoding: chunked"), chunk(mb), body_limit / mb, ""});
    }

    void small_chunks_that_stop_short()
    {
        constexpr std::size_t chunk_bytes = 16;
        constexpr std::size_t chunks_at_once = 1'024;
        std::string piece;
        for (std::size_t n = 0; n < chunks_at_once; ++n)
            piece += chunk(chunk_bytes);
        check_crowd(crowd_size, {head("Transfer-Encoding: chunked"), piece,
                                 body_limit / (chunk_bytes * chunks_at_once), ""});
    }

    void connections_without_a_request() { check_crowd(2 * max_fds, {"POST /fi", "", 0, ""}); }

    void one_large_body_with_a_length() { check_single(false); }

    void one_large_body_in_chunks() { check_single(true); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_untrusted_clients);
