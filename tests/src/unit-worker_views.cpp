/// The workers that several processes know, after reads, listings, copies and pushes in any order
/// while the store deletes its history. Pure: the store and all messages are in memory.
#include "support.hpp"
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <eelgrassrail_platform/wire_names.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

worker_change entry_of(const std::string& id, std::uint64_t offset)
{
    worker_change change;
    change.id = id;
    change.offset = offset;
    change.entry.life = {id, offset + 1};
    change.entry.service = "s";
    change.entry.address = "10.0.0.1:80";
    return change;
}

/// The workers' stream of the store.
class worker_log
{
  public:
    void put(const std::string& id, bool is_removed)
    {
        auto change = entry_of(id, m_records.size());
        change.is_removed = is_removed;
        if (is_removed)
            m_newest.erase(id);
        else
            m_newest[id] = change.offset;
        m_records.push_back(change);
    }

    void delete_history() { m_first = m_records.size(); }

    [[nodiscard]] bool has_gap(std::uint64_t from) const { return from < m_first; }
    [[nodiscard]] std::uint64_t end() const { return m_records.size(); }
    [[nodiscard]] bool is_listed(const std::string& id) const { return m_newest.contains(id); }

    [[nodiscard]] std::span<const worker_change> read(std::uint64_t from) const
    {
        return std::span(m_records).subspan(from);
    }
    [[nodiscard]] std::vector<worker_change> list() const
    {
        std::vector<worker_change> result;
        for (const auto& [id, offset] : m_newest)
            result.push_back(m_records[offset]);
        return result;
    }
    [[nodiscard]] std::set<std::string> ids() const
    {
        std::set<std::string> result;
        for (const auto& [id, offset] : m_newest)
            result.insert(id);
        return result;
    }

  private:
    std::vector<worker_change> m_records;
    std::uint64_t m_first{};
    std::map<std::string, std::uint64_t> m_newest;
};

router_settings settings_at(const std::string& address)
{
    router_settings settings;
    settings.peer_address = address;
    settings.zone = "z";
    return settings;
}

/// One process of the router.
struct process
{
    explicit process(const std::string& address)
        : state(context.get_executor(), settings_at(address), {}, platform::wire_names())
    {
    }

    [[nodiscard]] std::set<std::string> listed() const
    {
        std::set<std::string> result;
        state.workers.for_each(
            [&](const known_worker& worker)
            {
                if (worker.is_listed)
                    result.insert(worker.entry.life.id);
            });
        return result;
    }

    boost::asio::io_context context;
    router_state state;
};

/// A coordinator and other processes; the coordinator pushes what has changed since its last
/// pushes.
class cluster
{
  public:
    explicit cluster(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n)
            start(n);
        take_role(0);
    }

    void start(std::size_t n)
    {
        m_processes.resize(std::max(m_processes.size(), n + 1));
        // Each start has an identity of its own, as its start time is part of it.
        m_processes[n] = std::make_unique<process>("127.0.0.1:" + std::to_string(++m_starts));
        if (m_epoch > 0)
            m_processes[n]->state.apply_ownership(m_record);
    }

    void take_role(std::size_t n)
    {
        m_coordinator = n;
        m_record.coordinator = at(n).self;
        m_record.version = ++m_epoch << epoch_shift;
        m_revisions.assign(1, at(n).workers.revision());
        for (auto& it : m_processes)
            it->state.apply_ownership(m_record);
    }

    /// As stream_reader does.
    void read(std::size_t n)
    {
        auto& state = at(n);
        state.feed.on_store_answered(m_now, m_now);
        if (state.workers_unknown || log.has_gap(state.feed.position()))
            state.feed.apply_listing(log.list(), log.end(), m_now);
        else
            state.feed.apply_records(log.read(state.feed.position()), log.end(), m_now);
        state.on_workers_read();
        state.feed.apply_due(m_now);
        state.workers_unknown = false;
    }

    /// Reads until no removal is deferred any more.
    void read_until_due(std::size_t n)
    {
        constexpr millis interval{500};
        const auto until = m_now + worker_feed::reregistration_window;
        for (read(n); m_now < until; read(n))
            pass(interval);
    }

    void copy(std::size_t from, std::size_t to)
    {
        if (from != to && !at(from).workers_unknown)
            at(to).merge_copy(at(from).make_copy(m_now), m_now);
    }

    /// @param pushes_back base of the changes: that many pushes ago
    /// @return false if the receiver needs a copy
    bool push(std::size_t to, std::size_t pushes_back)
    {
        const auto& sender = at(m_coordinator);
        coordinator_push message;
        message.sender = sender.self;
        message.ownership_version = m_record.version;
        message.ownership_base = m_record.version;
        message.workers_revision = sender.workers.revision();
        m_revisions.push_back(message.workers_revision);
        message.workers_base =
            m_revisions[m_revisions.size() - 1 - std::min(pushes_back, m_revisions.size() - 1)];
        message.workers = sender.workers.changes_since(message.workers_base);
        message.workers_end = sender.workers.end_offset();
        auto& receiver = at(to);
        if (receiver.workers_unknown)
            return false;
        const bool is_complete = receiver.apply_push(message, m_now);
        // Routes are not part of this test; without them no push is complete.
        return is_complete || !needs_copy(receiver, message);
    }

    /// What follows from pushes and copies alone, once the coordinator has read everything.
    void settle()
    {
        read_until_due(m_coordinator);
        for (int round = 0; round < 2; ++round)
            for (std::size_t n = 0; n < m_processes.size(); ++n)
                if (n != m_coordinator && !push(n, 1))
                    copy(m_coordinator, n);
    }

    router_state& at(std::size_t n) { return m_processes[n]->state; }
    [[nodiscard]] const process& process_at(std::size_t n) const { return *m_processes[n]; }
    [[nodiscard]] std::size_t size() const { return m_processes.size(); }
    [[nodiscard]] std::size_t coordinator() const { return m_coordinator; }
    void pass(millis time) { m_now += time; }
    [[nodiscard]] instant now() const { return m_now; }

    worker_log log;

  private:
    static bool needs_copy(const router_state& receiver, const coordinator_push& message)
    {
        return !(receiver.push_sender == message.sender) ||
               receiver.push_revision < message.workers_revision ||
               (receiver.unconfirmed_end > 0 && message.workers_end >= receiver.unconfirmed_end);
    }

    std::vector<std::unique_ptr<process>> m_processes;
    std::size_t m_coordinator{};
    std::size_t m_starts{};
    std::uint64_t m_epoch{};
    ownership_record m_record;
    std::vector<std::uint64_t> m_revisions; ///< of the coordinator at its pushes
    instant m_now{start_time};
};

std::string to_text(const std::set<std::string>& ids)
{
    std::string text;
    for (const auto& id : ids)
        text += id + " ";
    return text;
}

/// One run of random events.
void play(unsigned seed)
{
    std::mt19937 random(seed);
    const auto below = [&](std::size_t n)
    { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    constexpr std::size_t processes = 5;
    constexpr std::size_t workers = 6;
    constexpr int events = 120;
    cluster it(processes);
    std::string history;
    for (int n = 0; n < events; ++n)
    {
        const auto id = "w" + std::to_string(below(workers));
        const auto a = below(processes);
        const auto b = below(processes);
        const auto kind = below(40);
        it.pass(millis(100));
        if (kind < 10)
            it.log.put(id, it.log.is_listed(id));
        else if (kind < 13)
            it.log.delete_history();
        else if (kind < 20)
            it.read(it.coordinator());
        else if (kind < 24)
            it.read(a);
        else if (kind < 27)
            it.copy(a, b);
        else if (kind < 37 && a != it.coordinator())
        {
            if (!it.push(a, below(4)) && below(2) == 0)
                it.copy(below(2) == 0 ? it.coordinator() : b, a);
        }
        else if (kind == 37)
            it.at(a).feed.reset();
        else if (kind == 38 && a != it.coordinator())
            it.start(a);
        else if (kind == 39 && !it.at(a).workers_unknown)
            it.take_role(a);
        history += std::to_string(kind) + ":" + id + "," + std::to_string(a) + "," +
                   std::to_string(b) + " ";
    }
    it.settle();
    for (std::size_t n = 0; n < it.size(); ++n)
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + " process " +
                                         std::to_string(n) + " coordinator " +
                                         std::to_string(it.coordinator()) + " " + history,
                                     to_text(it.log.ids()), to_text(it.process_at(n).listed()));
}

} // namespace

/// A process that reads the stream, with a worker `a`. The report interval is 870 ms.
struct reader
{
    reader()
    {
        feed.on_store_answered(start_time, start_time);
        feed.apply_records(std::vector{entry_of("a", 0)}, 1, start_time);
    }

    [[nodiscard]] bool is_listed() const { return workers.find("a")->is_listed; }

    static worker_change removal()
    {
        auto change = entry_of("a", 1);
        change.is_removed = true;
        return change;
    }

    worker_registry workers;
    worker_feed feed{workers, millis(870)};
};

class unit_worker_views : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_worker_views);
    CPPUNIT_TEST(a_removal_that_was_deleted_reaches_all);
    CPPUNIT_TEST(an_older_copy_brings_no_removed_worker_back);
    CPPUNIT_TEST(a_worker_that_the_coordinator_never_knew);
    CPPUNIT_TEST(a_deferred_removal_is_read_again_by_a_successor);
    CPPUNIT_TEST(a_listing_in_pages_skips_no_records);
    CPPUNIT_TEST(a_short_cut_defers_no_removal);
    CPPUNIT_TEST(a_cut_of_one_process_defers_no_removal);
    CPPUNIT_TEST(an_outage_defers_removals);
    CPPUNIT_TEST(an_entry_that_is_back_after_an_outage_stays);
    CPPUNIT_TEST(a_listing_after_an_outage_defers_removals);
    CPPUNIT_TEST(a_successor_knows_of_an_outage);
    CPPUNIT_TEST(events_in_any_order);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Guards against removed workers that stay in use at processes which learn of them by pushes:
    /// the coordinator learned of the removal from a listing, and pushed it with the old offset.
    void a_removal_that_was_deleted_reaches_all()
    {
        cluster it(2);
        it.log.put("a", false);
        it.log.put("b", false);
        it.settle();
        CPPUNIT_ASSERT_EQUAL(std::string("a b "), to_text(it.process_at(1).listed()));
        it.log.put("a", true);
        it.log.delete_history();
        it.read(0);
        CPPUNIT_ASSERT(it.push(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("b "), to_text(it.process_at(1).listed()));
    }

    /// Guards against a process that lists a removed worker again: it started after the removal and
    /// then took a copy from before it. The coordinator that takes its copy skips the removal.
    void an_older_copy_brings_no_removed_worker_back()
    {
        cluster it(3);
        it.log.put("a", false);
        it.log.put("b", false);
        it.settle();
        it.log.put("a", true);
        it.read(2); // it starts
        it.copy(1, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("b "), to_text(it.process_at(2).listed()));
        it.copy(2, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("b "), to_text(it.process_at(0).listed()));
    }

    /// Guards against a worker that is known only to a process that has read the store itself: its
    /// entry and its removal were deleted before the coordinator read them, so no push names it.
    void a_worker_that_the_coordinator_never_knew()
    {
        cluster it(2);
        it.log.put("b", false);
        it.settle();
        it.log.put("a", false);
        it.read(1);
        it.log.put("a", true);
        it.log.delete_history();
        it.settle();
        CPPUNIT_ASSERT_EQUAL(std::string("b "), to_text(it.process_at(1).listed()));
    }

    /// Guards against a removal that nobody puts in force: the coordinator defers it and ends.
    void a_deferred_removal_is_read_again_by_a_successor()
    {
        cluster it(2);
        it.log.put("a", false);
        it.log.put("b", false);
        it.settle();
        it.pass(millis(5'000)); // without an answer of the store
        it.log.put("a", true);
        it.read(0);
        CPPUNIT_ASSERT_EQUAL(std::string("a b "), to_text(it.process_at(0).listed()));
        CPPUNIT_ASSERT(it.push(1, 1));
        it.take_role(1);
        it.read_until_due(1);
        CPPUNIT_ASSERT_EQUAL(std::string("b "), to_text(it.process_at(1).listed()));
    }

    /// Guards against skipping records between the first page of a listing, whose end is where
    /// reading goes on, and a later change that a further page contains.
    void a_listing_in_pages_skips_no_records()
    {
        worker_registry workers;
        worker_feed feed(workers, millis(870));
        feed.apply_listing(std::vector{entry_of("a", 3), entry_of("b", 9)}, 5, start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), feed.position());
        auto removal = entry_of("a", 7);
        removal.is_removed = true;
        feed.apply_records(std::vector{removal}, 10, start_time);
        CPPUNIT_ASSERT(!workers.find("a")->is_listed);
        CPPUNIT_ASSERT(workers.find("b")->is_listed);
    }

    /// Guards against a removal that takes effect too late for all processes, since the one that
    /// reads the store for them missed a read: no entry lapses in so short a time.
    void a_short_cut_defers_no_removal()
    {
        reader it;
        const auto at = start_time + millis(2'000);
        it.feed.on_store_answered(at, at);
        it.feed.apply_records(std::vector{reader::removal()}, 2, at);
        CPPUNIT_ASSERT(!it.is_listed());
    }

    /// As above, for a longer cut of this process, while others say that the store answers them.
    void a_cut_of_one_process_defers_no_removal()
    {
        reader it;
        for (auto at = start_time; at < start_time + millis(6'000); at += millis(1'500))
            it.feed.on_store_answered(at, at);
        const auto at = start_time + millis(6'000);
        it.feed.on_store_answered(at, at);
        it.feed.apply_records(std::vector{reader::removal()}, 2, at);
        CPPUNIT_ASSERT(!it.is_listed());
    }

    /// Guards against the loss of all workers for some seconds after an outage of the store: their
    /// entries lapsed during it, and the first read after it shows that.
    void an_outage_defers_removals()
    {
        reader it;
        const auto at = start_time + millis(4'000);
        it.feed.on_store_answered(at, at);
        it.feed.apply_records(std::vector{reader::removal()}, 2, at);
        CPPUNIT_ASSERT(it.is_listed());
        CPPUNIT_ASSERT(it.feed.due_at() == at + worker_feed::reregistration_window);
        CPPUNIT_ASSERT(!it.feed.apply_due(at + worker_feed::reregistration_window - millis(1)));
        CPPUNIT_ASSERT(it.feed.apply_due(at + worker_feed::reregistration_window));
        CPPUNIT_ASSERT(!it.is_listed());
    }

    void an_entry_that_is_back_after_an_outage_stays()
    {
        reader it;
        const auto at = start_time + millis(4'000);
        it.feed.on_store_answered(at, at);
        it.feed.apply_records(std::vector{reader::removal()}, 2, at);
        it.feed.apply_records(std::vector{entry_of("a", 2)}, 3, at + millis(500));
        it.feed.apply_due(at + worker_feed::reregistration_window);
        CPPUNIT_ASSERT(it.is_listed());
    }

    /// As an_outage_defers_removals, if the records of the removals were deleted meanwhile, or come
    /// with the copy of a process that has read the store before this one.
    void a_listing_after_an_outage_defers_removals()
    {
        reader it;
        const auto at = start_time + millis(4'000);
        it.feed.on_store_answered(at, at);
        it.feed.apply_listing({}, 9, at);
        CPPUNIT_ASSERT(it.is_listed());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), it.feed.position());
        it.feed.apply_due(at + worker_feed::reregistration_window);
        CPPUNIT_ASSERT(!it.is_listed());
    }

    /// Guards against an outage that only the coordinator before has seen: its pushes say that the
    /// store does not answer it.
    void a_successor_knows_of_an_outage()
    {
        cluster it(2);
        it.log.put("a", false);
        it.log.put("b", false);
        it.settle();
        it.pass(millis(5'000));
        it.take_role(1);
        it.log.put("a", true);
        it.read(1);
        CPPUNIT_ASSERT_EQUAL(std::string("a b "), to_text(it.process_at(1).listed()));
    }

    void events_in_any_order()
    {
        constexpr unsigned runs = 5'000;
        for (unsigned seed = 1; seed <= runs; ++seed)
            play(seed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_worker_views);
