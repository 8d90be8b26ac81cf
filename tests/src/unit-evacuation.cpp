/// Evacuated availability zones: changes in any order, listings, and which workers may be used.
#include "support.hpp"
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/registry/evacuated_zones.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/decode.hpp>
#include <eelgrassrail_platform/store_client.hpp>
#include <eelgrassrail_platform/wire_names.hpp>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

constexpr millis evacuate_timeout{5'000};

/// A process that knows one worker in each of two zones.
struct process
{
    process()
        : state(context.get_executor(), settings(), calls(), platform::wire_names())
    {
        for (const auto* zone : {"a", "b"})
        {
            worker_change change;
            change.id = std::string("w") + zone;
            change.offset = 1;
            change.entry.life = {change.id, 1};
            change.entry.service = "s";
            change.entry.address = "127.0.0.1:1";
            change.entry.zone = zone;
            state.workers.apply(change, start_time);
        }
    }

    static router_settings settings()
    {
        router_settings result;
        result.evacuate_timeout = evacuate_timeout;
        return result;
    }

    /// The service of both workers states what a cold one tolerates.
    static platform_calls calls()
    {
        platform_calls result;
        result.decode_routes = [](const std::string&)
        {
            route_table table;
            table.version = 1;
            service_settings service;
            service.name = "s";
            service.cold_per_s = 6.2;
            table.services.push_back(service);
            return table;
        };
        return result;
    }

    bool may_use(const std::string& worker, bool is_sharded, instant now)
    {
        return state.may_use(*state.workers.find(worker), is_sharded, now);
    }

    boost::asio::io_context context;
    router_state state;
};

} // namespace

class unit_evacuation : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_evacuation);
    CPPUNIT_TEST(the_newest_change_counts_in_any_order);
    CPPUNIT_TEST(a_listing_ends_what_it_lacks);
    CPPUNIT_TEST(an_older_listing_ends_nothing);
    CPPUNIT_TEST(no_request_goes_to_an_evacuated_zone);
    CPPUNIT_TEST(owners_of_keys_serve_until_these_have_moved);
    CPPUNIT_TEST(only_evacuations_are_decoded_as_such);
    CPPUNIT_TEST(a_second_evacuation_counts_from_its_own_begin);
    CPPUNIT_TEST(a_restored_store_that_lacks_an_evacuation_ends_none);
    CPPUNIT_TEST(workers_of_a_zone_that_is_taken_back_are_paced);
    CPPUNIT_TEST(a_process_that_learns_that_a_zone_serves_paces_nothing);
    CPPUNIT_TEST_SUITE_END();

  public:
    void the_newest_change_counts_in_any_order()
    {
        evacuated_zones zones;
        CPPUNIT_ASSERT(zones.apply({"a", 5, true}, start_time));
        CPPUNIT_ASSERT(!zones.apply({"a", 5, true}, start_time + millis(1)));
        CPPUNIT_ASSERT(zones.since("a") == start_time);
        CPPUNIT_ASSERT(zones.apply({"a", 7, false}, start_time));
        CPPUNIT_ASSERT(!zones.apply({"a", 6, true}, start_time)); // late
        CPPUNIT_ASSERT(!zones.since("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), zones.count());
    }

    /// The store forgets history: the record that ended an evacuation may be gone.
    void a_listing_ends_what_it_lacks()
    {
        evacuated_zones zones;
        zones.apply({"a", 5, true}, start_time);
        const std::vector<zone_evacuation> listing{{"b", 8, true}};
        const auto changed = zones.apply_listing(listing, 9, start_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changed.size());
        CPPUNIT_ASSERT(!zones.since("a"));
        CPPUNIT_ASSERT(zones.since("b"));
        CPPUNIT_ASSERT(!zones.apply({"a", 5, true}, start_time)); // announced late
    }

    void an_older_listing_ends_nothing()
    {
        evacuated_zones zones;
        zones.apply({"a", 5, true}, start_time);
        CPPUNIT_ASSERT(zones.apply_listing({}, 5, start_time).empty());
        CPPUNIT_ASSERT(zones.since("a"));
    }

    void no_request_goes_to_an_evacuated_zone()
    {
        process it;
        const std::vector<zone_evacuation> begin{{"a", 5, true}};
        it.state.apply_evacuations(begin, start_time);
        CPPUNIT_ASSERT(!it.may_use("wa", false, start_time));
        CPPUNIT_ASSERT(it.may_use("wb", false, start_time));
        const std::vector<zone_evacuation> end{{"a", 6, false}};
        it.state.apply_evacuations(end, start_time);
        CPPUNIT_ASSERT(it.may_use("wa", false, start_time));
    }

    /// A key has one owner, so its requests would wait while the keys of a zone move.
    void owners_of_keys_serve_until_these_have_moved()
    {
        process it;
        const std::vector<zone_evacuation> begin{{"a", 5, true}};
        it.state.apply_evacuations(begin, start_time);
        CPPUNIT_ASSERT(it.may_use("wa", true, start_time + evacuate_timeout / 2 - millis(1)));
        CPPUNIT_ASSERT(!it.may_use("wa", true, start_time + evacuate_timeout / 2));
    }

    /// The time of the first one had passed, so owners of keys would have got nothing at once.
    void a_second_evacuation_counts_from_its_own_begin()
    {
        process it;
        const auto change = [&](std::uint64_t offset, bool is_evacuated, instant now)
        {
            const std::vector<zone_evacuation> changes{{"a", offset, is_evacuated}};
            it.state.apply_evacuations(changes, now);
        };
        change(5, true, start_time);
        change(6, false, start_time + millis(10'000));
        const auto again = start_time + millis(20'000);
        change(7, true, again);
        CPPUNIT_ASSERT(it.may_use("wa", true, again + millis(1)));
        change(8, true, again + millis(2'000)); // written again
        CPPUNIT_ASSERT(!it.may_use("wa", true, again + evacuate_timeout / 2));
    }

    /// The copy of the store may be older than the evacuation; the operator writes it again.
    void a_restored_store_that_lacks_an_evacuation_ends_none()
    {
        evacuated_zones zones;
        zones.apply({"a", make_position(0, 50), true}, start_time);
        CPPUNIT_ASSERT(zones.apply_listing({}, make_position(1, 40), start_time).empty());
        CPPUNIT_ASSERT(zones.since("a") == start_time);
        // The offset of the end is lower than that of the begin, in a later era.
        CPPUNIT_ASSERT(zones.apply({"a", make_position(1, 41), false}, start_time));
        CPPUNIT_ASSERT(!zones.since("a"));
    }

    /// They may have turned cold in between, and their entries say nothing of it yet.
    void workers_of_a_zone_that_is_taken_back_are_paced()
    {
        process it;
        CPPUNIT_ASSERT(it.state.apply_routes("-"));
        const std::vector<zone_evacuation> begin{{"a", 5, true}};
        it.state.apply_evacuations(begin, start_time);
        CPPUNIT_ASSERT(!it.state.paces.find("wa"));
        const std::vector<zone_evacuation> end{{"a", 6, false}};
        it.state.apply_evacuations(end, start_time + millis(1'000));
        CPPUNIT_ASSERT(it.state.paces.find("wa").has_value());
        CPPUNIT_ASSERT(!it.state.paces.find("wb"));
    }

    /// Zones that were evacuated long ago are announced too.
    void a_process_that_learns_that_a_zone_serves_paces_nothing()
    {
        process it;
        CPPUNIT_ASSERT(it.state.apply_routes("-"));
        const std::vector<zone_evacuation> end{{"a", 6, false}};
        it.state.apply_evacuations(end, start_time);
        CPPUNIT_ASSERT(!it.state.paces.find("wa"));
        CPPUNIT_ASSERT(it.may_use("wa", false, start_time));
    }

    /// Desired states and entries of other writers in the same topic are no evacuations.
    void only_evacuations_are_decoded_as_such()
    {
        boost::asio::io_context context;
        const platform::store_client client(context.get_executor(), "127.0.0.1:1");
        const auto found = client.decode_evacuation({3, "evacuate/a", "{}"});
        CPPUNIT_ASSERT(found && *found == (zone_evacuation{"a", 3, true}));
        const auto ended = client.decode_evacuation({4, "evacuate/a", ""});
        CPPUNIT_ASSERT(ended && *ended == (zone_evacuation{"a", 4, false}));
        CPPUNIT_ASSERT(!client.decode_evacuation({5, "config", "{}"}));
        CPPUNIT_ASSERT(!client.decode_evacuation({6, "evacuate/", "{}"}));
        CPPUNIT_ASSERT(!client.decode_evacuation({7, "evacuated/a", "{}"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_evacuation);
