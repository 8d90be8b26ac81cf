/// Local view of the cluster state: pushes, copies and records in different orders; classification
/// of workers' replies.
#include "../../src/router/request_fields.hpp"
#include "support.hpp"
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/decode.hpp>
#include <eelgrassrail_platform/wire_names.hpp>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

std::string state_text(int version)
{
    return R"({"version":"r)" + std::to_string(version) +
           R"(","limits":{},"listeners":[{"host":"h","rules":[{"kind":"safe","match":)"
           R"({"path_prefix":"/a/"},"action":{"service":"s","timeout":"1s"}}]}],)"
           R"("clusters":[{"name":"s","sharded":true}]})";
}

const coordinator_identity first_coordinator{"127.0.0.1:1", "z", 1};
const coordinator_identity second_coordinator{"127.0.0.1:2", "z", 2};

key_slice owned(const std::string& owner, bool is_ready = true)
{
    return {0, key_count - 1, {owner, 1}, is_ready, {}, {}};
}

ownership_record make_record(const coordinator_identity& who, std::uint64_t version,
                             const std::string& owner)
{
    ownership_record record;
    record.coordinator = who;
    record.version = version;
    record.services.push_back({"s", {owned(owner)}});
    return record;
}

coordinator_push make_push(std::uint64_t version, std::uint64_t base)
{
    coordinator_push push;
    push.sender = first_coordinator;
    push.ownership_version = version;
    push.ownership_base = base;
    push.routes_version = 4;
    return push;
}

/// A process with routes of version 4 and ownership of epoch 1.
struct process
{
    process()
        : state(context.get_executor(), {}, make_calls(), platform::wire_names())
    {
        state.apply_routes(state_text(4));
        state.apply_ownership(make_record(first_coordinator, epoch + 5, "a"));
        state_copy copy;
        copy.workers_end = 1;
        copy.revision_of = first_coordinator;
        state.merge_copy(copy, start_time);
    }

    static platform_calls make_calls()
    {
        platform_calls calls;
        calls.decode_routes = platform::decode_routes;
        return calls;
    }

    [[nodiscard]] std::string owner() const { return state.maps.at("s").find(0).owner.id; }

    static constexpr std::uint64_t epoch = std::uint64_t(1) << epoch_shift;

    boost::asio::io_context context;
    router_state state;
};

http_exchange reply_with(unsigned status, std::vector<header_field> fields)
{
    http_exchange exchange;
    exchange.result = exchange_result::complete;
    exchange.reply.status = status;
    exchange.reply.fields = std::move(fields);
    return exchange;
}

} // namespace

class unit_router_state : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_router_state);
    CPPUNIT_TEST(routes_never_go_back);
    CPPUNIT_TEST(routes_that_can_not_be_read_change_nothing);
    CPPUNIT_TEST(a_push_in_order_is_applied);
    CPPUNIT_TEST(a_push_with_a_gap_asks_for_a_copy);
    CPPUNIT_TEST(a_push_of_an_older_coordinator_is_ignored);
    CPPUNIT_TEST(a_push_of_a_newer_epoch_asks_for_a_copy);
    CPPUNIT_TEST(newer_routes_ask_for_a_copy);
    CPPUNIT_TEST(the_record_goes_before_what_was_heard);
    CPPUNIT_TEST(the_record_goes_before_an_epoch_that_is_not_on_record);
    CPPUNIT_TEST(an_older_record_changes_nothing_outside_a_claim);
    CPPUNIT_TEST(a_new_coordinator_ends_the_wish_for_a_successor);
    CPPUNIT_TEST(announced_crashes_count_from_their_time);
    CPPUNIT_TEST(state_grows_old_without_reads);
    CPPUNIT_TEST(a_few_of_each_zone_read_for_it);
    CPPUNIT_TEST(replies_say_what_ran);
    CPPUNIT_TEST(a_reply_of_another_attempt_is_not_the_answer);
    CPPUNIT_TEST(connection_fields_are_not_passed_on);
    CPPUNIT_TEST_SUITE_END();

  public:
    void routes_never_go_back()
    {
        process it;
        CPPUNIT_ASSERT(!it.state.apply_routes(state_text(3)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), it.state.routes->version);
        CPPUNIT_ASSERT(it.state.apply_routes(state_text(9)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), it.state.routes->version);
    }

    void routes_that_can_not_be_read_change_nothing()
    {
        process it;
        CPPUNIT_ASSERT(!it.state.apply_routes("{\"version\":\"r10\"}"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), it.state.routes->version);
    }

    void a_push_in_order_is_applied()
    {
        process it;
        auto push = make_push(process::epoch + 6, process::epoch + 5);
        push.ownership.push_back({process::epoch + 6, "s", owned("b")});
        CPPUNIT_ASSERT(it.state.apply_push(push, start_time));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), it.owner());
        CPPUNIT_ASSERT(it.state.apply_push(push, start_time)); // applying it again has no effect
        CPPUNIT_ASSERT_EQUAL(process::epoch + 6, it.state.ownership_version);
    }

    void a_push_with_a_gap_asks_for_a_copy()
    {
        process it;
        auto push = make_push(process::epoch + 9, process::epoch + 8);
        push.ownership.push_back({process::epoch + 9, "s", owned("b")});
        CPPUNIT_ASSERT(!it.state.apply_push(push, start_time));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), it.owner());
    }

    void a_push_of_an_older_coordinator_is_ignored()
    {
        process it;
        it.state.apply_ownership(make_record(second_coordinator, next_epoch(process::epoch), "c"));
        auto push = make_push(process::epoch + 6, process::epoch + 5);
        push.ownership.push_back({process::epoch + 6, "s", owned("b")});
        CPPUNIT_ASSERT(it.state.apply_push(push, start_time));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), it.owner());
        CPPUNIT_ASSERT(it.state.last_push == instant{});
    }

    void a_push_of_a_newer_epoch_asks_for_a_copy()
    {
        process it;
        auto push = make_push(next_epoch(process::epoch), process::epoch);
        push.sender = second_coordinator;
        CPPUNIT_ASSERT(!it.state.apply_push(push, start_time));
    }

    void newer_routes_ask_for_a_copy()
    {
        process it;
        auto push = make_push(process::epoch + 5, process::epoch + 5);
        push.routes_version = 5;
        CPPUNIT_ASSERT(!it.state.apply_push(push, start_time));
    }

    void the_record_goes_before_what_was_heard()
    {
        // A push may have the version of a record without the moves that the record contains.
        process it;
        CPPUNIT_ASSERT(
            it.state.apply_push(make_push(process::epoch + 6, process::epoch + 5), start_time));
        it.state.adopt_record(make_record(first_coordinator, process::epoch + 6, "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), it.owner());
    }

    /// Guards against a claimer that ignores the moves on record: a pending claim of another
    /// process, which then failed, has put it an epoch ahead of the record.
    void the_record_goes_before_an_epoch_that_is_not_on_record()
    {
        process it;
        it.state.apply_ownership(make_record(second_coordinator, next_epoch(process::epoch), "c"));
        it.state.adopt_record(make_record(first_coordinator, process::epoch + 90, "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), it.owner());
        CPPUNIT_ASSERT(it.state.coordinator == first_coordinator);
        // The pushes of the coordinator on record are applied again.
        auto push = make_push(process::epoch + 91, process::epoch + 90);
        push.ownership.push_back({process::epoch + 91, "s", owned("d")});
        CPPUNIT_ASSERT(it.state.apply_push(push, start_time));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), it.owner());
        // A claim begins above all epochs that were used.
        CPPUNIT_ASSERT_EQUAL(next_epoch(process::epoch), it.state.max_ownership_version);
    }

    void an_older_record_changes_nothing_outside_a_claim()
    {
        process it;
        it.state.apply_ownership(make_record(second_coordinator, next_epoch(process::epoch), "c"));
        it.state.apply_ownership(make_record(first_coordinator, process::epoch + 90, "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), it.owner());
        CPPUNIT_ASSERT(it.state.coordinator == second_coordinator);
    }

    void a_new_coordinator_ends_the_wish_for_a_successor()
    {
        process it;
        auto push = make_push(process::epoch + 5, process::epoch + 5);
        push.lacks_store = true;
        it.state.apply_push(push, start_time);
        CPPUNIT_ASSERT(it.state.store_lost_since == start_time);
        it.state.apply_ownership(make_record(second_coordinator, next_epoch(process::epoch), "c"));
        CPPUNIT_ASSERT(it.state.store_lost_since == instant{});
    }

    /// Guards against overload of the store: while it does not answer the coordinator, hundreds of
    /// processes would otherwise read it.
    void a_few_of_each_zone_read_for_it()
    {
        std::size_t readers = 0;
        constexpr int processes = 300;
        std::vector<cluster_member> members;
        members.reserve(processes);
        for (int n = 0; n < processes; ++n)
            members.push_back({"10.0.0." + std::to_string(n), "z" + std::to_string(n % 5), 0.1F});
        for (const auto& member : members)
        {
            boost::asio::io_context context;
            router_settings settings;
            settings.peer_address = member.address;
            settings.zone = member.zone;
            router_state state(context.get_executor(), settings, process::make_calls(),
                               platform::wire_names());
            CPPUNIT_ASSERT(state.reads_for_zone()); // it knows no other members
            state.members = members;
            readers += state.reads_for_zone() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), readers);
    }

    /// A process that started after two crashes must refuse the request that caused them, and only
    /// for as long as the others do, however often the crashes are announced.
    void announced_crashes_count_from_their_time()
    {
        process it;
        constexpr std::uint64_t fingerprint = 7;
        constexpr std::uint32_t age_ms = 100'000;
        const std::vector<aged_crash> one{{fingerprint, "a", age_ms}};
        it.state.apply_crashes(one, start_time);
        CPPUNIT_ASSERT(!it.state.crashes.is_refused(fingerprint, start_time));
        const std::vector<aged_crash> two{{fingerprint, "a", age_ms}, {fingerprint, "b", age_ms}};
        it.state.apply_crashes(two, start_time);
        CPPUNIT_ASSERT(it.state.crashes.is_refused(fingerprint, start_time));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.state.crashes.losses(start_time).size());
        it.state.apply_crashes(two, start_time + millis(10'000));
        CPPUNIT_ASSERT(it.state.crashes.is_refused(fingerprint, start_time + millis(19'000)));
        CPPUNIT_ASSERT(!it.state.crashes.is_refused(fingerprint, start_time + millis(21'000)));
        CPPUNIT_ASSERT(it.state.crashes.losses(start_time + millis(21'000)).empty());
    }

    void state_grows_old_without_reads()
    {
        process it;
        auto push = make_push(process::epoch + 5, process::epoch + 5);
        push.age_ms = 300;
        it.state.apply_push(push, start_time + millis(1'000));
        CPPUNIT_ASSERT_EQUAL(800U, it.state.age_ms(start_time + millis(1'500)));
        CPPUNIT_ASSERT(it.state.is_fresh(start_time + millis(2'000)));
        CPPUNIT_ASSERT(!it.state.is_fresh(start_time + millis(3'000)));
    }

    void replies_say_what_ran()
    {
        const auto names = platform::wire_names();
        routed_request request;
        request.attempt_id = "x";
        const header_field own{names.attempt_id, "x"};
        const header_field other{names.attempt_id, "y"};
        const header_field sign{names.worker_signature, "s"};
        const auto kind = [&](unsigned status, std::vector<header_field> fields)
        { return classify(request, names, reply_with(status, std::move(fields))); };
        CPPUNIT_ASSERT(kind(200, {own, sign}) == reply_kind::answer);
        CPPUNIT_ASSERT(kind(200, {own}) == reply_kind::invalid);
        CPPUNIT_ASSERT(kind(200, {other, sign}) == reply_kind::invalid);
        CPPUNIT_ASSERT(kind(200, {own, sign, {"Content-Encoding", "gzip"}}) == reply_kind::invalid);
        CPPUNIT_ASSERT(kind(500, {own, sign}) == reply_kind::answer);
        CPPUNIT_ASSERT(kind(503, {{names.not_executed, "1"}}) == reply_kind::not_executed);
        CPPUNIT_ASSERT(kind(421, {}) == reply_kind::wrong_owner);
        CPPUNIT_ASSERT(kind(421, {other}) == reply_kind::invalid);
        CPPUNIT_ASSERT(kind(503, {other, {names.not_executed, "1"}}) == reply_kind::invalid);
        CPPUNIT_ASSERT(kind(500, {other, sign}) == reply_kind::invalid);
        CPPUNIT_ASSERT(kind(503, {}) == reply_kind::invalid); // not marked as not executed
        http_exchange lost;
        lost.result = exchange_result::lost;
        CPPUNIT_ASSERT(classify(request, names, lost) == reply_kind::lost);
    }

    void a_reply_of_another_attempt_is_not_the_answer()
    {
        const auto names = platform::wire_names();
        routed_request request;
        request.attempt_id = "x";
        http_reply reply;
        CPPUNIT_ASSERT(owner_of(request, names, reply) == reply_owner::unnamed);
        reply.fields.push_back({names.attempt_id, "y"});
        CPPUNIT_ASSERT(owner_of(request, names, reply) == reply_owner::other);
        reply.fields.back().value = "x";
        CPPUNIT_ASSERT(owner_of(request, names, reply) == reply_owner::named);
    }

    void connection_fields_are_not_passed_on()
    {
        const auto names = platform::wire_names();
        routed_request request;
        request.call.method = "GET";
        request.call.target = "/a/?q";
        request.call.fields = {{"Host", "h"},          {"Connection", "close, X-Hop"},
                               {"X-Hop", "1"},         {"X-Kept", "2"},
                               {"Keep-Alive", "3"},    {names.deadline, "900000"},
                               {"content-length", "4"}};
        request.deadline = start_time + millis(700);
        const auto call = make_worker_call(request, names, "w", start_time);
        CPPUNIT_ASSERT(find_field(call.fields, "X-Kept") == "2");
        CPPUNIT_ASSERT(!find_field(call.fields, "X-Hop"));
        CPPUNIT_ASSERT(!find_field(call.fields, "Connection"));
        CPPUNIT_ASSERT(!find_field(call.fields, "Content-Length"));
        CPPUNIT_ASSERT(find_field(call.fields, names.deadline) == "700");
        CPPUNIT_ASSERT(find_field(call.fields, names.expected_worker) == "w");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_router_state);
