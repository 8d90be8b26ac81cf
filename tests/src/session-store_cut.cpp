/// Removals of workers after a process was cut off from the store, or after an outage of the store.
/// The reading task runs against a store in memory, in real time.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/stream_reader.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <eelgrassrail_platform/decode.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <exception>
#include <map>
#include <span>
#include <string>
#include <vector>

using namespace eelgrassrail;

namespace asio = boost::asio;

namespace
{

/// The workers' stream of a store, which one process may be cut off from.
class memory_store
{
  public:
    void put(const std::string& id, bool is_listed)
    {
        m_records.push_back({m_records.size(), id, is_listed ? "listed" : ""});
    }
    /// @param value as the decoder below understands it
    void put_entry(const std::string& id, const std::string& value)
    {
        m_records.push_back({m_records.size(), id, value});
    }
    void put_unreadable(const std::string& id) { put_entry(id, "unreadable"); }
    void delete_history() { m_first = m_records.size(); }

    platform_calls calls()
    {
        platform_calls result;
        result.decode_routes = platform::decode_routes;
        result.newest = [this](platform_stream stream) { return list(stream); };
        result.read = [this](platform_stream stream, std::uint64_t from, millis)
        { return read(stream, from); };
        result.decode_worker = [](const stream_record& record)
        {
            worker_change change;
            change.id = record.key;
            change.offset = record.offset;
            change.is_removed = record.value.empty();
            change.entry.life = {record.key, 1};
            change.entry.service = "s";
            change.entry.zone = "z";
            change.entry.address = "10.0.0.1:80";
            if (record.value == "address")
                change.entry.address = "nowhere";
            if (record.value == "service")
                change.entry.service = "later";
            if (record.value == "unreadable")
                throw platform_error(303, "worker entry");
            return change;
        };
        return result;
    }

    bool is_cut{}; ///< reads fail at once

  private:
    asio::awaitable<std::optional<stream_page>> read(platform_stream stream, std::uint64_t from)
    {
        if (is_cut || stream != platform_stream::workers)
            co_return std::nullopt;
        stream_page page;
        page.has_gap = from < m_first;
        if (page.has_gap)
            co_return page;
        const auto records = std::span(m_records).subspan(
            from, std::min<std::size_t>(max_page_records, m_records.size() - from));
        page.records.assign(records.begin(), records.end());
        page.end = from + records.size();
        co_return page;
    }

    asio::awaitable<std::optional<stream_page>> list(platform_stream stream)
    {
        if (is_cut || stream != platform_stream::workers)
            co_return std::nullopt;
        std::map<std::string, stream_record> newest;
        for (const auto& record : m_records)
            newest[record.key] = record;
        stream_page page;
        for (const auto& [key, record] : newest)
            if (!record.value.empty())
                page.records.push_back(record);
        page.end = m_records.size();
        co_return page;
    }

    static constexpr std::size_t max_page_records = 2;

    std::vector<stream_record> m_records;
    std::uint64_t m_first{};
};

router_settings make_settings()
{
    router_settings settings;
    settings.worker_heartbeat = millis(870);
    return settings;
}

/// One process that has read that the worker `a` is listed.
struct reading_process
{
    reading_process()
        : state(context.get_executor(), make_settings(), store.calls(), platform::wire_names())
        , reader(context.get_executor(), state)
    {
        store.put("a", true);
        reader.start([] { return true; });
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

    asio::awaitable<void> cut_store(millis time)
    {
        co_await delay(settle_time);
        CPPUNIT_ASSERT(is_listed());
        store.is_cut = true;
        co_await delay(time);
        store.is_cut = false;
    }

    [[nodiscard]] bool is_listed() const
    {
        const auto* known = state.workers.find("a");
        return known != nullptr && known->is_listed;
    }

    static constexpr millis settle_time{700}; ///< a read interval and more

    asio::io_context context{1};
    memory_store store;
    router_state state;
    stream_reader reader;
};

} // namespace

class session_store_cut : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_store_cut);
    CPPUNIT_TEST(a_removal_after_a_short_cut_is_in_force_in_time);
    CPPUNIT_TEST(a_removal_after_a_cut_of_this_process_is_in_force_in_time);
    CPPUNIT_TEST(an_entry_that_lapsed_in_an_outage_is_kept);
    CPPUNIT_TEST(entries_that_can_not_be_read_do_not_stop_reading);
    CPPUNIT_TEST(an_entry_of_another_writer_does_not_remove_a_worker);
    CPPUNIT_TEST(an_entry_that_is_no_workers_is_not_used);
    CPPUNIT_TEST_SUITE_END();

    /// A removed worker must get no requests after this time.
    static constexpr millis drain{2'000};

  public:
    /// Guards against removals that take effect too late for all processes, since the one that
    /// reads the store for them missed a read and took that for an outage of the store.
    void a_removal_after_a_short_cut_is_in_force_in_time()
    {
        reading_process it;
        it.run(remove_after_cut(it, millis(1'000)));
    }

    /// As above, after a longer cut, in which the store has answered another process.
    void a_removal_after_a_cut_of_this_process_is_in_force_in_time()
    {
        reading_process it;
        asio::co_spawn(
            it.context,
            [&]() -> asio::awaitable<void>
            {
                for (;;)
                {
                    co_await it.delay(millis(300));
                    it.state.feed.on_store_answered(boot_clock::now(), boot_clock::now());
                }
            },
            asio::detached);
        it.run(remove_after_cut(it, millis(4'000)));
    }

    /// Guards against the loss of all workers for seconds after an outage of the store: their
    /// entries lapsed in it, which the first read shows, and are written again within two seconds.
    void an_entry_that_lapsed_in_an_outage_is_kept()
    {
        reading_process it;
        it.run(lapse_in_outage(it));
    }

    /// Guards against a reader that stays at records which are no entries, and misses those after
    /// them: they fill a page.
    void entries_that_can_not_be_read_do_not_stop_reading()
    {
        reading_process it;
        it.run(read_past_unreadable(it));
    }

    /// Guards against a worker that is taken for removed, since the store has deleted its entry and
    /// kept the newest one under its id, of another writer.
    void an_entry_of_another_writer_does_not_remove_a_worker()
    {
        reading_process it;
        it.run(overwrite_entry(it));
    }

    /// Guards against entries without a callable address, or of a service that no desired state
    /// names, under an id of their own or that of a worker. A later desired state may name the
    /// service.
    void an_entry_that_is_no_workers_is_not_used()
    {
        reading_process it;
        it.run(read_foreign(it));
    }

  private:
    static std::string routes(int version, const std::string& services)
    {
        return R"({"version":"r)" + std::to_string(version) +
               R"(","limits":{},"listeners":[],"clusters":[)" + services + "]}";
    }

    static asio::awaitable<void> read_foreign(reading_process& it)
    {
        it.state.apply_routes(routes(1, R"({"name":"s"})"));
        co_await it.delay(reading_process::settle_time);
        it.store.put_entry("x", "address");
        it.store.put_entry("y", "service");
        co_await it.delay(reading_process::settle_time);
        it.store.put_entry("a", "address");
        it.store.put_entry("a", "service");
        co_await it.delay(reading_process::settle_time);
        CPPUNIT_ASSERT(it.state.workers.find("x") == nullptr);
        CPPUNIT_ASSERT(it.state.workers.find("y") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.state.workers.ready("s").size());
        it.state.apply_routes(routes(2, R"({"name":"s"},{"name":"later"})"));
        co_await it.delay(reading_process::settle_time);
        CPPUNIT_ASSERT(it.state.workers.find("x") == nullptr);
        CPPUNIT_ASSERT(it.state.workers.find("y") != nullptr);
    }

    static asio::awaitable<void> read_past_unreadable(reading_process& it)
    {
        constexpr int entries = 4;
        constexpr millis three_reads{1'600};
        co_await it.delay(reading_process::settle_time);
        for (int n = 0; n < entries; ++n)
            it.store.put_unreadable("x" + std::to_string(n));
        it.store.put("b", true);
        co_await it.delay(three_reads);
        CPPUNIT_ASSERT(it.state.workers.find("b") != nullptr);
    }

    static asio::awaitable<void> overwrite_entry(reading_process& it)
    {
        constexpr millis until_written{800}; // less than a report interval
        co_await it.delay(reading_process::settle_time);
        it.store.put_unreadable("a");
        it.store.delete_history();
        const auto until = boot_clock::now() + until_written;
        while (boot_clock::now() < until)
        {
            CPPUNIT_ASSERT(it.is_listed());
            co_await it.delay(millis(50));
        }
        it.store.put("a", true);
        co_await it.delay(drain);
        CPPUNIT_ASSERT(it.is_listed());
        // One that does not write its entry again was removed before.
        it.store.put_unreadable("a");
        it.store.delete_history();
        co_await it.delay(drain);
        CPPUNIT_ASSERT(!it.is_listed());
    }

    static asio::awaitable<void> remove_after_cut(reading_process& it, millis cut)
    {
        constexpr millis after_cut{400};
        co_await it.cut_store(cut);
        co_await it.delay(after_cut);
        it.store.put("a", false);
        co_await it.delay(drain);
        CPPUNIT_ASSERT(!it.is_listed());
    }

    static asio::awaitable<void> lapse_in_outage(reading_process& it)
    {
        constexpr millis outage{4'000};
        constexpr millis until_written{1'900};
        constexpr millis interval{50};
        it.store.put("b", true);
        co_await it.cut_store(outage);
        it.store.put("a", false);
        it.store.put("b", false);
        const auto until = boot_clock::now() + until_written;
        while (boot_clock::now() < until)
        {
            CPPUNIT_ASSERT(it.is_listed());
            co_await it.delay(interval);
        }
        it.store.put("a", true);
        // One that is still missing is taken as gone.
        co_await it.delay(drain);
        CPPUNIT_ASSERT(it.is_listed());
        CPPUNIT_ASSERT(!it.state.workers.find("b")->is_listed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_store_cut);
