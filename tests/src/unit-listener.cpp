/// Detection of caller disconnects by the listener, on loopback.
#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
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
            [](request_defect) { return http_reply{}; });
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
              [](request_defect) { return http_reply{}; })
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

/// A caller that sends a prefix once, then a chunk repeatedly until its connection is closed.
struct endless_caller
{
    static constexpr unsigned short port = 20'192;
    static constexpr millis request_timeout{500};

    endless_caller()
        : listener(
              context.get_executor(), {asio::ip::make_address("127.0.0.1"), port}, make_limits(),
              [](http_call, const auto&) -> asio::awaitable<http_reply> { co_return http_reply{}; },
              [](request_defect) { return http_reply{}; })
        , caller(context)
    {
        listener.start();
        caller.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    static http_limits make_limits()
    {
        http_limits limits;
        limits.header_timeout = request_timeout;
        return limits;
    }

    /// @return time until the connection was closed
    boot_clock::duration send(std::string prefix, std::string chunk)
    {
        const auto start = boot_clock::now();
        auto end = instant::max();
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            {
                boost::system::error_code ec;
                co_await asio::async_write(caller, asio::buffer(prefix),
                                           asio::redirect_error(asio::use_awaitable, ec));
                while (!ec.failed())
                    co_await asio::async_write(caller, asio::buffer(chunk),
                                               asio::redirect_error(asio::use_awaitable, ec));
                end = boot_clock::now();
                context.stop();
            },
            asio::detached);
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            {
                constexpr std::size_t max_bytes = 100;
                std::string buf(max_bytes, ' ');
                boost::system::error_code ec;
                const auto n = co_await caller.async_read_some(
                    asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
                received = buf.substr(0, n);
            },
            asio::detached);
        constexpr std::chrono::seconds longest{10};
        context.run_for(longest);
        return end - start;
    }

    asio::io_context context;
    http_listener listener;
    asio::ip::tcp::socket caller;
    std::string received; ///< first bytes
};

/// What a listener answers to some bytes, and the targets of the requests that it serves.
struct framing_outcome
{
    explicit framing_outcome(const std::string& bytes)
    {
        constexpr unsigned short port = 20'194;
        constexpr std::chrono::seconds longest{5};
        asio::io_context context;
        http_listener listener(
            context.get_executor(), {asio::ip::make_address("127.0.0.1"), port}, {},
            [&](http_call call, const auto&) -> asio::awaitable<http_reply>
            {
                served.push_back(call.target);
                co_return http_reply{};
            },
            [](request_defect)
            {
                http_reply reply;
                reply.status = 400;
                return reply;
            });
        listener.start();
        asio::ip::tcp::socket caller(context);
        caller.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(caller, asio::buffer(bytes));
        caller.shutdown(asio::socket_base::shutdown_send);
        asio::async_read(caller, asio::dynamic_buffer(answer),
                         [&](const boost::system::error_code&, std::size_t) { context.stop(); });
        context.run_for(longest);
    }

    std::vector<std::string> served;
    std::string answer;
};

const std::string chunked_head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string filler(16UL * 1024, 'x');

/// Beyond the timeout of a request: the rest is read for 500 ms after a refusal; and a busy
/// machine.
constexpr millis tolerance{1'500};

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
    CPPUNIT_TEST(a_chunk_header_without_end_is_cut_off);
    CPPUNIT_TEST(chunks_that_are_nearly_all_header_time_out);
    CPPUNIT_TEST(input_without_end_after_a_refusal_is_cut_off);
    CPPUNIT_TEST(a_body_of_unknown_length_is_no_request);
    CPPUNIT_TEST(a_body_in_chunks_is_served);
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

    /// Guards against a chunk header, which has no length, that is kept in memory without limit.
    void a_chunk_header_without_end_is_cut_off()
    {
        endless_caller it;
        CPPUNIT_ASSERT(it.send(chunked_head + "5;x=", filler) < tolerance);
        // It was refused because of its size, not dropped at its timeout.
        CPPUNIT_ASSERT(it.received.starts_with("HTTP/1.1 200"));
    }

    /// Guards against a request without end whose timer never fires, since each read makes
    /// progress.
    void chunks_that_are_nearly_all_header_time_out()
    {
        endless_caller it;
        CPPUNIT_ASSERT(it.send(chunked_head, "1;x=" + filler + "\r\nx\r\n") <
                       endless_caller::request_timeout + tolerance);
    }

    /// As above, for what follows a request that was refused.
    void input_without_end_after_a_refusal_is_cut_off()
    {
        endless_caller it;
        CPPUNIT_ASSERT(it.send("no request\r\n\r\n", filler) < tolerance);
    }

    /// Guards against an upload whose body runs as a request of its own, while the upload runs
    /// without it: the length of a body with an unknown transfer coding is not known.
    void a_body_of_unknown_length_is_no_request()
    {
        const std::string hidden =
            "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
        for (const std::string framing :
             {"gzip", "identity", "chunkedx", "gzip, chunked", "chunked, gzip", "chunked, chunked",
              "\"chunked\"", "", ",", "chunked\r\n x", "gzip\r\nTransfer-Encoding: chunked",
              "chunked\r\nTransfer-Encoding: gzip", "chunked\r\nContent-Length: 5",
              "gzip\r\nContent-Length: 0"})
            for (const std::string method : {"POST", "GET"})
            {
                auto text = method;
                text += " /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: ";
                text += framing;
                text += hidden;
                const framing_outcome it(text);
                CPPUNIT_ASSERT_MESSAGE(text, it.served.empty());
                CPPUNIT_ASSERT_MESSAGE(it.answer, it.answer.starts_with("HTTP/1.1 400"));
            }
        const framing_outcome old("POST /upload HTTP/1.0\r\nTransfer-Encoding: chunked" + hidden);
        CPPUNIT_ASSERT(old.served.empty());
    }

    void a_body_in_chunks_is_served()
    {
        for (const std::string coding : {"chunked", "Chunked", " chunked "})
        {
            const framing_outcome it("POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " +
                                     coding + "\r\n\r\n1\r\nx\r\n0\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.served.size());
            CPPUNIT_ASSERT(it.answer.starts_with("HTTP/1.1 200"));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(unit_listener);
