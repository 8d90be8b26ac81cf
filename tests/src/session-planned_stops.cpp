/// Requests that arrive during the grace of a planned stop: each is answered, or refused in time
/// for its caller to go to another process. One router with stand-ins, in one process on loopback.
#include "store_standin.hpp"
#include "worker_standin.hpp"
#include <eelgrassrail/router/router_process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <memory>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

const std::string state_text =
    R"({"version":"r1","limits":{"idle_timeout":"15s"},"listeners":[{"host":"h","rules":[)"
    R"({"name":"hold","kind":"unsafe","match":{"path_prefix":"/hold/"},"action":)"
    R"({"service":"plain","timeout":"6000ms","max_attempts":3}}]}],"clusters":)"
    R"([{"name":"plain","max_connections":100}]})";

constexpr millis grace{4'000};
constexpr std::uint16_t first_port = 20'800;

/// Bytes that a caller sends at a time after the SIGTERM.
struct sent_part
{
    millis at{};
    std::string bytes;
};

/// What a caller has seen on its connection.
struct caller_view
{
    bool is_connected{};
    std::string received;
    bool has_ended{};  ///< the connection was closed or reset
    millis answered{}; ///< when the first byte was received, after the SIGTERM
};

std::string hold_request(const std::string& attempt, millis time_limit)
{
    return "POST /hold/x HTTP/1.1\r\nHost: h\r\nEelgrassrail-Attempt-Id: " + attempt +
           "\r\nEelgrassrail-Deadline-Ms: " + std::to_string(time_limit.count()) +
           "\r\nContent-Length: 0\r\n\r\n";
}

/// A router that is stopped while callers send to it.
class stopped_router
{
  public:
    explicit stopped_router(int run_ms)
        : store(context, address(0))
        , client(context.get_executor(), address(0))
    {
        store.put("keyed.op", "config", state_text);
        worker_settings plan;
        plan.id = "p1";
        plan.address = address(1);
        plan.service = "plain";
        plan.zone = "z1";
        plan.run_ms = run_ms;
        plan.start_time_ms = 1;
        worker = std::make_unique<worker_standin>(context, plan);
        store.put("keyed.servers", "p1", worker->registration(false));
        router_settings settings;
        settings.vm = "r";
        settings.zone = "z1";
        settings.caller_address = address(50);
        settings.ready_address = address(51);
        settings.peer_address = address(52);
        settings.max_lease_duration = millis(3'000);
        settings.stop_timeout = grace;
        settings.retry_ratio = 0.2;
        settings.retry_slack = 50;
        settings.max_descriptors = 1'000;
        router = std::make_unique<router_process>(context, settings, make_platform_calls(client),
                                                  platform::wire_names());
        router->start();
    }

    static std::string address(int offset)
    {
        return "127.0.0.1:" + std::to_string(first_port + offset);
    }

    /// A caller that connects, sends its parts and reads until the connection ends.
    caller_view& add_caller(std::vector<sent_part> parts, millis connects_at = millis(-200))
    {
        views.push_back(std::make_unique<caller_view>());
        asio::co_spawn(context, call(std::move(parts), connects_at, *views.back()), asio::detached);
        return *views.back();
    }

    /// Runs until the router ends the process, which stops the context.
    void run()
    {
        asio::co_spawn(
            context,
            [this]() -> asio::awaitable<void>
            {
                co_await wait_until(millis(0));
                router->begin_stop();
            },
            asio::detached);
        context.run_for(std::chrono::seconds(20));
    }

    [[nodiscard]] bool was_run(const std::string& attempt) const
    {
        return std::ranges::any_of(worker->journal(),
                                   [&](const run_entry& run) { return run.attempt == attempt; });
    }

  private:
    asio::awaitable<void> wait_until(millis at)
    {
        asio::steady_timer timer(context, stops_at + at - boot_clock::now());
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> call(std::vector<sent_part> parts, millis connects_at, caller_view& view)
    {
        co_await wait_until(connects_at);
        tcp::socket socket(context);
        boost::system::error_code ec;
        co_await socket.async_connect({asio::ip::address_v4::loopback(), first_port + 50},
                                      asio::redirect_error(asio::use_awaitable, ec));
        view.is_connected = !ec.failed();
        if (ec.failed())
            co_return;
        asio::co_spawn(context, read(socket, view), asio::detached);
        for (const auto& part : parts)
        {
            co_await wait_until(part.at);
            co_await asio::async_write(socket, asio::buffer(part.bytes),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        co_await wait_until(2 * grace); // keeps the socket
    }

    asio::awaitable<void> read(tcp::socket& socket, caller_view& view)
    {
        std::array<char, 4'096> buf{};
        for (;;)
        {
            boost::system::error_code ec;
            const auto n = co_await socket.async_read_some(
                asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            if (view.received.empty())
                view.answered = std::chrono::duration_cast<millis>(boot_clock::now() - stops_at);
            view.received.append(buf.data(), n);
            view.has_ended = ec.failed();
            if (ec.failed())
                co_return;
        }
    }

  public:
    asio::io_context context{1};
    const instant stops_at{boot_clock::now() + std::chrono::milliseconds(1'500)};
    store_standin store;
    platform::store_client client;
    std::unique_ptr<worker_standin> worker;
    std::unique_ptr<router_process> router;
    std::vector<std::unique_ptr<caller_view>> views;
};

} // namespace

class session_planned_stops : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_planned_stops);
    CPPUNIT_TEST(requests_in_time_are_answered);
    CPPUNIT_TEST(a_request_that_may_outlast_the_grace_is_refused_at_once);
    CPPUNIT_TEST(a_request_whose_end_arrives_late_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

    /// Refused as not run, in time, and the caller is to come back on another connection.
    static void check_refused(const stopped_router& stopped, const caller_view& view,
                              const std::string& attempt, millis sent)
    {
        constexpr millis longest{300};
        const auto text = attempt + " got |" + view.received + "|";
        CPPUNIT_ASSERT_MESSAGE(text, view.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_MESSAGE(text, view.received.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, view.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, view.answered <= sent + longest);
        CPPUNIT_ASSERT_MESSAGE(text, !stopped.was_run(attempt));
    }

  public:
    /// What arrives early in the grace is run and answered, on open and on new connections; idle
    /// connections and the listener are closed once the balancer has taken the process out.
    void requests_in_time_are_answered()
    {
        stopped_router stopped(300);
        const std::vector<millis> times{millis(-100), millis(50), millis(400), millis(1'200)};
        std::vector<caller_view*> seen;
        for (const auto at : times)
        {
            const auto name = std::to_string(at.count());
            seen.push_back(&stopped.add_caller({{at, hold_request("open" + name, millis(6'000))}}));
            seen.push_back(
                &stopped.add_caller({{at, hold_request("new" + name, millis(6'000))}}, at));
        }
        const auto& idle = stopped.add_caller({});
        const auto& late = stopped.add_caller({}, millis(2'900));
        stopped.run();
        for (const auto* view : seen)
            CPPUNIT_ASSERT_MESSAGE(view->received, view->received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(idle.has_ended && idle.received.empty());
        CPPUNIT_ASSERT(!late.is_connected);
    }

    /// Guards against LOST: a request with a long time limit was passed on late in the grace, and
    /// cut.
    void a_request_that_may_outlast_the_grace_is_refused_at_once()
    {
        stopped_router stopped(1'500);
        constexpr millis at{2'500};
        const auto& unsafe = stopped.add_caller({{at, hold_request("a", millis(6'000))}});
        // Its time limit ends before the grace does.
        const auto& brief = stopped.add_caller({{at, hold_request("b", millis(500))}});
        stopped.run();
        check_refused(stopped, unsafe, "a", at);
        CPPUNIT_ASSERT_MESSAGE(brief.received, brief.received.starts_with("HTTP/1.1 504"));
    }

    /// Guards against LOST: the second half of a request arrived after the listener was stopped;
    /// the request was passed on, and cut.
    void a_request_whose_end_arrives_late_is_refused_at_once()
    {
        stopped_router stopped(1'500);
        constexpr millis at{2'900};
        const auto whole = hold_request("a", millis(6'000));
        const auto half = whole.size() / 2;
        const auto& view =
            stopped.add_caller({{millis(1'000), whole.substr(0, half)}, {at, whole.substr(half)}});
        stopped.run();
        check_refused(stopped, view, "a", at);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_planned_stops);
