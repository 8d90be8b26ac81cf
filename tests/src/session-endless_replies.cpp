/// Backend servers that send bytes without end, on many connections at a time, to one router
/// process on loopback. The process has to stay within the memory of its VM, and has to answer
/// ordinary requests meanwhile.
#include "child_process.hpp"
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <list>
#include <string>
#include <sys/wait.h>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t kb = 1024;

/// Memory of the VM, lower than that of any deployment, so that a small crowd exceeds it.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t crowd_size = 350; ///< fewer connections than the VM has room for
constexpr std::size_t pipelined = 2;    ///< requests on each of them
constexpr int faulty_workers = 120;     ///< a router sends few requests at a time to each of them
constexpr std::size_t reply_bytes = 30 * kb; ///< of an ordinary request
constexpr millis crowd_time{4'000};
constexpr millis ordinary_timeout{2'000};
constexpr millis interval{50};

std::string address(int offset)
{
    constexpr int first_port = 21'900;
    return "127.0.0.1:" + std::to_string(first_port + offset);
}

std::string rule(const std::string& service)
{
    return R"({"name":")" + service + R"(","kind":"safe","match":{"path_prefix":"/)" + service +
           R"(/"},"action":{"service":")" + service + R"(","timeout":"8s","max_attempts":1}})";
}

std::string desired_state()
{
    return R"({"version":"r1","limits":{},"listeners":[{"host":"h","rules":[)" + rule("faulty") +
           "," + rule("plain") +
           R"(]}],"clusters":[{"name":"faulty","max_connections":100},{"name":"plain","max_connections":100}]})";
}

std::size_t peak_kb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find(':') + 1));
    return 0;
}

/// What the faulty servers send in place of a reply.
struct endless_script
{
    std::string once;
    std::string repeated; ///< until the router closes the connection
};

/// One router process, an ordinary server and many faulty ones.
class endless_session
{
  public:
    explicit endless_session(endless_script script)
        : m_script(std::move(script))
        , m_router(program(), arguments(), "build/endless-replies.log")
        , m_store(m_context, address(0))
        , m_ordinary(m_context, ordinary_settings())
    {
        m_store.put("keyed.op", "config", desired_state());
        m_store.put("keyed.servers", "p1", m_ordinary.registration(false));
        for (int n = 0; n < faulty_workers; ++n)
        {
            m_acceptors.emplace_back(m_context, parse_tcp_address(faulty_address(n)));
            m_store.put("keyed.servers", "f" + std::to_string(n), faulty_entry(n));
            asio::co_spawn(m_context, accept(m_acceptors.back()), asio::detached);
        }
    }

    /// Plays the crowd, and checks the memory and the replies to ordinary requests.
    void check()
    {
        std::exception_ptr failure;
        asio::co_spawn(m_context, play(),
                       [&](const std::exception_ptr& thrown)
                       {
                           failure = thrown;
                           m_context.stop();
                       });
        m_context.run();
        if (failure)
            std::rethrow_exception(failure);
        CPPUNIT_ASSERT_EQUAL(pid_t(0), waitpid(m_router.pid(), nullptr, WNOHANG));
        const auto peak = peak_kb(m_router.pid());
        CPPUNIT_ASSERT_MESSAGE("peak of resident memory: " + std::to_string(peak) + " KB",
                               peak > 0 && peak <= memory_mb * kb);
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
                "--max_fds=4000",
                "--log_level=info"};
    }

    static worker_settings ordinary_settings()
    {
        worker_settings settings;
        settings.id = "p1";
        settings.address = address(1);
        settings.service = "plain";
        settings.zone = "z1";
        settings.slots = 20;
        settings.start_time_ms = 1;
        return settings;
    }

    /// Each faulty server has an address of its own, on one port.
    static std::string faulty_address(int number)
    {
        return "127.0.1." + std::to_string(number + 1) + address(2).substr(address(2).find(':'));
    }

    static std::string faulty_entry(int number)
    {
        return R"({"service":"faulty","zone":"z1","version":"v1","state":"ready","seq":1,"born":1,)"
               R"("cold_remaining":"0ms","slots":100,"address":")" +
               faulty_address(number) + R"("})";
    }

    asio::awaitable<void> accept(tcp::acceptor& acceptor)
    {
        for (;;)
        {
            boost::system::error_code ec;
            auto socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec.failed())
                co_return;
            asio::co_spawn(m_context, send_without_end(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> send_without_end(tcp::socket socket)
    {
        boost::system::error_code ec;
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, ec));
        m_started += ec.failed() ? 0 : 1;
        co_await asio::async_write(socket, asio::buffer(m_script.once),
                                   asio::redirect_error(asio::use_awaitable, ec));
        asio::steady_timer timer(m_context);
        while (!ec.failed())
        {
            co_await asio::async_write(socket, asio::buffer(m_script.repeated),
                                       asio::redirect_error(asio::use_awaitable, ec));
            timer.expires_after(interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<http_exchange> send(std::string target, std::size_t body_bytes, millis timeout)
    {
        http_client client(m_context.get_executor(), address(10), 1);
        http_call call;
        call.method = "GET";
        call.target = std::move(target);
        call.fields = {{"Host", "h"},
                       {"Eelgrassrail-Attempt-Id", "a" + std::to_string(m_attempts++)},
                       {"Eelgrassrail-Deadline-Ms", std::to_string(timeout.count())}};
        call.body.assign(body_bytes, 'x'); // the worker's reply repeats it
        co_return co_await client.exchange(std::move(call), boot_clock::now() + timeout);
    }

    /// One connection of the crowd, with its requests sent at once.
    asio::awaitable<void> call_faulty()
    {
        std::string text;
        for (std::size_t n = 0; n < pipelined; ++n)
            text += "GET /faulty/x HTTP/1.1\r\nHost: h\r\nEelgrassrail-Attempt-Id: c" +
                    std::to_string(m_attempts++) +
                    "\r\nEelgrassrail-Deadline-Ms: " + std::to_string(crowd_time.count()) +
                    "\r\n\r\n";
        boost::system::error_code ec;
        auto& socket = m_crowd.emplace_back(m_context);
        co_await socket.async_connect(parse_tcp_address(address(10)),
                                      asio::redirect_error(asio::use_awaitable, ec));
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::awaitable<bool> is_answered()
    {
        const auto exchange = co_await send("/plain/x", reply_bytes, ordinary_timeout);
        co_return exchange.result == exchange_result::complete&& exchange.reply.status == 200;
    }

    asio::awaitable<void> play()
    {
        asio::steady_timer timer(m_context);
        constexpr int max_polls = 200;
        bool is_serving = false;
        for (int n = 0; n < max_polls && !is_serving; ++n)
        {
            timer.expires_after(interval);
            co_await timer.async_wait(asio::use_awaitable);
            is_serving = co_await is_answered();
        }
        CPPUNIT_ASSERT(is_serving);
        const auto until = boot_clock::now() + crowd_time;
        for (std::size_t n = 0; n < crowd_size; ++n)
            asio::co_spawn(m_context, call_faulty(), asio::detached);
        std::size_t refused = 0;
        while (boot_clock::now() < until)
        {
            refused += co_await is_answered() ? 0 : 1;
            timer.expires_after(interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), refused);
        CPPUNIT_ASSERT_MESSAGE("the crowd is too small: " + std::to_string(m_started),
                               m_started >= crowd_size * pipelined / 2);
    }

    endless_script m_script;
    harness::child_process m_router; ///< started before the sockets, so that it inherits none
    asio::io_context m_context{1};
    store_standin m_store;
    worker_standin m_ordinary;
    std::list<tcp::acceptor> m_acceptors; ///< of the faulty servers
    std::list<tcp::socket> m_crowd;       ///< stay connected until the end of the test
    std::size_t m_started{};              ///< requests that they have received
    int m_attempts{};
};

const std::string filler(8 * kb, 'x');
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

class session_endless_replies : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_endless_replies);
    CPPUNIT_TEST(a_crowd_of_heads);
    CPPUNIT_TEST(a_crowd_of_bodies);
    CPPUNIT_TEST(a_crowd_of_small_bodies_with_long_chunk_headers);
    CPPUNIT_TEST(a_crowd_of_small_bodies_that_stop_short);
    CPPUNIT_TEST(a_crowd_of_bytes_that_are_no_reply);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_crowd_of_heads()
    {
        endless_session({"HTTP/1.1 200 OK\r\n", "F: " + std::string(200, 'x') + "\r\n"}).check();
    }

    void a_crowd_of_bodies()
    {
        endless_session({"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", filler}).check();
    }

    /// Guards against replies that are small enough on their own, but exceed the memory together:
    /// what had arrived of a body, and what frames it, counted for nothing up to 64 KB each.
    void a_crowd_of_small_bodies_with_long_chunk_headers()
    {
        endless_session({chunked + "f000\r\n" + std::string(60 * kb, 'x') +
                             "\r\n1;x=" + std::string(56 * kb, 'x'),
                         "x"})
            .check();
    }

    void a_crowd_of_small_bodies_that_stop_short()
    {
        const auto sent = std::string(60 * kb, 'x') + "\r\n1;x=" + std::string(12 * kb, 'x');
        endless_session({chunked + "f000\r\n" + sent, ""}).check();
    }

    void a_crowd_of_bytes_that_are_no_reply() { endless_session({"", filler}).check(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_endless_replies);
