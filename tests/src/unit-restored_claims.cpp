/// Claims of the coordinator role in a store that was restored from a copy. The coordinator runs
/// against an ownership stream in memory, in real time and without sockets.
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/wire_names.hpp>

using namespace eelgrassrail;

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t known_version = std::uint64_t(9) << epoch_shift;
constexpr std::uint64_t copied_version = std::uint64_t(7) << epoch_shift;
constexpr millis max_claim_time{4'000}; ///< several times a claim without obstacles

ownership_record make_record(std::uint64_t version, const coordinator_identity& coordinator)
{
    ownership_record record;
    record.version = version;
    record.coordinator = coordinator;
    record.assign_slice("s", {0, key_count - 1, {"a", 1}, true, {}, {}});
    record.set_lease_times({millis(0), millis(0)});
    return record;
}

/// A process with the ownership stream of a store of era 1. Its run ends when it has appended a
/// record, or some time after the last restore of the store.
struct claiming_process
{
    explicit claiming_process(bool is_first_start)
        : state(context.get_executor(), make_settings(is_first_start), make_calls(),
                platform::wire_names())
        , coordinator(context.get_executor(), state, make_channels())
    {
        state.last_push = boot_clock::now();
    }

    void run()
    {
        coordinator.start();
        context.run_for(max_claim_time);
    }

    static router_settings make_settings(bool is_first_start)
    {
        router_settings settings;
        settings.peer_address = "127.0.0.1:1";
        settings.zone = "z";
        settings.is_first_start = is_first_start;
        settings.processor = 1.0;
        return settings;
    }

    coordinator_channels make_channels()
    {
        coordinator_channels result;
        result.push = [](const auto&...) {};
        result.announce_limits = [](const auto&...) {};
        result.announce_paces = [](const auto&...) {};
        result.announce_evacuations = [](const auto&...) {};
        result.announce_leaving = [](const auto&...) {};
        result.announce_crashes = [](const auto&...) {};
        result.call_worker = [this](const auto&...) { return call(); };
        return result;
    }

    platform_calls make_calls()
    {
        platform_calls result;
        result.newest = [this](platform_stream) { return list(); };
        result.read = [this](platform_stream, std::uint64_t from, millis) { return read(from); };
        result.append_ownership = [this](std::string text, std::uint64_t)
        { return append(std::move(text)); };
        return result;
    }

    asio::awaitable<std::optional<stream_page>> list()
    {
        stream_page page;
        page.end = make_position(era, 5);
        if (copied)
            page.records.push_back({make_position(1, 4), "map", write_message(*copied)});
        co_return page;
    }

    asio::awaitable<std::optional<stream_page>> read(std::uint64_t from)
    {
        if (era_of(from) == era)
            co_return std::nullopt;
        stream_page gap;
        gap.has_gap = true;
        co_return gap;
    }

    asio::awaitable<append_outcome> append(std::string text)
    {
        appended = read_message<ownership_record>(text);
        if (restores == 0)
        {
            context.stop();
            co_return append_outcome::unknown;
        }
        if (era < restores)
            ++era;
        co_return append_outcome::done;
    }

    asio::awaitable<http_exchange> call()
    {
        ++worker_calls;
        co_return http_exchange();
    }

    /// Checks the record of the claim: of the new era, with the owners, and with a wait.
    void check_claim() const
    {
        CPPUNIT_ASSERT(appended.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), epoch_era(appended->version));
        CPPUNIT_ASSERT(appended->find_grant_hold() > millis(0));
        const auto it = std::ranges::find(appended->services, "s", &service_slices::service);
        CPPUNIT_ASSERT(it != appended->services.end());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), it->slices.at(0).owner.id);
    }

    asio::io_context context{1};
    std::optional<ownership_record> copied;   ///< on the copy
    std::optional<ownership_record> appended; ///< by this process
    std::uint64_t era{1};
    std::uint64_t restores{}; ///< the last era; each append but the last is followed by a restore
    int worker_calls{};       ///< grants and releases
    router_state state;
    key_coordinator coordinator;
};

} // namespace

class unit_restored_claims : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_restored_claims);
    CPPUNIT_TEST(a_record_of_an_earlier_coordinator_delays_no_claim);
    CPPUNIT_TEST(an_own_claim_on_the_copy_is_not_continued);
    CPPUNIT_TEST(known_owners_are_kept_after_a_first_start);
    CPPUNIT_TEST(a_second_restore_does_not_end_the_wait);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against claimers that wait for good: the copy names an earlier coordinator than the
    /// one that was lost, and each reading of it counted as news of another one.
    void a_record_of_an_earlier_coordinator_delays_no_claim()
    {
        claiming_process it(false);
        it.state.apply_ownership(make_record(known_version, {"127.0.0.1:2", "z", 2}));
        it.copied = make_record(copied_version, {"127.0.0.1:3", "z", 3});
        it.run();
        it.check_claim();
    }

    /// Guards against two coordinators: the answer to the claim was lost, and so was the record of
    /// a successor, which may grant.
    void an_own_claim_on_the_copy_is_not_continued()
    {
        claiming_process it(false);
        it.copied = make_record(copied_version, it.state.self);
        it.run();
        it.check_claim();
    }

    /// Guards against owners that are forgotten, as the copy was made before the first record.
    void known_owners_are_kept_after_a_first_start()
    {
        claiming_process it(true);
        it.state.apply_ownership(make_record(known_version, {"127.0.0.1:2", "z", 2}));
        it.run();
        it.check_claim();
    }

    /// Guards against keys with two holders: a process that had claimed after a restore granted at
    /// once after the next one, though the records of earlier grants were gone.
    void a_second_restore_does_not_end_the_wait()
    {
        claiming_process it(false);
        auto record = make_record(copied_version, {"127.0.0.1:3", "z", 3});
        record.assign_slice("s", {0, key_count - 1, {"a", 1}, false, {}, {}});
        it.copied = record;
        it.restores = 3;
        worker_change entry;
        entry.id = "a";
        entry.offset = 1;
        entry.entry.life = {"a", 1};
        entry.entry.service = "s";
        entry.entry.address = "127.0.0.1:4";
        it.state.workers.apply(entry, boot_clock::now());
        it.run();
        CPPUNIT_ASSERT_EQUAL(it.restores, epoch_era(it.appended->version));
        CPPUNIT_ASSERT(it.appended->find_grant_hold() > role_lease);
        CPPUNIT_ASSERT_EQUAL(0, it.worker_calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_restored_claims);
