/// Application of worker changes and listings.
#include <eelgrassrail/registry/worker_registry.hpp>

#include <algorithm>
#include <set>

namespace eelgrassrail
{
namespace
{

/// Time for which a worker that is not known any more stays marked as leaving. Its entry may be
/// back after an outage of the store.
constexpr std::chrono::minutes leaving_retention{10};

} // namespace

bool worker_registry::apply(const worker_change& change, instant now)
{
    const auto [it, is_new] = m_workers.try_emplace(change.id);
    auto& known = it->second;
    const bool was_listed = known.is_listed;
    if (!is_new && (change.offset < known.offset ||
                    (change.offset == known.offset && !(change.is_removed && was_listed))))
        return false;
    known.offset = change.offset;
    m_newest_end = std::max(m_newest_end, change.offset + 1);
    known.is_listed = !change.is_removed;
    if (change.is_removed)
    {
        known.entry.life.id = change.id;
        // Other processes may know a change of the worker between its last one here and the
        // removal.
        known.revision = ++m_revision;
        if (was_listed || is_new)
            known.changed = now;
        return was_listed;
    }
    const bool is_other_life = is_new || known.entry.life != change.entry.life;
    if (is_other_life || known.entry.address != change.entry.address)
    {
        known.has_other_address = !is_other_life;
        known.address_since = now;
    }
    auto previous = known.entry;
    previous.cold_ms = change.entry.cold_ms;
    const bool is_changed = !was_listed || !(previous == change.entry);
    known.entry = change.entry;
    known.changed = now;
    update_leaving(change.id);
    if (is_changed)
        known.revision = ++m_revision;
    return is_changed;
}

/// Applies the mark of the current incarnation.
void worker_registry::update_leaving(const std::string& id)
{
    if (const auto it = m_workers.find(id); it != m_workers.end())
        it->second.leaving_since = m_leaving.since(it->second.entry.life).value_or(instant{});
}

bool worker_registry::mark_leaving(const worker_incarnation& worker, instant now)
{
    const bool is_new = m_leaving.add(worker, now);
    update_leaving(worker.id);
    return is_new;
}

std::vector<worker_incarnation>
worker_registry::mark_announced_leaving(std::span<const worker_incarnation> workers, instant now)
{
    auto added = m_leaving.add_announced(workers, now);
    for (const auto& worker : added)
        update_leaving(worker.id);
    return added;
}

std::vector<worker_incarnation> worker_registry::ready_but_leaving() const
{
    std::vector<worker_incarnation> result;
    m_leaving.for_each(
        [&](const worker_incarnation& worker)
        {
            const auto* known = find(worker.id);
            if (known == nullptr ||
                (known->is_listed && !known->entry.is_leaving && known->entry.life == worker))
                result.push_back(worker);
        });
    return result;
}

std::vector<worker_incarnation> worker_registry::take_leaving_notices(instant now)
{
    auto result = ready_but_leaving();
    std::erase_if(result, [&](const worker_incarnation& worker)
                  { return !m_leaving.take_notice(worker, now); });
    return result;
}

bool worker_registry::replace(std::span<const worker_change> listing, std::uint64_t end,
                              instant now)
{
    const bool is_older = end < m_end;
    bool has_changed = false;
    for (const auto& change : listing)
        if (!is_older || !is_outdated(change, m_end))
            has_changed = apply(change, now) || has_changed;
    if (is_older)
        return has_changed;
    for (const auto& change : missing_from(listing, end))
        has_changed = apply(change, now) || has_changed;
    advance(end);
    return has_changed;
}

bool worker_registry::is_outdated(const worker_change& change, std::uint64_t end) const noexcept
{
    const auto* known = find(change.id);
    return change.offset < end && (known == nullptr || !known->is_listed);
}

std::vector<worker_change> worker_registry::missing_from(std::span<const worker_change> listing,
                                                         std::uint64_t end) const
{
    std::set<std::string_view> listed;
    for (const auto& change : listing)
        if (!change.is_removed)
            listed.insert(change.id);
    std::vector<worker_change> result;
    for (const auto& [id, known] : m_workers)
        if (known.offset < end && !listed.contains(id))
            result.push_back({id, end - 1, true, {}});
    return result;
}

const known_worker* worker_registry::find(std::string_view id) const noexcept
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
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
    m_leaving.erase_if(before - leaving_retention,
                       [this](const worker_incarnation& worker)
                       {
                           const auto* known = find(worker.id);
                           return known == nullptr || known->entry.life != worker;
                       });
}

} // namespace eelgrassrail
