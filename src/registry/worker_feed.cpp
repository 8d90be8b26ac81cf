/// Deferral of changes, and the position in the workers' stream.
#include <eelgrassrail/core/stream_position.hpp>
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
                                instant now, std::span<const worker_change> overwritten)
{
    constexpr millis read_interval{500}; // the worker's entry may be written right after a read
    const auto is_overwritten = [&](const worker_change& change)
    { return std::ranges::find(overwritten, change.id, &worker_change::id) != overwritten.end(); };
    on_era(end, now);
    const auto before = m_workers.end_offset();
    const auto read_until = position();
    const bool is_older = end < read_until;
    bool has_changed = false;
    for (const auto& change : listing)
        if (!is_older || !m_workers.is_outdated(change, read_until))
            has_changed = apply_listed(change, before, end, now) || has_changed;
    if (is_older)
        return has_changed;
    // The record of such a removal is anywhere after what was known before.
    for (const auto& change : m_workers.missing_from(listing, end))
        if (!is_overwritten(change))
            has_changed = apply_or_defer(change, before, now) || has_changed;
    for (const auto& change : overwritten)
        if (m_workers.find(change.id) != nullptr)
            m_deferred.push_back({change, before, now + m_report_interval + read_interval});
    m_position = std::max(m_position, end);
    advance();
    return has_changed;
}

/// In a store that was restored, the entries of the last seconds are missing until the workers have
/// written them again.
void worker_feed::on_era(std::uint64_t end, instant now)
{
    const auto known = std::max(position(), m_restored_end);
    if (era_of(end) <= era_of(known))
        return;
    m_restored_end = end;
    if (known == 0)
        return; // nothing was known before
    m_removals_from = std::max(m_removals_from, now + reregistration_window);
}

/// The worker that an entry in a restored store may not be the newest entry of: the copy was made
/// before what is known. Null: it is the newest.
const known_worker* worker_feed::find_ambiguous(const worker_change& change) const
{
    if (change.is_removed || change.offset >= m_restored_end ||
        era_of(change.offset) != era_of(m_restored_end))
        return nullptr;
    const auto* known = m_workers.find(change.id);
    return known != nullptr && era_of(known->offset) < era_of(change.offset) ? known : nullptr;
}

/// Applies an entry of a listing.
/// @param end offset before which the listing is complete
bool worker_feed::apply_listed(const worker_change& change, std::uint64_t complete_until,
                               std::uint64_t end, instant now)
{
    const auto* known = find_ambiguous(change);
    if (known == nullptr)
        return apply_or_defer(change, complete_until, now);
    const auto born = change.entry.life.born_ms;
    const auto known_born = known->entry.life.born_ms; // 0: only a removal is known
    // The entry of the later life is missing, as that of a worker which is not listed.
    if (born < known_born)
        return apply_or_defer({change.id, end - 1, true, {}}, complete_until, now);
    if (known->accepts_work() || (born > known_born && known_born != 0))
        return apply_or_defer(change, complete_until, now);
    m_deferred.push_back({change, complete_until, now + revival_delay});
    return false;
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
    if (m_deferred.empty())
        return std::nullopt;
    return std::ranges::min(m_deferred, {}, &deferred_change::due).due;
}

bool worker_feed::apply_due(instant now)
{
    const auto due = std::partition(m_deferred.begin(), m_deferred.end(),
                                    [now](const deferred_change& item) { return now < item.due; });
    if (due == m_deferred.end())
        return false;
    bool has_changed = false;
    for (auto it = due; it != m_deferred.end(); ++it)
        has_changed = m_workers.apply(it->change, now) || has_changed;
    m_deferred.erase(due, m_deferred.end());
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
    m_deferred.push_back({change, complete_until, m_removals_from});
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
