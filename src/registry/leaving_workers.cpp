/// Marks of leaving workers and the notices about them.
#include <eelgrassrail/registry/leaving_workers.hpp>

#include <algorithm>

namespace eelgrassrail
{
namespace
{

constexpr millis max_notice_interval{8'000};

} // namespace

bool leaving_workers::add(const worker_incarnation& worker, instant now)
{
    return m_marks.try_emplace(worker, mark{.since = now}).second;
}

std::vector<worker_incarnation>
leaving_workers::add_announced(std::span<const worker_incarnation> workers, instant now)
{
    std::vector<worker_incarnation> added;
    for (const auto& worker : workers)
    {
        if (add(worker, now))
            added.push_back(worker);
        m_marks.at(worker).is_announced = true;
    }
    return added;
}

std::optional<instant> leaving_workers::since(const worker_incarnation& worker) const
{
    const auto it = m_marks.find(worker);
    return it == m_marks.end() ? std::nullopt : std::optional(it->second.since);
}

bool leaving_workers::take_notice(const worker_incarnation& worker, instant now)
{
    const auto it = m_marks.find(worker);
    if (it == m_marks.end() || it->second.is_announced || now < it->second.next_notice)
        return false;
    auto& known = it->second;
    known.next_notice = now + known.interval;
    known.interval = std::min<boot_clock::duration>(2 * known.interval, max_notice_interval);
    return true;
}

void leaving_workers::for_each(const std::function<void(const worker_incarnation&)>& call) const
{
    for (const auto& [worker, known] : m_marks)
        call(worker);
}

void leaving_workers::erase_if(instant before,
                               const std::function<bool(const worker_incarnation&)>& condition)
{
    std::erase_if(m_marks, [&](const auto& item)
                  { return item.second.since < before && condition(item.first); });
}

} // namespace eelgrassrail
