/// Tasks that read the workers' and the routes' streams.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/boot_timer.hpp>
#include <eelgrassrail/router/entry_check.hpp>
#include <eelgrassrail/router/stream_reader.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

/// A quarter of the time after which a leaving worker must get no more requests.
constexpr millis workers_read_interval{500};

/// Long poll: the store holds a read of the routes for up to this time until they change.
constexpr millis routes_poll_timeout{700};

constexpr millis min_backoff{300};
constexpr millis inactive_poll_interval{200};

/// Limit of the exponential backoff of processes other than the coordinator. The coordinator
/// retries an unavailable store every 300 ms and notifies the others when it answers again.
constexpr millis max_backoff{2'000};

} // namespace

stream_reader::stream_reader(asio::any_io_executor executor, router_state& state)
    : m_executor(std::move(executor))
    , m_state(state)
{
}

void stream_reader::start(std::function<bool()> is_active)
{
    m_is_active = std::move(is_active);
    asio::co_spawn(m_executor, read_workers(), asio::detached);
    asio::co_spawn(m_executor, read_routes(), asio::detached);
}

asio::awaitable<void> stream_reader::pause(millis time)
{
    boot_timer timer(m_executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// @param failures consecutive failed reads
asio::awaitable<void> stream_reader::back_off(std::size_t failures)
{
    constexpr std::size_t max_doublings = 3;
    if (m_state.is_coordinator() || failures == 0)
        co_await pause(min_backoff);
    else
        co_await pause(
            std::min(max_backoff, min_backoff * (1 << std::min(failures - 1, max_doublings))));
}

void stream_reader::on_result(bool is_good, instant sent_at)
{
    if (!is_good)
    {
        if (m_state.store_unreachable_since == instant{})
            m_state.store_unreachable_since = sent_at;
        if (m_failures++ == 0)
            log_warning(log_part::platform, "store does not answer; keeping the last known state");
        return;
    }
    if (m_failures > 0)
    {
        log_info(log_part::platform, "store answers again failures=" + std::to_string(m_failures));
    }
    m_failures = 0;
    m_state.store_unreachable_since = {};
    m_state.store_answered_at = sent_at;
    m_workers_read_at = sent_at;
    m_state.fresh_at = std::max(m_state.fresh_at, std::min(m_workers_read_at, m_routes_read_at));
}

asio::awaitable<void> stream_reader::read_workers()
{
    while (!m_stopped)
    {
        if (!m_is_active())
        {
            m_failures = 0;
            m_state.store_unreachable_since = {};
            m_state.feed.reset();
            co_await pause(inactive_poll_interval);
            continue;
        }
        const auto sent_at = boot_clock::now();
        const bool is_good =
            needs_listing() ? co_await read_newest_workers() : co_await read_new_workers();
        on_result(is_good, sent_at);
        if (m_state.feed.apply_due(boot_clock::now()))
            m_state.changed.notify();
        if (is_good)
            co_await pause(next_read_interval());
        else
            co_await back_off(m_failures);
    }
}

/// Whether an entry that was ignored may be of a worker by the routes in force.
bool stream_reader::needs_listing() const
{
    return m_state.workers_unknown || (m_ignored_by_version && m_state.routes &&
                                       m_state.routes->version > *m_ignored_by_version);
}

/// Why an entry is none of a worker; empty if it may be one.
std::string stream_reader::find_defect(const worker_entry& entry)
{
    auto defect = eelgrassrail::find_defect(entry);
    if (!defect.empty() || !m_state.routes ||
        m_state.routes->find_service(entry.service) != nullptr)
        return defect;
    m_ignored_by_version = m_state.routes->version;
    return "no service of its name";
}

stream_reader::decoded_entries stream_reader::decode(const std::vector<stream_record>& records)
{
    decoded_entries result;
    for (const auto& record : records)
    {
        std::string defect;
        try
        {
            auto change = m_state.calls.decode_worker(record);
            if (!change.is_removed)
                defect = find_defect(change.entry);
            if (defect.empty())
                result.changes.push_back(std::move(change));
        }
        catch (const exception& e)
        {
            defect = e.what();
        }
        if (defect.empty())
            continue;
        result.overwritten.push_back({record.key, record.offset, true, {}});
        m_state.counters.count("worker_entries_ignored");
        log_debug(log_part::platform, "entry ignored offset=" + std::to_string(record.offset) +
                                          " key_bytes=" + std::to_string(record.key.size()) +
                                          " why=" + defect);
    }
    return result;
}

/// Time until the next read, or until deferred removals are due if that is earlier.
millis stream_reader::next_read_interval() const
{
    const auto due = m_state.feed.due_at();
    if (!due)
        return workers_read_interval;
    return std::clamp(std::chrono::ceil<millis>(*due - boot_clock::now()), millis(0),
                      workers_read_interval);
}

asio::awaitable<bool> stream_reader::read_newest_workers()
{
    const auto sent_at = boot_clock::now();
    const auto page = co_await m_state.calls.newest(platform_stream::workers);
    if (!page)
        co_return false;
    m_state.feed.on_store_answered(sent_at, boot_clock::now());
    m_ignored_by_version.reset();
    const auto entries = decode(page->records);
    m_state.feed.apply_listing(entries.changes, page->end, boot_clock::now(), entries.overwritten);
    m_state.on_workers_read();
    m_state.workers_unknown = false;
    m_state.changed.notify();
    co_return true;
}

asio::awaitable<bool> stream_reader::read_new_workers()
{
    const auto sent_at = boot_clock::now();
    const auto page =
        co_await m_state.calls.read(platform_stream::workers, m_state.feed.position(), millis(0));
    if (!page)
        co_return false;
    m_state.feed.on_store_answered(sent_at, boot_clock::now());
    if (page->has_gap)
    {
        m_state.counters.count("workers_stream_gaps");
        log_info(log_part::platform,
                 "records of the workers' stream were deleted; listing them all");
        co_return co_await read_newest_workers();
    }
    const bool has_changed =
        m_state.feed.apply_records(decode(page->records).changes, page->end, boot_clock::now());
    m_state.on_workers_read();
    if (has_changed)
        m_state.changed.notify();
    co_return true;
}

/// Applies desired states and evacuations.
/// @param is_listing the page holds the newest record of each key, so what it lacks has ended
void stream_reader::apply_operator_records(const stream_page& page, bool is_listing)
{
    std::vector<zone_evacuation> evacuations;
    for (const auto& record : page.records)
    {
        const auto evacuation = m_state.calls.decode_evacuation
                                    ? m_state.calls.decode_evacuation(record)
                                    : std::nullopt;
        if (evacuation)
            evacuations.push_back(*evacuation);
        else if (!record.value.empty())
            m_state.apply_routes(record.value);
    }
    if (is_listing)
        m_state.apply_evacuation_listing(evacuations, page.end, boot_clock::now());
    else
        m_state.apply_evacuations(evacuations, boot_clock::now());
}

asio::awaitable<void> stream_reader::read_routes()
{
    bool is_known = false;
    std::size_t failures = 0;
    while (!m_stopped)
    {
        if (!m_is_active())
        {
            co_await pause(inactive_poll_interval);
            continue;
        }
        const auto sent_at = boot_clock::now();
        const auto listing_due = m_state.evacuations.listing_due();
        is_known = is_known && !(listing_due && sent_at >= *listing_due);
        std::optional<stream_page> page;
        if (is_known)
            page = co_await m_state.calls.read(platform_stream::routes, m_routes_offset,
                                               routes_poll_timeout);
        else
            page = co_await m_state.calls.newest(platform_stream::routes);
        if (!page)
        {
            co_await back_off(++failures);
            continue;
        }
        failures = 0;
        if (page->has_gap)
        {
            is_known = false;
            continue;
        }
        // A long poll without records proves that the stream was read to its end when the answer
        // arrived, not only when the read was sent.
        m_routes_read_at = page->records.empty() && is_known ? boot_clock::now() : sent_at;
        const bool is_listing = !std::exchange(is_known, true);
        m_routes_offset = page->end;
        apply_operator_records(*page, is_listing);
        if (page->records.empty() && !m_state.routes)
            co_await pause(inactive_poll_interval);
    }
}

} // namespace eelgrassrail
