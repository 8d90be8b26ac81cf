/// The store's client around a restore of the store, against the stand-in and against answers that
/// arrive late.
#include "store_standin.hpp"
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/store_client.hpp>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace asio = boost::asio;

namespace
{

constexpr millis no_wait{0};
constexpr millis late{300}; ///< delay of an answer
const std::string store_address = "127.0.0.1:21500";
const std::string late_address = "127.0.0.1:21501";

/// The stand-in, and clients of two processes.
struct store_session
{
    store_session()
        : store(context, store_address)
        , client(context.get_executor(), store_address)
        , other(context.get_executor(), store_address)
    {
    }

    /// Runs a session to completion and rethrows its exception.
    void run(asio::awaitable<void> session)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(session),
                       [&](const std::exception_ptr& thrown)
                       {
                           failure = thrown;
                           context.stop();
                       });
        context.run();
        if (failure)
            std::rethrow_exception(failure);
    }

    asio::awaitable<void> delay(millis time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context context{1};
    store_standin store;
    platform::store_client client;
    platform::store_client other;
};

} // namespace

class session_store_era : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_store_era);
    CPPUNIT_TEST(without_a_restore_positions_are_offsets);
    CPPUNIT_TEST(reads_from_an_earlier_era_are_gaps);
    CPPUNIT_TEST(a_restore_ends_a_waiting_read);
    CPPUNIT_TEST(an_append_from_an_earlier_era_is_not_acknowledged);
    CPPUNIT_TEST(a_late_acknowledgement_of_an_earlier_era_does_not_count);
    CPPUNIT_TEST_SUITE_END();

  public:
    void without_a_restore_positions_are_offsets()
    {
        store_session it;
        it.run(use_without_restore(it));
    }

    /// Guards against records that are skipped or read as others, as their offsets were issued
    /// again.
    void reads_from_an_earlier_era_are_gaps()
    {
        store_session it;
        it.run(read_over_restore(it));
    }

    void a_restore_ends_a_waiting_read()
    {
        store_session it;
        it.run(wait_over_restore(it));
    }

    /// Guards against a record that is appended at an offset that was issued again: the condition
    /// holds by chance.
    void an_append_from_an_earlier_era_is_not_acknowledged()
    {
        store_session it;
        it.run(append_over_restore(it));
    }

    /// Guards against a move that counts as recorded after the restore was seen, since the answer
    /// was under way: the record is gone, and the owners that are recorded again lack the move.
    void a_late_acknowledgement_of_an_earlier_era_does_not_count()
    {
        store_session it;
        it.run(answer_late(it));
    }

  private:
    static asio::awaitable<void> use_without_restore(store_session& it)
    {
        const auto done = co_await it.client.append_ownership("text", 0);
        CPPUNIT_ASSERT(done == append_outcome::done);
        const auto page = co_await it.client.read(platform_stream::ownership, 0, no_wait);
        CPPUNIT_ASSERT(page && !page->has_gap && page->records.size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), page->end);
    }

    static asio::awaitable<void> read_over_restore(store_session& it)
    {
        it.store.put("keyed.op", "config", "one");
        co_await it.delay(millis(300));
        it.store.put("keyed.op", "config", "two");
        const auto before = co_await it.client.newest(platform_stream::routes);
        CPPUNIT_ASSERT(before && before->end == 2);
        it.store.restore(millis(100), millis(100));
        const auto away = co_await it.client.read(platform_stream::routes, 2, no_wait);
        CPPUNIT_ASSERT(!away || away->has_gap);
        co_await it.delay(millis(200));
        const auto gap = co_await it.client.read(platform_stream::routes, 2, no_wait);
        CPPUNIT_ASSERT(gap && gap->has_gap);
        const auto listing = co_await it.client.newest(platform_stream::routes);
        CPPUNIT_ASSERT(listing && listing->end == make_position(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), listing->records.at(0).value);
        CPPUNIT_ASSERT_EQUAL(make_position(1, 0), listing->records.at(0).offset);
        it.store.put("keyed.op", "config", "three");
        const auto next = co_await it.client.read(platform_stream::routes, listing->end, no_wait);
        CPPUNIT_ASSERT(next && !next->has_gap && next->records.size() == 1);
        CPPUNIT_ASSERT_EQUAL(make_position(1, 1), next->records.at(0).offset);
        // Another process learns of the restore from the answer, also if the offset is valid.
        const auto first = co_await it.other.read(platform_stream::routes, 1, no_wait);
        CPPUNIT_ASSERT(first && first->has_gap);
    }

    static asio::awaitable<void> wait_over_restore(store_session& it)
    {
        it.store.put("keyed.op", "config", "one");
        asio::co_spawn(
            it.context,
            [&]() -> asio::awaitable<void>
            {
                co_await it.delay(millis(200));
                it.store.restore(millis(1'000), millis(0));
                it.store.put("keyed.op", "config", "two");
                it.store.put("keyed.op", "config", "three");
            },
            asio::detached);
        const auto page = co_await it.client.read(platform_stream::routes, 1, millis(1'000));
        CPPUNIT_ASSERT(!page || page->has_gap);
    }

    static asio::awaitable<void> append_over_restore(store_session& it)
    {
        const auto first = co_await it.client.append_ownership("first", 0);
        CPPUNIT_ASSERT(first == append_outcome::done);
        co_await it.delay(millis(200));
        const auto second = co_await it.client.append_ownership("second", 1);
        CPPUNIT_ASSERT(second == append_outcome::done);
        it.store.restore(millis(100), millis(0));
        // The client has not seen the restore yet, and the offset exists again.
        const auto chance = co_await it.client.append_ownership("third", 1);
        CPPUNIT_ASSERT(chance == append_outcome::unknown);
        const auto calls = it.store.calls;
        const auto known = co_await it.client.append_ownership("third", 2);
        CPPUNIT_ASSERT(known == append_outcome::lost_race);
        CPPUNIT_ASSERT_EQUAL(calls, it.store.calls); // not sent
        const auto again = co_await it.client.append_ownership("fourth", make_position(1, 2));
        CPPUNIT_ASSERT(again == append_outcome::done);
    }

    static asio::awaitable<void> answer_late(store_session& it)
    {
        http_listener listener(
            it.context.get_executor(), parse_tcp_address(late_address), {},
            [&it](http_call call, const auto&) -> asio::awaitable<http_reply>
            {
                http_reply reply;
                if (call.target.starts_with("/api/log-append"))
                    co_await it.delay(late);
                else
                {
                    reply.body = R"({"items":[],"has_more":false,"end_offset":3})";
                    reply.fields.push_back({"Store-Era", "1"});
                }
                co_return reply;
            },
            [](request_defect) { return http_reply(); });
        listener.start();
        platform::store_client client(it.context.get_executor(), late_address);
        auto outcome = append_outcome::lost_race;
        asio::co_spawn(
            it.context,
            [&]() -> asio::awaitable<void>
            { outcome = co_await client.append_ownership("move", 7); },
            asio::detached);
        co_await it.delay(millis(100));
        const auto listing = co_await client.newest(platform_stream::ownership);
        CPPUNIT_ASSERT(listing && era_of(listing->end) == 1);
        co_await it.delay(2 * late);
        CPPUNIT_ASSERT(outcome == append_outcome::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_store_era);
