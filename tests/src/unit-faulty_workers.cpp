/// Requests to workers that write a refusal once more, write one without an id, or break off. What
/// the caller is told must be true, and a request that is not idempotent must not run twice.
#include "byte_worker.hpp"
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/router/request_forwarder.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <eelgrassrail_platform/decode.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <exception>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

const std::string routes_text =
    R"({"version":"r1","limits":{},"listeners":[{"host":"h","rules":[)"
    R"({"name":"look","kind":"safe","match":{"path_prefix":"/look/"},"action":)"
    R"({"service":"plain","timeout":"1500ms","max_attempts":3}},)"
    R"({"name":"book","kind":"unsafe","match":{"path_prefix":"/book/"},"action":)"
    R"({"service":"plain","timeout":"1500ms","max_attempts":3}},)"
    R"({"name":"file","kind":"unsafe","match":{"path_prefix":"/file/"},"action":)"
    R"({"service":"keys","timeout":"1500ms","max_attempts":3}}]}],"clusters":)"
    R"([{"name":"keys","sharded":true},{"name":"plain"}]})";

/// Worker's part of a refused and of an answered request.
byte_answer refuses(unsigned status, const std::string& named)
{
    byte_answer answer;
    answer.steps.push_back({refusal_bytes(status, named), {}});
    return answer;
}

byte_answer runs(const std::string& attempt)
{
    byte_answer answer;
    answer.steps.push_back({answer_bytes(attempt), millis(20)});
    answer.is_run = true;
    return answer;
}

/// The request runs, but other bytes arrive before its answer.
byte_answer runs_after(std::string bytes, const std::string& attempt)
{
    auto answer = runs(attempt);
    answer.steps.insert(answer.steps.begin(), byte_step{std::move(bytes), {}});
    return answer;
}

/// One router with workers that answer by scripts.
class faulty_cluster
{
  public:
    faulty_cluster()
        : state(context.get_executor(), make_settings(), make_calls(), platform::wire_names())
        , links(context.get_executor(), std::make_shared<receive_budget>(1'000'000))
        , permits(context.get_executor(), state)
        , forwarder(context.get_executor(), state, links, permits)
    {
        state.apply_routes(routes_text);
        state.workers_unknown = false;
        state.members = {{"127.0.0.1:1", "z", 1.0F}, {"127.0.0.1:2", "z", 1.0F}};
    }

    byte_worker& add_worker(bool is_sharded, byte_worker::script decide)
    {
        workers.push_back(std::make_unique<byte_worker>(context, std::move(decide)));
        worker_change change;
        change.id = "w" + std::to_string(workers.size());
        change.offset = workers.size();
        change.entry.life = {change.id, 1};
        change.entry.service = is_sharded ? "keys" : "plain";
        change.entry.address = workers.back()->address();
        change.entry.zone = "z";
        change.entry.slots = 4;
        state.workers.apply(change, boot_clock::now());
        if (is_sharded)
        {
            slice_change assigned;
            assigned.version = 1;
            assigned.service = "keys";
            assigned.slice = {0, key_count - 1, change.entry.life, true, {}, {}};
            state.apply_slice(assigned);
        }
        return *workers.back();
    }

    asio::awaitable<http_reply> request(std::string target, std::string attempt)
    {
        http_call call;
        call.method = target.starts_with("/look") ? "GET" : "DELETE"; // no body
        call.target = std::move(target);
        call.fields = {{"Host", "h"}, {"Eelgrassrail-Deadline-Ms", "1500"}};
        if (!attempt.empty())
            call.fields.push_back({"Eelgrassrail-Attempt-Id", std::move(attempt)});
        if (call.target.starts_with("/file"))
            call.fields.push_back({"Eelgrassrail-Shard-Key", "7"});
        co_return co_await forwarder.serve(std::move(call), std::make_shared<caller_watch>());
    }

    [[nodiscard]] std::size_t runs_of(const std::string& attempt) const
    {
        std::size_t n = 0;
        for (const auto& worker : workers)
            n += static_cast<std::size_t>(std::ranges::count(worker->runs(), attempt));
        return n;
    }

    /// A promise that the request was not run is true, and it runs once at most.
    void check(const std::string& attempt, const http_reply& reply) const
    {
        const auto text = attempt + " got " + std::to_string(reply.status) + " and ran " +
                          std::to_string(runs_of(attempt)) + " times";
        CPPUNIT_ASSERT_MESSAGE(text, runs_of(attempt) <= 1);
        const bool says_not_run = reply.status == 503 || reply.status == 429 ||
                                  reply.status == 421 || reply.status == 408;
        CPPUNIT_ASSERT_MESSAGE(text, !says_not_run || runs_of(attempt) == 0);
        CPPUNIT_ASSERT_MESSAGE(text, reply.status != 200 || reply.body == "answer to " + attempt);
    }

    /// Sends the requests one after the other and checks each.
    /// @param settle time after the last reply in which workers may still receive a request
    std::vector<http_reply> run(const std::string& target, const std::vector<std::string>& attempts,
                                millis settle = millis(100))
    {
        std::vector<http_reply> replies;
        std::exception_ptr failure;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            {
                for (const auto& attempt : attempts)
                    replies.push_back(co_await request(target, attempt));
                asio::steady_timer timer(context, settle);
                co_await timer.async_wait(asio::use_awaitable);
            },
            [&](const std::exception_ptr& thrown)
            {
                failure = thrown;
                context.stop();
            });
        context.run_for(std::chrono::seconds(20));
        if (failure)
            std::rethrow_exception(failure);
        CPPUNIT_ASSERT_EQUAL(attempts.size(), replies.size());
        for (std::size_t n = 0; n < attempts.size(); ++n)
            check(attempts[n], replies[n]);
        return replies;
    }

    static router_settings make_settings()
    {
        router_settings settings;
        settings.zone = "z";
        settings.retry_ratio = 0.2;
        settings.retry_slack = 64;
        return settings;
    }

    static platform_calls make_calls()
    {
        platform_calls calls;
        calls.decode_routes = platform::decode_routes;
        return calls;
    }

    asio::io_context context{1};
    router_state state;
    worker_links links;
    permit_client permits;
    request_forwarder forwarder;
    std::vector<std::unique_ptr<byte_worker>> workers;
};

} // namespace

class unit_faulty_workers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_faulty_workers);
    CPPUNIT_TEST(a_refusal_without_an_id_on_a_used_connection_is_no_promise);
    CPPUNIT_TEST(a_refusal_without_an_id_sends_nothing_to_a_second_worker);
    CPPUNIT_TEST(a_refusal_of_another_attempt_is_no_promise);
    CPPUNIT_TEST(a_copy_of_the_own_refusal_is_no_answer_to_the_second_sending);
    CPPUNIT_TEST(a_refusal_without_an_id_on_a_new_connection_counts);
    CPPUNIT_TEST(a_refusal_with_the_own_id_counts);
    CPPUNIT_TEST(a_refusal_without_an_id_and_no_answer_is_unknown);
    CPPUNIT_TEST(a_request_without_an_id_is_refused_on_any_connection);
    CPPUNIT_TEST(no_part_of_an_answer_counts);
    CPPUNIT_TEST(no_part_of_an_answer_counts_on_a_used_connection);
    CPPUNIT_TEST(an_invalid_status_is_never_passed_on);
    CPPUNIT_TEST(a_repeatable_request_that_may_have_run_is_not_refused_as_not_run);
    CPPUNIT_TEST(a_request_that_waited_is_not_passed_on_late_in_a_stop);
    CPPUNIT_TEST(an_owner_without_an_address_does_not_block_others);
    CPPUNIT_TEST(an_entry_at_the_address_of_a_worker_takes_few_requests);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against REFUSED: a refusal without an id, written before the answer, was taken for
    /// the answer.
    void a_refusal_without_an_id_on_a_used_connection_is_no_promise()
    {
        for (const unsigned status : {503U, 429U, 421U, 400U})
        {
            faulty_cluster cluster;
            cluster.add_worker(false,
                               [&](const byte_request& request)
                               {
                                   return request.nth == 0 ? runs(request.attempt)
                                                           : runs_after(refusal_bytes(status, {}),
                                                                        request.attempt);
                               });
            const auto replies = cluster.run("/book/x", {"a", "b"});
            CPPUNIT_ASSERT_EQUAL(200U, replies[0].status);
            CPPUNIT_ASSERT_EQUAL(200U, replies[1].status);
        }
    }

    /// Guards against TWICE: the same at the first of two workers; the second one ran it again.
    void a_refusal_without_an_id_sends_nothing_to_a_second_worker()
    {
        faulty_cluster cluster;
        const auto script = [](const byte_request& request)
        {
            return request.position == 0 ? runs(request.attempt)
                                         : runs_after(refusal_bytes(503, {}), request.attempt);
        };
        cluster.add_worker(false, script);
        cluster.add_worker(false, script);
        cluster.run("/book/x", {"a", "b", "c", "d", "e", "f"});
    }

    /// Guards against REFUSED: a 421 that ends with its connection was believed whatever its id.
    void a_refusal_of_another_attempt_is_no_promise()
    {
        faulty_cluster cluster;
        cluster.add_worker(false,
                           [](const byte_request& request)
                           {
                               if (request.nth == 0)
                                   return runs(request.attempt);
                               byte_answer answer;
                               answer.steps.push_back({"HTTP/1.1 421 Misdirected\r\n"
                                                       "Eelgrassrail-Attempt-Id: a\r\n\r\n",
                                                       {}});
                               answer.end = byte_end::close;
                               answer.is_run = true;
                               return answer;
                           });
        const auto replies = cluster.run("/book/x", {"a", "b"});
        CPPUNIT_ASSERT_EQUAL(502U, replies[1].status);
    }

    /// Guards against REFUSED and TWICE: while a key moves, a request goes to its worker again; the
    /// late copy of the first refusal bears the same id.
    void a_copy_of_the_own_refusal_is_no_answer_to_the_second_sending()
    {
        for (const unsigned status : {421U, 503U})
        {
            faulty_cluster cluster;
            auto& worker = cluster.add_worker(
                true,
                [&](const byte_request& request)
                {
                    if (request.nth == 0)
                        return refuses(status, request.attempt);
                    return request.position == 0
                               ? runs(request.attempt)
                               : runs_after(refusal_bytes(status, request.attempt),
                                            request.attempt);
                });
            const auto replies = cluster.run("/file/x", {"a"});
            CPPUNIT_ASSERT_EQUAL(200U, replies[0].status);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), worker.connections());
        }
    }

    /// A worker of another service at this address refuses without an id; the request is served by
    /// the next worker, and is refused as not run if there is none.
    void a_refusal_without_an_id_on_a_new_connection_counts()
    {
        for (const bool has_second : {false, true})
        {
            faulty_cluster cluster;
            cluster.add_worker(false, [](const byte_request&) { return refuses(421, {}); });
            if (has_second)
                cluster.add_worker(false, [](const byte_request& request)
                                   { return runs(request.attempt); });
            const auto replies = cluster.run("/book/x", {"a", "b"});
            for (const auto& reply : replies)
                CPPUNIT_ASSERT_EQUAL(has_second ? 200U : 503U, reply.status);
        }
    }

    /// A refusal that names the attempt is a promise on any connection, which stays open for
    /// others.
    void a_refusal_with_the_own_id_counts()
    {
        faulty_cluster cluster;
        auto& worker = cluster.add_worker(false,
                                          [](const byte_request& request) {
                                              return request.nth % 2 == 0
                                                         ? runs(request.attempt)
                                                         : refuses(429, request.attempt);
                                          });
        const auto replies = cluster.run("/book/x", {"a", "b", "c", "d"});
        CPPUNIT_ASSERT_EQUAL(200U, replies[0].status);
        CPPUNIT_ASSERT_EQUAL(503U, replies[1].status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker.connections());
    }

    /// Guards against a wait until the deadline after a refusal that may be of an earlier request.
    void a_refusal_without_an_id_and_no_answer_is_unknown()
    {
        faulty_cluster cluster;
        cluster.add_worker(false, [](const byte_request& request)
                           { return request.nth == 0 ? runs(request.attempt) : refuses(503, {}); });
        const auto began = boot_clock::now();
        const auto replies = cluster.run("/book/x", {"a", "b"});
        constexpr millis longest{1'000}; // the deadline is 1,500 ms
        CPPUNIT_ASSERT(boot_clock::now() - began < longest);
        CPPUNIT_ASSERT_EQUAL(502U, replies[1].status);
    }

    /// Workers refuse a request without an id, and their refusal can not bear one.
    void a_request_without_an_id_is_refused_on_any_connection()
    {
        faulty_cluster cluster;
        cluster.add_worker(
            false, [](const byte_request& request)
            { return request.attempt.empty() ? refuses(400, {}) : runs(request.attempt); });
        const auto replies = cluster.run("/book/x", {"a", "", "b"});
        CPPUNIT_ASSERT_EQUAL(503U, replies[1].status);
        CPPUNIT_ASSERT_EQUAL(200U, replies[2].status);
    }

    /// Guards against MIXED and REFUSED: an answer that stops anywhere, in its head too, is neither
    /// a success nor a promise. Each part of each kind of answer, followed by a close or a reset.
    void no_part_of_an_answer_counts()
    {
        for (const auto& whole : answers_of("a"))
            for (std::size_t n = 0; n < whole.size(); ++n)
                for (const auto end : {byte_end::close, byte_end::reset})
                    check_part(whole, n, end, {"a"});
        // A body may end with its connection; a head may not.
        const std::string head = head_of("a") + "\r\n";
        for (std::size_t n = 0; n < head.size(); ++n)
            check_part(head, n, byte_end::close, {"a"});
    }

    /// Guards against the same on a connection that has carried an answer before.
    void no_part_of_an_answer_counts_on_a_used_connection()
    {
        for (const auto& whole : answers_of("b"))
            for (std::size_t n = 0; n < whole.size(); ++n)
                check_part(whole, n, byte_end::close, {"a", "b"});
    }

    /// Guards against statuses such as 000 that reach the caller, and against a wait until the
    /// deadline for a reply after one. The connection is not used again, and a request that may be
    /// repeated is sent to another worker.
    void an_invalid_status_is_never_passed_on()
    {
        for (const std::string status : {"000", "099", "101", "600", "999"})
            for (const bool has_length : {false, true})
                for (const bool has_next : {false, true})
                    check_status(status, has_length, has_next);
    }

    /// Guards against an untrue promise: the only worker broke off, so no worker was left, and the
    /// caller was told 503.
    void a_repeatable_request_that_may_have_run_is_not_refused_as_not_run()
    {
        faulty_cluster cluster;
        cluster.add_worker(false, [](const byte_request& request)
                           { return part_of(answer_bytes(request.attempt), 20, byte_end::close); });
        const auto replies = cluster.run("/look/x", {"a"});
        CPPUNIT_ASSERT_EQUAL(502U, replies[0].status);
    }

    /// Guards against LOST: a request that waited for an owner of its key was passed on when it was
    /// too late in a planned stop.
    void a_request_that_waited_is_not_passed_on_late_in_a_stop()
    {
        faulty_cluster cluster;
        auto& worker = cluster.add_worker(true, [](const byte_request& request)
                                          { return runs(request.attempt); });
        slice_change moved;
        moved.version = 2;
        moved.service = "keys";
        moved.slice = {0, key_count - 1, {"w1", 1}, false, {}, {}};
        cluster.state.apply_slice(moved);
        // Callers are accepted for 50 ms more; the process ends 1,300 ms from now.
        cluster.forwarder.begin_stop({boot_clock::now() - millis(2'550), millis(4'400)});
        asio::steady_timer timer(cluster.context, millis(150));
        timer.async_wait(
            [&](const boost::system::error_code&)
            {
                moved.version = 3;
                moved.slice.is_ready = true;
                cluster.state.apply_slice(moved);
                cluster.state.changed.notify();
            });
        const auto replies = cluster.run("/file/x", {"a"});
        CPPUNIT_ASSERT_EQUAL(503U, replies[0].status);
        CPPUNIT_ASSERT(find_field(replies[0].fields, "Error-Kind") == "stopping");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), worker.received());
    }

  private:
    /// The head of an answer, without the line that ends it.
    static std::string head_of(const std::string& attempt)
    {
        return "HTTP/1.1 200 OK\r\nEelgrassrail-Attempt-Id: " + attempt +
               "\r\nEelgrassrail-Server-Signature: s\r\n";
    }

    /// An answer with a length, one in chunks, one after an interim reply, and a refusal.
    static std::vector<std::string> answers_of(const std::string& attempt)
    {
        return {answer_bytes(attempt),
                head_of(attempt) +
                    "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n5\r\n to a\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + answer_bytes(attempt),
                refusal_bytes(503, attempt)};
    }

    static byte_answer part_of(const std::string& whole, std::size_t length, byte_end end)
    {
        constexpr millis delivery{2}; // a reset may overtake bytes that were not read yet
        byte_answer answer;
        answer.steps.push_back({whole.substr(0, length), {}});
        if (end == byte_end::reset)
            answer.steps.push_back({{}, delivery});
        answer.end = end;
        answer.is_run = true;
        return answer;
    }

    static void check_status(const std::string& status, bool has_length, bool has_next)
    {
        constexpr millis longest{1'000}; // the deadline is 1,500 ms
        const std::string head = "HTTP/1.1 " + status + " x" + head_of("a").substr(15) +
                                 (has_length ? "Content-Length: 2\r\n\r\nno" : "\r\n");
        const auto faulty = [&](const byte_request& request)
        {
            byte_answer answer;
            const bool is_valid = request.attempt == "b";
            answer.steps.push_back(
                {is_valid ? answer_bytes("b") : head + (has_next ? answer_bytes("a") : ""), {}});
            answer.is_run = true;
            return answer;
        };
        faulty_cluster cluster;
        auto& worker = cluster.add_worker(false, faulty);
        const auto began = boot_clock::now();
        const auto replies = cluster.run("/book/x", {"a", "b"});
        CPPUNIT_ASSERT_MESSAGE(head, boot_clock::now() - began < longest);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(head, 502U, replies[0].status);
        CPPUNIT_ASSERT_MESSAGE(head, find_field(replies[0].fields, "Error-Kind") ==
                                         "invalid-server-answer");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(head, 200U, replies[1].status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::size_t(2), worker.connections());
    }

    static void set_address(faulty_cluster& cluster, const std::string& id,
                            const std::string& address)
    {
        worker_change change;
        change.id = id;
        change.offset = 100;
        change.entry = cluster.state.workers.find(id)->entry;
        change.entry.address = address;
        cluster.state.workers.apply(change, boot_clock::now());
    }

  public:
    /// Guards against a request that is tried again and again without giving up the event loop: the
    /// entry of the owner of its key has an address that can not be called. All requests stood
    /// still.
    void an_owner_without_an_address_does_not_block_others()
    {
        constexpr millis interval{20};
        constexpr int min_turns = 10;
        faulty_cluster cluster;
        cluster.add_worker(true, [](const byte_request& it) { return runs(it.attempt); });
        set_address(cluster, "w1", "nowhere");
        int turns = 0;
        asio::co_spawn(
            cluster.context,
            [&]() -> asio::awaitable<void>
            {
                for (;;)
                {
                    asio::steady_timer timer(cluster.context, interval);
                    co_await timer.async_wait(asio::use_awaitable);
                    ++turns;
                }
            },
            asio::detached);
        cluster.run("/file/x", {"a"}, {});
        CPPUNIT_ASSERT(turns >= min_turns);
    }

    /// Guards against requests that are used up by an entry of another writer: it has the address
    /// of a worker, whose answers come at once, so that it looks idle.
    void an_entry_at_the_address_of_a_worker_takes_few_requests()
    {
        constexpr int requests = 60;
        constexpr unsigned other_worker = 421;
        faulty_cluster cluster;
        cluster.add_worker(false, [](const byte_request& it) { return runs(it.attempt); });
        auto& named = cluster.add_worker(false, [](const byte_request& it)
                                         { return refuses(other_worker, it.attempt); });
        std::vector<std::string> attempts;
        attempts.reserve(requests);
        for (int n = 0; n < requests; ++n)
            attempts.push_back("a" + std::to_string(n));
        const auto replies = cluster.run("/book/x", attempts);
        CPPUNIT_ASSERT(std::ranges::all_of(replies, [](const http_reply& reply)
                                           { return reply.status == 200; }));
        CPPUNIT_ASSERT(named.received() <= requests / 10);
    }

  private:
    /// All attempts but the last one are answered; the last one gets a part of an answer.
    static void check_part(const std::string& whole, std::size_t length, byte_end end,
                           const std::vector<std::string>& attempts)
    {
        faulty_cluster cluster;
        cluster.add_worker(false,
                           [&](const byte_request& request)
                           {
                               auto answer = part_of(whole, length, end);
                               if (request.attempt == attempts.back())
                                   return answer;
                               answer.steps = {byte_step{answer_bytes(request.attempt), {}}};
                               answer.end = byte_end::keep;
                               return answer;
                           });
        const auto replies = cluster.run("/book/x", attempts, {});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(whole.substr(0, length) + "|", 502U, replies.back().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.runs_of(attempts.back()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_faulty_workers);
