/// HTTP client against servers that send endless, duplicate, truncated or malformed responses.
#include "byte_worker.hpp"
#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/http/receive_budget.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <exception>
#include <optional>
#include <vector>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t mb = 1024UL * 1024;

/// Sends a prefix once, then a chunk repeatedly until the client closes the connection.
struct endless_server
{
    endless_server(std::string sent_once, std::string repeated)
        : prefix(std::move(sent_once))
        , chunk(std::move(repeated))
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            boost::system::error_code ec;
            auto socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec.failed())
                co_return;
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code ec;
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, ec));
        co_await asio::async_write(socket, asio::buffer(prefix),
                                   asio::redirect_error(asio::use_awaitable, ec));
        while (!ec.failed())
            sent += co_await asio::async_write(socket, asio::buffer(chunk),
                                               asio::redirect_error(asio::use_awaitable, ec));
        ++closed;
    }

    asio::io_context context{1};
    std::string prefix;
    std::string chunk;
    tcp::acceptor acceptor;
    std::size_t closed{}; ///< connections that the client has closed
    std::size_t sent{};   ///< bytes that the sockets have taken
};

/// Results of concurrent exchanges.
struct outcome
{
    std::vector<http_exchange> exchanges;
    millis max_duration{};
    std::size_t peak{}; ///< bytes reserved from the budget
};

outcome run_exchanges(endless_server& server, std::size_t exchanges, millis timeout,
                      std::size_t budget_bytes)
{
    auto budget = std::make_shared<receive_budget>(budget_bytes);
    http_client client(server.context.get_executor(), server.address(), exchanges);
    client.set_budget(budget);
    outcome result;
    const auto began = boot_clock::now();
    for (std::size_t n = 0; n < exchanges; ++n)
        asio::co_spawn(
            server.context,
            [&]() -> asio::awaitable<void>
            {
                http_call call;
                call.method = "GET";
                call.target = "/";
                auto exchange = co_await client.exchange(std::move(call), began + timeout);
                result.max_duration =
                    std::max(result.max_duration,
                             std::chrono::duration_cast<millis>(boot_clock::now() - began));
                result.exchanges.push_back(std::move(exchange));
                if (result.exchanges.size() == exchanges)
                    server.context.stop();
            },
            asio::detached);
    server.context.run_for(std::chrono::seconds(60));
    result.peak = budget->peak();
    return result;
}

const std::string filler(16UL * 1024, 'x');

/// Answers each request with its id, and sends a duplicate of each answer at a given time.
class duplicating_server
{
  public:
    /// When the duplicate is sent.
    enum class duplicate_time : std::uint8_t
    {
        at_once,      ///< right after the answer
        while_idle,   ///< before the next request
        before_answer ///< after the next request was received, before its answer
    };

    explicit duplicating_server(duplicate_time when)
        : m_when(when)
        , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    asio::io_context context{1};

  private:
    asio::awaitable<void> accept()
    {
        for (;;)
            asio::co_spawn(context, serve(co_await m_acceptor.async_accept(asio::use_awaitable)),
                           asio::detached);
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buf;
        std::string last;
        for (;;)
        {
            boost::system::error_code ec;
            const auto n =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, ec));
            if (ec.failed())
                co_return;
            const auto id = buf.substr(buf.find("Id: ") + 4, 1);
            buf.erase(0, n);
            std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nId: ";
            answer.append(id).append("\r\n\r\n").append(id);
            std::string bytes = m_when == duplicate_time::before_answer ? last + answer : answer;
            if (m_when == duplicate_time::at_once)
                bytes += answer;
            co_await asio::async_write(socket, asio::buffer(bytes),
                                       asio::redirect_error(asio::use_awaitable, ec));
            if (m_when == duplicate_time::while_idle)
            {
                asio::steady_timer timer(context, millis(20));
                co_await timer.async_wait(asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(answer),
                                           asio::redirect_error(asio::use_awaitable, ec));
            }
            last = answer;
        }
    }

    duplicate_time m_when;
    tcp::acceptor m_acceptor;
};

} // namespace

class unit_client : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_client);
    CPPUNIT_TEST(a_budget_is_not_exceeded);
    CPPUNIT_TEST(a_head_without_end);
    CPPUNIT_TEST(a_body_without_end);
    CPPUNIT_TEST(a_body_in_chunks_without_end);
    CPPUNIT_TEST(a_slow_body_without_end);
    CPPUNIT_TEST(a_chunk_header_without_end);
    CPPUNIT_TEST(a_trailer_without_end);
    CPPUNIT_TEST(chunks_that_are_nearly_all_header);
    CPPUNIT_TEST(a_body_above_the_limit_of_the_client);
    CPPUNIT_TEST(interim_replies_without_end);
    CPPUNIT_TEST(bytes_that_are_no_reply);
    CPPUNIT_TEST(a_reply_without_an_id_is_of_the_only_request_of_its_connection);
    CPPUNIT_TEST(fifty_bodies_without_end);
    CPPUNIT_TEST(a_second_copy_is_nobodys_answer);
    CPPUNIT_TEST(an_answer_that_breaks_off_is_not_complete);
    CPPUNIT_TEST_SUITE_END();

    static constexpr millis exchange_timeout{2'000};
    static constexpr millis tolerance{500}; ///< beyond the timeout, on a busy machine

    static void check_single(const std::string& prefix, const std::string& chunk)
    {
        endless_server server(prefix, chunk);
        const auto seen = run_exchanges(server, 1, exchange_timeout, 64 * mb);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), seen.exchanges.size());
        const auto result = seen.exchanges.front().result;
        CPPUNIT_ASSERT(result == exchange_result::invalid || result == exchange_result::lost);
        CPPUNIT_ASSERT(seen.max_duration <= exchange_timeout + tolerance);
        CPPUNIT_ASSERT(seen.exchanges.front().reply.body.empty());
    }

    /// As above; besides, the client ends the exchange long before it has read what the smallest VM
    /// has memory for.
    static void check_bytes_taken(const std::string& prefix, const std::string& chunk)
    {
        check_single(prefix, chunk);
        constexpr std::size_t max_bytes = 16 * mb; // most of it in the buffers of the two sockets
        endless_server server(prefix, chunk);
        const auto seen = run_exchanges(server, 1, exchange_timeout, 64 * mb);
        CPPUNIT_ASSERT(seen.exchanges.front().result == exchange_result::invalid);
        CPPUNIT_ASSERT(server.sent <= max_bytes);
    }

  public:
    /// Each request gets its own answer, at whatever time a duplicate of the previous one arrives.
    void a_second_copy_is_nobodys_answer()
    {
        using enum duplicating_server::duplicate_time;
        for (const auto when : {at_once, while_idle, before_answer})
        {
            duplicating_server server(when);
            http_client client(server.context.get_executor(), server.address(), 1);
            std::string bodies;
            asio::co_spawn(
                server.context,
                [&]() -> asio::awaitable<void>
                {
                    for (const std::string id : {"a", "b", "c", "d"})
                    {
                        http_call call;
                        call.method = "GET";
                        call.target = "/";
                        call.fields.push_back({"Id", id});
                        exchange_options options{.until = boot_clock::now() + exchange_timeout};
                        options.owner_of = [id](const http_reply& reply) {
                            return find_field(reply.fields, "Id") == id ? reply_owner::named
                                                                        : reply_owner::other;
                        };
                        const auto exchange =
                            co_await client.exchange(std::move(call), std::move(options));
                        CPPUNIT_ASSERT(exchange.result == exchange_result::complete);
                        bodies += exchange.reply.body;
                        asio::steady_timer timer(server.context, millis(40));
                        co_await timer.async_wait(asio::use_awaitable);
                    }
                    server.context.stop();
                },
                [](const std::exception_ptr& e)
                {
                    if (e)
                        std::rethrow_exception(e);
                });
            server.context.run_for(std::chrono::seconds(20));
            CPPUNIT_ASSERT_EQUAL(std::string("abcd"), bodies);
        }
    }

    /// The server resets the connection in the middle of a body. An orderly close would complete a
    /// body without a known length.
    void an_answer_that_breaks_off_is_not_complete()
    {
        for (const std::string head :
             {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n",
              "HTTP/1.1 200 OK\r\n\r\n"})
        {
            asio::io_context context{1};
            tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void>
                {
                    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                    std::string request;
                    co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                                    "\r\n\r\n", asio::use_awaitable);
                    co_await asio::async_write(socket, asio::buffer(head + "half"),
                                               asio::use_awaitable);
                    asio::steady_timer timer(context, millis(50)); // the client has read it
                    co_await timer.async_wait(asio::use_awaitable);
                    socket.set_option(asio::socket_base::linger(true, 0));
                    socket.close(); // sends a reset; the destructor would not
                },
                asio::detached);
            http_client client(context.get_executor(),
                               "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), 1);
            std::optional<http_exchange> seen;
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void>
                {
                    http_call call;
                    call.method = "GET";
                    call.target = "/";
                    seen = co_await client.exchange(std::move(call),
                                                    boot_clock::now() + exchange_timeout);
                },
                asio::detached);
            context.run_for(std::chrono::seconds(20));
            CPPUNIT_ASSERT(seen.has_value());
            CPPUNIT_ASSERT_MESSAGE(head + std::to_string(static_cast<int>(seen->result)),
                                   seen->result == exchange_result::invalid ||
                                       seen->result == exchange_result::lost);
            CPPUNIT_ASSERT(seen->reply.body.empty());
        }
    }

    void a_budget_is_not_exceeded()
    {
        receive_budget budget(10);
        CPPUNIT_ASSERT(budget.reserve(6));
        CPPUNIT_ASSERT(!budget.reserve(5));
        CPPUNIT_ASSERT(budget.reserve(4));
        budget.release(6);
        CPPUNIT_ASSERT(budget.reserve(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), budget.peak());
    }

    void a_head_without_end()
    {
        check_single("HTTP/1.1 200 OK\r\n", "Filler: " + std::string(100, 'x') + "\r\n");
        check_single("HTTP/1.1 200 OK\r\nFiller: ", filler);
    }

    void a_body_without_end() { check_single("HTTP/1.1 200 OK\r\n\r\n", filler); }

    void a_body_in_chunks_without_end()
    {
        check_single("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "4000\r\n" + filler + "\r\n");
    }

    void a_slow_body_without_end() { check_single("HTTP/1.1 200 OK\r\n\r\n", "x"); }

    /// Guards against a client that keeps a chunk header, which has no length, in memory until the
    /// timeout: it is neither part of the head nor of the body, whose sizes are limited.
    void a_chunk_header_without_end()
    {
        check_bytes_taken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", filler);
        check_bytes_taken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0", "0");
    }

    /// As above, for the fields after the last chunk.
    void a_trailer_without_end()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        check_bytes_taken(head + "Filler: ", filler);
        check_bytes_taken(head, "Filler: " + std::string(1'000, 'x') + "\r\n");
    }

    /// Guards against an answer that takes longer than its timeout, since each read makes progress.
    void chunks_that_are_nearly_all_header()
    {
        check_single("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "1;x=" + filler + "\r\nx\r\n");
    }

    /// Guards against answers to grants and releases that use up the memory: there is no budget for
    /// them, and each of many workers may send one.
    void a_body_above_the_limit_of_the_client()
    {
        constexpr std::size_t limit = 1'000;
        for (const std::size_t size : {limit, limit + 1})
        {
            endless_server server("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
                                      "\r\n\r\n",
                                  std::string(size, 'x'));
            http_client client(server.context.get_executor(), server.address(), 1);
            client.set_max_body(limit);
            http_exchange seen;
            asio::co_spawn(
                server.context,
                [&]() -> asio::awaitable<void>
                {
                    http_call call;
                    call.method = "GET";
                    call.target = "/";
                    seen = co_await client.exchange(std::move(call),
                                                    boot_clock::now() + exchange_timeout);
                    server.context.stop();
                },
                asio::detached);
            server.context.run_for(std::chrono::seconds(60));
            CPPUNIT_ASSERT((seen.result == exchange_result::complete) == (size == limit));
        }
    }

    void interim_replies_without_end()
    {
        check_single("", "HTTP/1.1 100 Continue\r\n\r\n");
        check_single("", "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n");
    }

    void bytes_that_are_no_reply() { check_single("", filler); }

    /// Guards against a repeated reply to an earlier request that counts as the reply to one which
    /// bears no id.
    void a_reply_without_an_id_is_of_the_only_request_of_its_connection()
    {
        asio::io_context context{1};
        byte_worker server(context,
                           [](const byte_request& request)
                           {
                               const std::string first =
                                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
                               const std::string own =
                                   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
                               byte_answer answer;
                               if (request.nth == 0 || request.position > 0)
                                   answer.steps.push_back({first, {}});
                               if (request.nth > 0)
                                   answer.steps.push_back({own, millis(20)});
                               return answer;
                           });
        http_client client(context.get_executor(), server.address(), 1);
        std::vector<std::string> bodies;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            {
                http_call call;
                call.method = "POST";
                call.target = "/";
                const auto until = boot_clock::now() + exchange_timeout;
                const auto kept = co_await client.exchange(call, until);
                bodies.push_back(kept.reply.body);
                const auto options = make_unnamed_exchange(until);
                const auto alone = co_await client.exchange(call, options);
                bodies.push_back(alone.reply.body);
                context.stop();
            },
            asio::detached);
        context.run_for(std::chrono::seconds(20));
        CPPUNIT_ASSERT((bodies == std::vector<std::string>{"first", "own"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.connections());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), client.connections());
    }

    /// All workers of a service send endless bodies. A small VM has 160 MB of memory; the limit of
    /// 8 MB for each of fifty bodies alone would allow 400 MB.
    void fifty_bodies_without_end()
    {
        constexpr std::size_t servers = 50;
        constexpr std::size_t budget_bytes = 40 * mb;
        endless_server server("HTTP/1.1 200 OK\r\n\r\n", filler);
        const auto seen = run_exchanges(server, servers, exchange_timeout, budget_bytes);
        CPPUNIT_ASSERT_EQUAL(servers, seen.exchanges.size());
        for (const auto& exchange : seen.exchanges)
            CPPUNIT_ASSERT(exchange.result == exchange_result::invalid ||
                           exchange.result == exchange_result::lost);
        CPPUNIT_ASSERT(seen.peak > 0);
        CPPUNIT_ASSERT(seen.peak <= budget_bytes);
        CPPUNIT_ASSERT(seen.max_duration <= exchange_timeout + tolerance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_client);
