/// Aggregates reports by worker and by service.
#include <eelgrassrail/router/report_collector.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrassrail
{
namespace
{

/// The requests in flight of a process without a report for this time are discarded: it has ended,
/// or reports through another process.
constexpr millis in_flight_retention{1'000};

/// Maximum run times per worker and key requests per service in a report. Larger samples would not
/// improve the estimates.
constexpr std::size_t max_times = 32;
constexpr std::size_t max_keys = 8'192;

template <class T>
void append(std::vector<T>& into, const std::vector<T>& from, std::size_t max_size)
{
    const auto n = std::min(from.size(), max_size - std::min(max_size, into.size()));
    into.insert(into.end(), from.begin(), from.begin() + static_cast<std::ptrdiff_t>(n));
}

/// Requires `into` to be sorted by worker id; the result is sorted too, with one entry per worker.
void merge_workers(std::vector<worker_report>& into, std::vector<worker_report>&& from)
{
    std::ranges::sort(from, {}, &worker_report::id);
    std::vector<worker_report> result;
    result.reserve(into.size() + from.size());
    std::ranges::merge(std::move(into), std::move(from), std::back_inserter(result), {},
                       &worker_report::id, &worker_report::id);
    into.clear();
    for (auto& item : result)
    {
        if (into.empty() || into.back().id != item.id)
        {
            into.push_back(std::move(item));
            continue;
        }
        auto& sum = into.back();
        sum.in_flight += item.in_flight;
        sum.answers += item.answers;
        sum.failures += item.failures;
        append(sum.times_ms, item.times_ms, max_times);
    }
}

} // namespace

void merge_counts(entry_report& into, entry_report&& from)
{
    if (from.members.empty())
        return;
    into.members.insert(into.members.end(), from.members.begin(), from.members.end());
    const bool is_fresher =
        from.routes_version > into.routes_version ||
        (from.routes_version == into.routes_version && from.age_ms < into.age_ms);
    if (is_fresher || into.freshest.address.empty())
    {
        into.freshest = from.freshest;
        into.routes_version = from.routes_version;
        into.age_ms = from.age_ms;
    }
    for (auto& item : from.workers)
        item.in_flight = 0;
    merge_workers(into.workers, std::move(from.workers));
    for (auto& sample : from.keys)
    {
        const auto it = std::ranges::find(into.keys, sample.service, &key_sample::service);
        if (it == into.keys.end())
            into.keys.push_back(std::move(sample));
        else
            append(it->keys, sample.keys, max_keys);
    }
    into.crashes.insert(into.crashes.end(), from.crashes.begin(), from.crashes.end());
}

void report_collector::take(entry_report report, instant now)
{
    auto& in_flight = m_in_flight[report.sender.address];
    in_flight.last_report = now;
    in_flight.by_worker.clear();
    for (const auto& item : report.workers)
        if (item.in_flight > 0)
            in_flight.by_worker[item.id] += item.in_flight;
    merge_counts(m_merged, std::move(report));
}

entry_report report_collector::merge_into(entry_report own, instant now)
{
    std::erase_if(m_in_flight, [now](const auto& item)
                  { return item.second.last_report < now - in_flight_retention; });
    std::ranges::sort(own.workers, {}, &worker_report::id);
    std::vector<worker_report> in_flight;
    for (const auto& [address, process] : m_in_flight)
        for (const auto& [id, n] : process.by_worker)
        {
            auto& item = in_flight.emplace_back();
            item.id = id;
            item.in_flight = n;
        }
    merge_counts(own, std::exchange(m_merged, {}));
    merge_workers(own.workers, std::move(in_flight));
    return own;
}

} // namespace eelgrassrail
