/// Several requests on one connection of a caller before the first response: which of them run at
/// the same time, the order of the responses, and the end of the connection. On loopback.
#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/http/receive_budget.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

using namespace eelgrassrail;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr unsigned short port = 20'193;
constexpr std::chrono::seconds longest{5};

std::string get(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string post(const std::string& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
}

/// A listener whose handler answers a request with its target once it is released.
class held_listener
{
  public:
    held_listener()
        : m_listener(
              m_context.get_executor(), {asio::ip::address_v4::loopback(), port}, {},
              [this](http_call call, std::shared_ptr<caller_watch> watch)
              { return handle(std::move(call), std::move(watch)); },
              [](request_defect) { return http_reply{}; })
        , m_caller(m_context)
    {
        m_listener.start();
        m_caller.connect({asio::ip::address_v4::loopback(), port});
        asio::co_spawn(m_context, read(), asio::detached);
    }

    void send(const std::string& text) { asio::write(m_caller, asio::buffer(text)); }

    void release(const std::string& target) { m_released.insert_or_assign(target, true); }

    void fail(const std::string& target) { m_released.insert_or_assign(target, false); }

    void drain() { m_listener.drain(); }

    void reset_connection()
    {
        m_caller.set_option(asio::socket_base::linger(true, 0));
        m_caller.close();
    }

    /// Runs until a condition holds.
    void run_until(const std::function<bool()>& condition)
    {
        const auto until = boot_clock::now() + longest;
        while (!condition() && boot_clock::now() < until)
            m_context.run_one_for(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(condition());
    }

    void run_until_begun(std::size_t n)
    {
        run_until([&] { return begun.size() >= n; });
    }

    /// Runs for long enough that a request which is ready to run has begun.
    void settle()
    {
        m_context.run_for(std::chrono::milliseconds(100));
        m_context.restart();
    }

    [[nodiscard]] bool has_received(const std::string& text) const
    {
        return received.find(text) != std::string::npos;
    }

    std::vector<std::string> begun; ///< targets
    std::vector<std::string> gone;  ///< targets whose caller was gone at the end
    std::string received;
    bool is_closed{};         ///< by the listener
    bool checks_socket{true}; ///< the handler asks whether the caller is gone, and is not only told

  private:
    asio::awaitable<http_reply> handle(http_call call, std::shared_ptr<caller_watch> watch)
    {
        begun.push_back(call.target);
        asio::steady_timer timer(m_context);
        bool is_gone = false;
        watch->on_gone([&] { is_gone = true; });
        while (!m_released.contains(call.target) && !is_gone &&
               !(checks_socket && watch->is_gone()))
        {
            timer.expires_after(std::chrono::milliseconds(2));
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (is_gone || watch->is_gone())
            gone.push_back(call.target);
        else if (!m_released.at(call.target))
            throw std::runtime_error("handler failed");
        http_reply reply;
        reply.body = "answer to " + call.target;
        co_return reply;
    }

    asio::awaitable<void> read()
    {
        boost::system::error_code ec;
        std::array<char, 4096> buf{};
        while (!ec.failed())
        {
            const auto n = co_await m_caller.async_read_some(
                asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            received.append(buf.data(), n);
        }
        is_closed = true;
    }

    asio::io_context m_context{1};
    std::map<std::string, bool> m_released; ///< false: the handler fails
    http_listener m_listener;
    tcp::socket m_caller;
};

constexpr std::size_t mb = 1024UL * 1024;

/// A listener with a memory budget, whose replies are large, and a caller that does not read them.
struct crowded_listener
{
    static constexpr std::size_t reply_bytes = 2 * mb;
    static constexpr std::size_t requests = 8;

    crowded_listener()
        : budget(std::make_shared<receive_budget>(requests * reply_bytes + mb))
        , listener(
              context.get_executor(), {asio::ip::address_v4::loopback(), port}, {},
              [this](const http_call&, const auto&) { return handle(); },
              [](request_defect) { return http_reply{}; })
        , caller(context)
    {
        listener.set_budget(budget);
        listener.start();
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(4'096));
        caller.connect({asio::ip::address_v4::loopback(), port});
    }

    /// Holds the memory of its reply, as the client does that receives it from a worker.
    asio::awaitable<http_reply> handle()
    {
        http_reply reply;
        reply.body.assign(reply_bytes, 'x');
        reply.memory = std::make_shared<memory_holder>(budget, 0, std::function<void()>());
        served += reply.memory->hold(reply_bytes) ? 1 : 0;
        co_return reply;
    }

    void run()
    {
        context.run_for(std::chrono::milliseconds(300));
        context.restart();
    }

    asio::io_context context{1};
    std::shared_ptr<receive_budget> budget;
    http_listener listener;
    tcp::socket caller;
    std::size_t served{};
};

} // namespace

class unit_pipelining : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_pipelining);
    CPPUNIT_TEST(safe_requests_run_together_and_are_answered_in_order);
    CPPUNIT_TEST(a_request_with_a_body_waits_for_those_before_it);
    CPPUNIT_TEST(at_most_eight_run_together);
    CPPUNIT_TEST(a_caller_that_leaves_cancels_all);
    CPPUNIT_TEST(a_caller_that_leaves_after_its_last_request_cancels_it);
    CPPUNIT_TEST(a_failed_handler_ends_the_connection_after_earlier_responses);
    CPPUNIT_TEST(a_stop_answers_what_was_passed_on_before_it_closes);
    CPPUNIT_TEST(a_close_of_the_caller_ends_after_the_last_response);
    CPPUNIT_TEST(responses_that_wait_for_a_slow_caller_give_way);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// A request that was read only after the response before it lost that time.
    void safe_requests_run_together_and_are_answered_in_order()
    {
        held_listener it;
        it.send(get("/a") + get("/b") + get("/c"));
        it.run_until_begun(3);
        it.release("/c");
        it.release("/b");
        it.settle();
        CPPUNIT_ASSERT(it.received.empty());
        it.release("/a");
        it.run_until([&] { return it.has_received("answer to /c"); });
        CPPUNIT_ASSERT(it.received.find("answer to /a") < it.received.find("answer to /b"));
        CPPUNIT_ASSERT(it.received.find("answer to /b") < it.received.find("answer to /c"));
        it.release("/d");
        it.send(get("/d")); // the connection stays open
        it.run_until([&] { return it.has_received("answer to /d"); });
    }

    /// Requests that must not run twice keep their order on a connection.
    void a_request_with_a_body_waits_for_those_before_it()
    {
        held_listener it;
        it.send(get("/a") + post("/b") + get("/c"));
        it.run_until_begun(1);
        it.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.begun.size());
        it.release("/a");
        it.run_until_begun(2);
        it.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.begun.size());
        it.release("/b");
        it.release("/c");
        it.run_until([&] { return it.has_received("answer to /c"); });
    }

    void at_most_eight_run_together()
    {
        constexpr std::size_t most = 8;
        held_listener it;
        std::string requests;
        for (std::size_t n = 0; n < 2 * most; ++n)
            requests += get("/" + std::to_string(n));
        it.send(requests);
        it.run_until_begun(most);
        it.settle();
        CPPUNIT_ASSERT_EQUAL(most, it.begun.size());
        for (std::size_t n = 0; n < 2 * most; ++n)
            it.release("/" + std::to_string(n));
        it.run_until([&] { return it.has_received("answer to /15"); });
    }

    /// Workers must not go on with requests whose caller has left.
    void a_caller_that_leaves_cancels_all()
    {
        held_listener it;
        it.send(get("/a") + get("/b"));
        it.run_until_begun(2);
        it.reset_connection();
        it.run_until([&] { return it.gone.size() == 2; });
    }

    /// Nothing more is read after a request that closes the connection, so a read shows no close.
    void a_caller_that_leaves_after_its_last_request_cancels_it()
    {
        held_listener it;
        it.checks_socket = false;
        it.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        it.run_until_begun(1);
        it.reset_connection();
        it.run_until([&] { return it.gone.size() == 1; });
    }

    void a_failed_handler_ends_the_connection_after_earlier_responses()
    {
        held_listener it;
        it.send(get("/a") + get("/b"));
        it.run_until_begun(2);
        it.fail("/b");
        it.settle();
        CPPUNIT_ASSERT(!it.is_closed);
        it.release("/a");
        it.run_until([&] { return it.is_closed; });
        CPPUNIT_ASSERT(it.has_received("answer to /a"));
        CPPUNIT_ASSERT(!it.has_received("answer to /b"));
    }

    /// A request that was passed on must be answered before the connection is closed; one that
    /// follows must not be passed on.
    void a_stop_answers_what_was_passed_on_before_it_closes()
    {
        held_listener it;
        it.send(get("/a") + get("/b"));
        it.run_until_begun(2);
        it.drain();
        it.send(get("/c"));
        it.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.begun.size());
        it.release("/b");
        it.release("/a");
        it.run_until([&] { return it.is_closed; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.begun.size());
        const auto close = it.received.find("Connection: close");
        CPPUNIT_ASSERT(close != std::string::npos);
        CPPUNIT_ASSERT(close > it.received.find("answer to /a"));
        CPPUNIT_ASSERT(it.has_received("answer to /b"));
    }

    void a_close_of_the_caller_ends_after_the_last_response()
    {
        held_listener it;
        it.send(get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/c"));
        it.run_until_begun(2);
        it.release("/b");
        it.release("/a");
        it.run_until([&] { return it.is_closed; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.begun.size());
        CPPUNIT_ASSERT(it.has_received("answer to /b"));
    }

    /// Guards against callers that send many requests at once and read slowly: their responses use
    /// up the memory, and the replies to others find none.
    void responses_that_wait_for_a_slow_caller_give_way()
    {
        crowded_listener it;
        std::string text;
        for (std::size_t n = 0; n < crowded_listener::requests; ++n)
            text += get("/x");
        asio::write(it.caller, asio::buffer(text));
        it.run();
        CPPUNIT_ASSERT_EQUAL(crowded_listener::requests, it.served);
        CPPUNIT_ASSERT(it.budget->reserved() > 2 * crowded_listener::reply_bytes);
        memory_holder other(it.budget, 0, {});
        const auto wanted = crowded_listener::requests * crowded_listener::reply_bytes;
        CPPUNIT_ASSERT(other.hold(wanted));
        it.run();
        CPPUNIT_ASSERT_EQUAL(wanted, it.budget->reserved());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), it.listener.connections());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_pipelining);
