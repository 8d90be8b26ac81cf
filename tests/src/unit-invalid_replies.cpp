/// Workers whose replies have an invalid status, head or length, at the HTTP client.
#include "byte_worker.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <exception>
#include <string>
#include <vector>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

/// An exchange that waits for its deadline takes this long; an invalid reply ends it far earlier.
constexpr millis exchange_timeout{2'000};
constexpr millis max_duration{1'000};

/// What two successive requests to one worker got. The first one gets the given bytes, and the
/// connection stays open; the second one gets a valid answer.
struct two_exchanges
{
    http_exchange first;
    http_exchange second;
    millis first_took{};
    std::size_t connections{};
};

two_exchanges run_two(const std::string& bytes)
{
    asio::io_context context{1};
    byte_worker worker(
        context,
        [&](const byte_request& request)
        {
            byte_answer answer;
            answer.steps.push_back({request.nth == 0 ? bytes : answer_bytes(request.attempt), {}});
            return answer;
        });
    http_client client(context.get_executor(), worker.address(), 1);
    const auto call_of = [](const std::string& attempt)
    {
        http_call call;
        call.method = "GET";
        call.target = "/";
        call.fields.push_back({"Eelgrassrail-Attempt-Id", attempt});
        return call;
    };
    two_exchanges seen;
    std::exception_ptr failure;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            const auto began = boot_clock::now();
            seen.first = co_await client.exchange(call_of("a"), began + exchange_timeout);
            seen.first_took = std::chrono::duration_cast<millis>(boot_clock::now() - began);
            seen.second =
                co_await client.exchange(call_of("b"), boot_clock::now() + exchange_timeout);
        },
        [&](const std::exception_ptr& thrown)
        {
            failure = thrown;
            context.stop();
        });
    context.run_for(std::chrono::seconds(20));
    if (failure)
        std::rethrow_exception(failure);
    seen.connections = worker.connections();
    return seen;
}

/// The reply is invalid at once, and nothing is sent on its connection again.
void check_invalid(const std::string& bytes)
{
    const auto seen = run_two(bytes);
    CPPUNIT_ASSERT_MESSAGE(bytes + std::to_string(static_cast<int>(seen.first.result)),
                           seen.first.result == exchange_result::invalid);
    CPPUNIT_ASSERT_MESSAGE(bytes + std::to_string(seen.first_took.count()),
                           seen.first_took < max_duration);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, http_reply{}.status, seen.first.reply.status);
    CPPUNIT_ASSERT_MESSAGE(bytes, seen.first.reply.fields.empty());
    CPPUNIT_ASSERT_MESSAGE(bytes, seen.first.reply.body.empty());
    CPPUNIT_ASSERT_MESSAGE(bytes, seen.second.result == exchange_result::complete);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("answer to b"), seen.second.reply.body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t(2), seen.connections);
}

} // namespace

class unit_invalid_replies : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_invalid_replies);
    CPPUNIT_TEST(a_status_that_does_not_exist);
    CPPUNIT_TEST(a_status_line_alone);
    CPPUNIT_TEST(a_status_that_is_no_number);
    CPPUNIT_TEST(an_invalid_length);
    CPPUNIT_TEST(several_lengths);
    CPPUNIT_TEST(a_length_and_a_transfer_coding);
    CPPUNIT_TEST(a_transfer_coding_other_than_chunked);
    CPPUNIT_TEST(a_length_without_a_body);
    CPPUNIT_TEST(a_folded_line);
    CPPUNIT_TEST(a_head_in_single_bytes);
    CPPUNIT_TEST(valid_heads_are_accepted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<const char*, 6> statuses{"000", "099", "101", "600", "999", "001"};

  public:
    /// Guards against a status such as 000 that was passed on to the caller, or skipped like an
    /// interim reply, so that the exchange lasted until its deadline.
    void a_status_that_does_not_exist()
    {
        for (const std::string status : statuses)
            for (const std::string rest :
                 {"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello",
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
                for (const auto& next : {std::string(), answer_bytes("a")})
                {
                    auto bytes = "HTTP/1.1 " + status;
                    bytes += " Trouble\r\n";
                    bytes += rest;
                    bytes += next;
                    check_invalid(bytes);
                }
    }

    /// Guards against a wait for the rest of a head whose first line is invalid already.
    void a_status_line_alone()
    {
        for (const std::string status : statuses)
            check_invalid("HTTP/1.1 " + status + " Trouble\r\n");
    }

    void a_status_that_is_no_number()
    {
        for (const std::string line :
             {"HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 abc OK",
              "HTTP/1.1  200 OK", "HTTP/3.0 200 OK", "HTTP/1.1", "ICY 200 OK", "0", ""})
            check_invalid(line + "\r\nContent-Length: 0\r\n\r\n");
    }

    void an_invalid_length()
    {
        for (const std::string length :
             {"-1", "+5", "5x", "0x5", "", "5 5", ",", "5,", "5.0", "99999999999999999999999"})
            check_invalid("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nhello");
    }

    /// Two lengths are an error even if they are equal: no worker writes them, and which one is
    /// used differs between programs.
    void several_lengths()
    {
        for (const std::string fields :
             {"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n",
              "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: 5, 5\r\n"})
            check_invalid("HTTP/1.1 200 OK\r\n" + fields + "\r\nhello");
    }

    void a_length_and_a_transfer_coding()
    {
        const std::string body = "\r\n5\r\nhello\r\n0\r\n\r\n";
        for (const std::string coding : {"chunked", "gzip", "gzip, chunked"})
        {
            auto field = "Transfer-Encoding: " + coding;
            field += "\r\n";
            auto length_first = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n" + field;
            length_first += body;
            check_invalid(length_first);
            auto length_last = "HTTP/1.1 200 OK\r\n" + field;
            length_last += "Content-Length: 15\r\n";
            length_last += body;
            check_invalid(length_last);
        }
    }

    /// Guards against a body that is passed on with a coding that the caller is not told of.
    void a_transfer_coding_other_than_chunked()
    {
        for (const std::string coding :
             {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "",
              "xchunked", "chunked\r\nTransfer-Encoding: chunked"})
            check_invalid("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                          "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    }

    /// Guards against bytes of a body that are taken for the reply to the next request.
    void a_length_without_a_body()
    {
        for (const std::string status : {"100 Continue", "204 No Content"})
        {
            check_invalid("HTTP/1.1 " + status + "\r\nContent-Length: 5\r\n\r\n");
            check_invalid("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
    }

    void a_folded_line()
    {
        for (const std::string fold : {"\r\n ", "\r\n\t"})
        {
            check_invalid("HTTP/1.1 200 OK\r\nFiller: x" + fold + "y\r\nContent-Length: 0\r\n\r\n");
            check_invalid("HTTP/1.1 200 OK" + fold + "Filler: x\r\nContent-Length: 0\r\n\r\n");
            check_invalid("HTTP/1.1 200 OK\r\nContent-Length: 0" + fold + "5\r\n\r\nhello");
        }
    }

    /// Heads that arrive in parts are checked like others.
    void a_head_in_single_bytes()
    {
        const std::string valid = "HTTP/1.1 100 Continue\r\n\r\n" + answer_bytes("a");
        for (const auto& item :
             {std::pair{valid, exchange_result::complete},
              std::pair{std::string("HTTP/1.1 000 Trouble\r\n\r\n"), exchange_result::invalid}})
        {
            const auto& whole = item.first;
            const auto result = item.second;
            asio::io_context context{1};
            byte_worker worker(context,
                               [&](const byte_request&)
                               {
                                   byte_answer answer;
                                   for (const char c : whole)
                                       answer.steps.push_back({std::string(1, c), millis(1)});
                                   return answer;
                               });
            http_client client(context.get_executor(), worker.address(), 1);
            http_exchange seen;
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
                [&](const std::exception_ptr&) { context.stop(); });
            context.run_for(std::chrono::seconds(20));
            CPPUNIT_ASSERT(seen.result == result);
        }
    }

    void valid_heads_are_accepted()
    {
        const std::string after_interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
        for (const std::string& bytes :
             {std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
              std::string("HTTP/1.1 200 \r\ncontent-length:5\r\n\r\nhello"),
              std::string("HTTP/1.1 599 Odd\r\nContent-Length: \t5 \r\n\r\nhello"),
              std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n"
                          "5\r\nhello\r\n0\r\n\r\n"),
              after_interim})
        {
            const auto seen = run_two(bytes);
            CPPUNIT_ASSERT_MESSAGE(bytes, seen.first.result == exchange_result::complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("hello"), seen.first.reply.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t(1), seen.connections);
        }
        CPPUNIT_ASSERT(
            run_two("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n").first.result ==
            exchange_result::complete);
        CPPUNIT_ASSERT(
            run_two("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").first.result ==
            exchange_result::complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_invalid_replies);
