/// Deferral of removals, and the position in the workers' stream.
#include <eelgrassrail/registry/worker_feed.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{

std::uint64_t worker_feed::position() const noexcept
{
    return std::max(m_position, m_workers.end_offset());
}

bool worker_feed::apply_records(std::span<const worker_change> records, std::uint64_t end,
                                instant now)
{
    bool has_changed = false;
    for (const auto& change : records)
        has_changed = apply_or_defer(change, change.offset, now) || has_changed;
    m_position = end;
    advance();
    return has_changed;
}

bool worker_feed::apply_listing(std::span<const worker_change> listing, std::uint64_t end,
                                instant now)
{
    const auto before = m_workers.end_offset();
    const auto read_until = position();
    const bool is_older = end < read_until;
    bool has_changed = false;
    for (const auto& change : listing)
        if (!is_older || !m_workers.is_outdated(change, read_until))
            has_changed = apply_or_defer(change, before, now) || has_changed;
    if (is_older)
        return has_changed;
    // The record of such a removal is anywhere after what was known before.
    for (const auto& change : m_workers.missing_from(listing, end))
        has_changed = apply_or_defer(change, before, now) || has_changed;
    m_position = std::max(m_position, end);
    advance();
    return has_changed;
}

void worker_feed::on_store_answered(instant earliest, instant latest) noexcept
{
    if (latest <= m_answered)
        return;
    if (m_answered != instant{} && latest - m_answered >= m_min_outage)
        m_removals_from = std::max(m_removals_from, latest + reregistration_window);
    m_answered = std::max(m_answered, earliest);
}

std::optional<instant> worker_feed::due_at() const noexcept
{
    return m_deferred.empty() ? std::nullopt : std::optional(m_removals_from);
}

bool worker_feed::apply_due(instant now)
{
    if (m_deferred.empty() || now < m_removals_from)
        return false;
    bool has_changed = false;
    for (const auto& item : std::exchange(m_deferred, {}))
        has_changed = m_workers.apply(item.change, now) || has_changed;
    advance();
    return has_changed;
}

void worker_feed::reset() noexcept
{
    m_position = 0;
    m_deferred.clear();
}

bool worker_feed::apply_or_defer(const worker_change& change, std::uint64_t complete_until,
                                 instant now)
{
    if (!change.is_removed || now >= m_removals_from)
        return m_workers.apply(change, now);
    m_deferred.push_back({change, complete_until});
    return false;
}

void worker_feed::advance()
{
    auto end = m_position;
    for (const auto& item : m_deferred)
        end = std::min(end, item.complete_until);
    m_workers.advance(end);
}

} // namespace eelgrassrail
