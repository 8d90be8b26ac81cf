/// Application of worker changes and listings.
#include <eelgrassrail/registry/worker_registry.hpp>

#include <algorithm>
#include <set>

namespace eelgrassrail
{

bool worker_registry::apply(const worker_change& change, instant now)
{
    m_end = std::max(m_end, change.offset + 1);
    auto it = m_workers.find(change.id);
    const bool is_new = it == m_workers.end();
    if (!is_new && change.offset <= it->second.offset)
        return false;
    if (is_new)
        it = m_workers.emplace(change.id, known_worker{}).first;
    auto& known = it->second;
    const bool was_listed = known.is_listed;
    known.offset = change.offset;
    known.is_listed = !change.is_removed;
    if (change.is_removed)
    {
        known.entry.life.id = change.id;
        if (!was_listed)
            return false;
        known.changed = now;
        known.revision = ++m_revision;
        return true;
    }
    auto previous = known.entry;
    previous.cold_ms = change.entry.cold_ms;
    const bool is_changed = !was_listed || !(previous == change.entry);
    known.entry = change.entry;
    known.changed = now;
    if (is_changed)
        known.revision = ++m_revision;
    return is_changed;
}

void worker_registry::replace(const std::vector<worker_change>& listing, std::uint64_t end,
                              instant now)
{
    std::set<std::string_view> listed;
    for (const auto& change : listing)
    {
        listed.insert(change.id);
        apply(change, now);
    }
    for (auto& [id, known] : m_workers)
        if (known.is_listed && known.offset < end && !listed.contains(id))
        {
            known.is_listed = false;
            known.changed = now;
            known.revision = ++m_revision;
        }
    m_end = std::max(m_end, end);
}

const known_worker* worker_registry::find(std::string_view id) const noexcept
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

bool worker_registry::is_replaced(const worker_entry& worker) const
{
    return std::ranges::any_of(m_workers,
                               [&](const auto& item)
                               {
                                   const auto& other = item.second.entry;
                                   return item.second.is_listed && other.life != worker.life &&
                                          other.address == worker.address &&
                                          other.life.born_ms > worker.life.born_ms;
                               });
}

std::vector<const known_worker*> worker_registry::ready(std::string_view service) const
{
    std::vector<const known_worker*> result;
    for (const auto& [id, known] : m_workers)
        if (known.accepts_work() && known.entry.service == service)
            result.push_back(&known);
    return result;
}

std::vector<worker_change> worker_registry::changes_since(std::uint64_t revision) const
{
    std::vector<worker_change> result;
    for (const auto& [id, known] : m_workers)
        if (known.revision > revision)
            result.push_back({id, known.offset, !known.is_listed, known.entry});
    return result;
}

void worker_registry::for_each(const std::function<void(const known_worker&)>& call) const
{
    for (const auto& [id, known] : m_workers)
        call(known);
}

void worker_registry::purge_removed(instant before)
{
    std::erase_if(m_workers, [before](const auto& item)
                  { return !item.second.is_listed && item.second.changed < before; });
}

} // namespace eelgrassrail
