/// Detection of caller disconnects by the listener, on loopback.
#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace eelgrassrail;

namespace asio = boost::asio;

namespace
{

constexpr std::string_view get_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener whose handler blocks the only thread, so that a disconnect of the caller can only be
/// detected by checking the socket.
class busy_listener
{
  public:
    /// @param act action of the caller while the thread is blocked
    /// @return whether the watch reports the caller as disconnected
    bool detects_disconnect_after(const std::function<void(asio::ip::tcp::socket&)>& act)
    {
        asio::io_context context;
        std::optional<bool> seen;
        asio::io_context callers;
        asio::ip::tcp::socket caller(callers);
        http_listener listener(
            context.get_executor(), {asio::ip::make_address("127.0.0.1"), port}, {},
            [&](http_call, std::shared_ptr<caller_watch> watch) -> asio::awaitable<http_reply>
            {
                act(caller);
                std::this_thread::sleep_for(delivery_time);
                seen = watch->is_gone();
                context.stop();
                co_return http_reply{};
            },
            [](bool, bool) { return http_reply{}; });
        listener.start();
        caller.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(caller, asio::buffer(get_request));
        context.run_for(test_timeout);
        CPPUNIT_ASSERT(seen.has_value());
        return *seen;
    }

  private:
    static constexpr unsigned short port = 20'190;
    static constexpr std::chrono::milliseconds delivery_time{20}; ///< of a close, on loopback
    static constexpr std::chrono::seconds test_timeout{5};
};

/// A listener with one idle connection.
struct idle_caller
{
    static constexpr unsigned short port = 20'191;
    static constexpr std::chrono::milliseconds turn{100};
    static constexpr std::chrono::milliseconds delivery_time{20}; ///< on loopback
    static constexpr std::chrono::seconds longest{2};

    idle_caller()
        : listener(
              context.get_executor(), {asio::ip::make_address("127.0.0.1"), port}, {},
              [](http_call, const auto&) -> asio::awaitable<http_reply> { co_return http_reply{}; },
              [](bool, bool) { return http_reply{}; })
        , caller(callers)
    {
        listener.start();
        caller.connect({asio::ip::make_address("127.0.0.1"), port});
        context.run_for(turn);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listener.connections());
    }

    void wait_for_delivery() { asio::steady_timer(callers, delivery_time).wait(); }

    asio::io_context context;
    http_listener listener;
    asio::io_context callers;
    asio::ip::tcp::socket caller;
};

} // namespace

class unit_listener : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_listener);
    CPPUNIT_TEST(a_caller_that_waits_is_there);
    CPPUNIT_TEST(a_close_is_seen_before_the_loop_turns);
    CPPUNIT_TEST(a_reset_is_seen_before_the_loop_turns);
    CPPUNIT_TEST(bytes_of_a_next_request_are_no_close);
    CPPUNIT_TEST(a_request_that_arrived_before_the_stop_is_answered);
    CPPUNIT_TEST(a_request_that_crosses_the_close_is_not_read);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_caller_that_waits_is_there()
    {
        CPPUNIT_ASSERT(!busy_listener().detects_disconnect_after([](auto&) {}));
    }

    void a_close_is_seen_before_the_loop_turns()
    {
        CPPUNIT_ASSERT(
            busy_listener().detects_disconnect_after([](auto& caller) { caller.close(); }));
    }

    void a_reset_is_seen_before_the_loop_turns()
    {
        CPPUNIT_ASSERT(busy_listener().detects_disconnect_after(
            [](auto& caller)
            {
                caller.set_option(asio::socket_base::linger(true, 0));
                caller.close();
            }));
    }

    void bytes_of_a_next_request_are_no_close()
    {
        CPPUNIT_ASSERT(!busy_listener().detects_disconnect_after(
            [](auto& caller) { asio::write(caller, asio::buffer(get_request)); }));
    }

    /// Guards against a request that was read and thrown away: it arrived on an idle connection
    /// just before the listener was stopped, and the loop had not turned since.
    void a_request_that_arrived_before_the_stop_is_answered()
    {
        idle_caller it;
        asio::write(it.caller, asio::buffer(get_request));
        it.wait_for_delivery();
        it.listener.stop();
        it.context.run_for(idle_caller::longest);
        std::string received;
        boost::system::error_code ec;
        asio::read(it.caller, asio::dynamic_buffer(received), ec);
        CPPUNIT_ASSERT_MESSAGE("got |" + received + "|", received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_MESSAGE(received, received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(ec == asio::error::eof);
    }

    /// Guards against a request that was read and thrown away: it was sent while the listener
    /// closed its idle connection. A reset shows the caller that it was not read.
    void a_request_that_crosses_the_close_is_not_read()
    {
        idle_caller it;
        it.listener.stop();
        it.context.run_for(idle_caller::turn);
        boost::system::error_code ec;
        asio::write(it.caller, asio::buffer(get_request), ec);
        it.wait_for_delivery();
        it.context.restart();
        it.context.run_for(idle_caller::turn);
        asio::write(it.caller, asio::buffer(get_request), ec);
        CPPUNIT_ASSERT(ec.failed());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(unit_listener);
