/// Moves of keys by the coordinator, between workers that repeat answers. The coordinator runs
/// against a store and workers in memory, in real time and without sockets.
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace eelgrassrail;

namespace asio = boost::asio;

namespace
{

constexpr millis run_time{300};        ///< of the work that a release waits for
constexpr millis max_move_time{4'000}; ///< several times a claim and a move
constexpr unsigned status_ok = 200;
const std::string handover_field = "handover";

worker_change entry_of(const std::string& id, std::uint64_t offset)
{
    worker_change change;
    change.id = id;
    change.offset = offset;
    change.entry.life = {id, 1};
    change.entry.service = "s";
    change.entry.address = "127.0.0.1:4";
    return change;
}

http_reply ok_reply()
{
    http_reply reply;
    reply.status = status_ok;
    return reply;
}

/// Names of the calls are their targets.
wire_format make_format()
{
    wire_format format;
    format.handover = handover_field;
    const auto make_call = [](const char* target)
    {
        return [target](const key_grant&)
        {
            http_call call;
            call.target = target;
            return call;
        };
    };
    format.grant = make_call("grant");
    format.release = make_call("release");
    return format;
}

/// A process that claims the coordinator role and finds a move in progress, from worker a to b.
struct moving_process
{
    moving_process()
        : state(context.get_executor(), make_settings(), make_calls(), make_format())
        , coordinator(context.get_executor(), state, make_channels())
    {
        state.workers.apply(entry_of("a", 1), boot_clock::now());
        state.workers.apply(entry_of("b", 2), boot_clock::now());
        state.last_push = boot_clock::now();
    }

    void run()
    {
        coordinator.start();
        context.run_for(max_move_time);
    }

    static router_settings make_settings()
    {
        router_settings settings;
        settings.peer_address = "127.0.0.1:1";
        settings.zone = "z";
        settings.processor = 1.0;
        settings.max_lease_duration = millis(10'000);
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
        result.call_worker =
            [this](const worker_entry& worker, http_call call, exchange_options options)
        { return answer(worker.life.id, std::move(call), std::move(options)); };
        return result;
    }

    platform_calls make_calls()
    {
        platform_calls result;
        result.newest = [](platform_stream) { return list(); };
        result.read = [](platform_stream, std::uint64_t, millis) { return fail(); };
        result.append_ownership = [](const std::string&, std::uint64_t) { return append(); };
        return result;
    }

    static asio::awaitable<std::optional<stream_page>> list()
    {
        ownership_record record;
        record.version = std::uint64_t(7) << epoch_shift;
        record.coordinator = {"127.0.0.1:3", "z", 3};
        record.assign_slice("s", {0, key_count - 1, {"b", 1}, false, {"a", 1}, {}});
        record.set_lease_times({millis(0), millis(10'000)});
        stream_page page;
        page.end = 5;
        page.records.push_back({4, "map", write_message(record)});
        co_return page;
    }

    static asio::awaitable<std::optional<stream_page>> fail() { co_return std::nullopt; }

    static asio::awaitable<append_outcome> append() { co_return append_outcome::done; }

    /// A worker whose kept connections carry a repeated answer to an earlier grant.
    asio::awaitable<http_exchange> answer(std::string worker, http_call call,
                                          exchange_options options)
    {
        http_exchange result;
        result.result = exchange_result::complete;
        result.reply = ok_reply();
        if (options.may_write && !options.may_write())
            co_return http_exchange();
        const bool is_first = options.longest_idle < millis(0);
        const bool is_named =
            !options.owner_of || options.owner_of(result.reply) == reply_owner::named;
        if (!is_first && is_named)
            repeated.insert(call.target);
        else if (call.target == "release")
        {
            asio::steady_timer timer(context, run_time);
            co_await timer.async_wait(asio::use_awaitable);
            is_released = true;
            result.reply.fields.push_back({handover_field, "state"});
        }
        if (call.target == "grant" && worker == "b")
        {
            is_granted = true;
            was_released = is_released;
            context.stop();
        }
        co_return result;
    }

    asio::io_context context{1};
    std::set<std::string> repeated; ///< calls for which an earlier answer was taken
    bool is_released{};             ///< the work of a has ended
    bool is_granted{};              ///< to b
    bool was_released{};            ///< before that
    router_state state;
    key_coordinator coordinator;
};

} // namespace

class unit_key_moves : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_key_moves);
    CPPUNIT_TEST(a_repeated_answer_to_a_grant_releases_nothing);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against keys that are granted while the previous owner still runs requests for them,
    /// or that count as granted to a worker that has refused them.
    void a_repeated_answer_to_a_grant_releases_nothing()
    {
        moving_process it;
        it.run();
        CPPUNIT_ASSERT(it.is_granted);
        CPPUNIT_ASSERT(it.was_released);
        CPPUNIT_ASSERT(it.repeated.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_key_moves);
