/// Workers that say in an answer that they are leaving: marks, notices and entries.
#include "support.hpp"
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/registry/worker_registry.hpp>
#include <eelgrassrail/router/leaving_message.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/wire_names.hpp>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

worker_change make_entry(std::uint64_t offset, std::uint64_t born_ms, bool is_leaving = false)
{
    worker_change change;
    change.id = "w";
    change.offset = offset;
    change.entry.life = {"w", born_ms};
    change.entry.service = "s";
    change.entry.is_leaving = is_leaving;
    return change;
}

worker_change make_removal(std::uint64_t offset)
{
    worker_change change;
    change.id = "w";
    change.offset = offset;
    change.is_removed = true;
    return change;
}

http_reply make_answer(const std::string& text)
{
    http_reply answer;
    answer.fields.push_back({"server-leaving", text});
    return answer;
}

} // namespace

class unit_drain : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_drain);
    CPPUNIT_TEST(no_later_entry_of_the_incarnation_ends_the_mark);
    CPPUNIT_TEST(another_incarnation_is_not_marked);
    CPPUNIT_TEST(a_mark_comes_before_the_entry);
    CPPUNIT_TEST(only_the_value_1_says_leaving);
    CPPUNIT_TEST(the_coordinator_is_notified_until_it_announces);
    CPPUNIT_TEST(only_workers_that_are_listed_as_ready_are_announced);
    CPPUNIT_TEST(marks_of_unknown_workers_are_kept_for_some_minutes);
    CPPUNIT_TEST(messages_survive_the_round_trip);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against DRAIN: a renewed entry made the worker ready again.
    void no_later_entry_of_the_incarnation_ends_the_mark()
    {
        worker_registry workers;
        workers.apply(make_entry(1, 7), start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.ready("s").size());
        CPPUNIT_ASSERT(workers.mark_leaving({"w", 7}, start_time));
        CPPUNIT_ASSERT(!workers.mark_leaving({"w", 7}, start_time));
        CPPUNIT_ASSERT(workers.ready("s").empty());
        for (const auto& change : {make_entry(2, 7), make_entry(3, 7, true), make_entry(4, 7),
                                   make_removal(5), make_entry(6, 7)})
        {
            workers.apply(change, start_time + millis(1));
            CPPUNIT_ASSERT(workers.ready("s").empty());
        }
        workers.replace(std::vector{make_entry(7, 7)}, 8, start_time + millis(2));
        CPPUNIT_ASSERT(!workers.find("w")->accepts_work());
        CPPUNIT_ASSERT(workers.find("w")->leaving_since == start_time);
    }

    void another_incarnation_is_not_marked()
    {
        worker_registry workers;
        workers.apply(make_entry(1, 7), start_time);
        workers.mark_leaving({"w", 7}, start_time);
        workers.apply(make_entry(2, 8), start_time);
        CPPUNIT_ASSERT(workers.find("w")->accepts_work());
        // A late answer of the previous one.
        workers.mark_leaving({"w", 6}, start_time);
        CPPUNIT_ASSERT(workers.find("w")->accepts_work());
    }

    void a_mark_comes_before_the_entry()
    {
        worker_registry workers;
        const std::vector<worker_incarnation> announced{{"w", 7}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             workers.mark_announced_leaving(announced, start_time).size());
        workers.apply(make_entry(1, 7), start_time);
        CPPUNIT_ASSERT(!workers.find("w")->accepts_work());
    }

    void only_the_value_1_says_leaving()
    {
        boost::asio::io_context context;
        router_state state(context.get_executor(), {}, {}, platform::wire_names());
        state.workers.apply(make_entry(1, 7), start_time);
        for (const auto* text : {"0", "", "true", "yes", "11", "1.0", "-1"})
            state.observe_leaving({"w", 7}, make_answer(text), start_time);
        state.observe_leaving({"w", 7}, {}, start_time);
        CPPUNIT_ASSERT(state.workers.find("w")->accepts_work());
        state.observe_leaving({"w", 7}, make_answer("1"), start_time);
        CPPUNIT_ASSERT(!state.workers.find("w")->accepts_work());
    }

    void the_coordinator_is_notified_until_it_announces()
    {
        worker_registry workers;
        workers.apply(make_entry(1, 7), start_time);
        workers.mark_leaving({"w", 7}, start_time);
        const std::vector<worker_incarnation> marked{{"w", 7}};
        CPPUNIT_ASSERT(workers.take_leaving_notices(start_time) == marked);
        CPPUNIT_ASSERT(workers.take_leaving_notices(start_time + millis(100)).empty());
        // A coordinator of an earlier version never announces it.
        std::size_t notices = 0;
        for (int n = 0; n < 600; ++n)
            notices += workers.take_leaving_notices(start_time + millis(100) * n).size();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(notices) + " notices in a minute",
                               notices > 5 && notices < 15);
        CPPUNIT_ASSERT(workers.mark_announced_leaving(marked, start_time).empty());
        CPPUNIT_ASSERT(workers.take_leaving_notices(start_time + std::chrono::hours(1)).empty());
    }

    void only_workers_that_are_listed_as_ready_are_announced()
    {
        worker_registry workers;
        workers.mark_leaving({"w", 7}, start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.ready_but_leaving().size());
        workers.apply(make_entry(1, 7), start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.ready_but_leaving().size());
        workers.apply(make_entry(2, 7, true), start_time);
        CPPUNIT_ASSERT(workers.ready_but_leaving().empty());
        workers.apply(make_removal(3), start_time);
        CPPUNIT_ASSERT(workers.ready_but_leaving().empty());
        workers.apply(make_entry(4, 8), start_time);
        CPPUNIT_ASSERT(workers.ready_but_leaving().empty());
    }

    void marks_of_unknown_workers_are_kept_for_some_minutes()
    {
        worker_registry workers;
        workers.apply(make_entry(1, 7), start_time);
        workers.mark_leaving({"w", 7}, start_time);
        workers.apply(make_removal(2), start_time);
        workers.purge_removed(start_time + std::chrono::minutes(2));
        workers.apply(make_entry(3, 7), start_time + std::chrono::minutes(2));
        CPPUNIT_ASSERT(!workers.find("w")->accepts_work());
        workers.purge_removed(start_time + std::chrono::hours(1));
        CPPUNIT_ASSERT(!workers.find("w")->accepts_work());
        workers.apply(make_removal(4), start_time);
        workers.purge_removed(start_time + std::chrono::hours(1));
        CPPUNIT_ASSERT(workers.ready_but_leaving().empty());
        CPPUNIT_ASSERT(workers.mark_leaving({"w", 7}, start_time));
    }

    void messages_survive_the_round_trip()
    {
        leaving_update update;
        update.sender = {"10.0.0.1:7000", "z1", 5};
        update.workers = {{"w", 7}, {"v", 8}};
        const auto read = read_message<leaving_update>(write_message(update));
        CPPUNIT_ASSERT(read && read->sender == update.sender && read->workers == update.workers);
        CPPUNIT_ASSERT(!read_message<leaving_notice>(write_message(update)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_drain);
