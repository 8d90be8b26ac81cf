/// Application, extraction and removal of copies.
#include <eelgrassrail/entry/standby_store.hpp>

#include <algorithm>

namespace eelgrassrail
{

bool standby_store::apply(const pool_delta& delta, instant now)
{
    if (delta.whole)
        m_copies.insert_or_assign(delta.pool,
                                  copy_record{delta.epoch, delta.number, history(m_limits), {}});
    const auto it = m_copies.find(delta.pool);
    if (it == m_copies.end() || it->second.epoch != delta.epoch)
        return false;
    auto& copy = it->second;
    if (!delta.whole && delta.after != copy.number)
        return false;
    copy.number = delta.number;
    for (const auto& entry : delta.entries)
        copy.entries.record(entry, now);
    for (const auto& owner : delta.owners)
        copy.owners[owner.slice] = owner.server;
    copy.entries.expire(now);
    return true;
}

std::optional<standby_copy> standby_store::extract(const pool_id& pool)
{
    const auto it = m_copies.find(pool);
    if (it == m_copies.end())
        return std::nullopt;
    standby_copy result{it->second.entries.entries(), {}};
    for (const auto& [slice, server] : it->second.owners)
        result.owners.push_back({slice, server});
    m_copies.erase(it);
    return result;
}

void standby_store::keep_only(const deployment_state& state, const process_id& self)
{
    std::erase_if(m_copies,
                  [&](const auto& entry)
                  {
                      const auto* pool = find_pool(state, entry.first);
                      if (pool == nullptr)
                          return true;
                      const bool is_standby =
                          std::ranges::find(pool->standbys, self) != pool->standbys.end();
                      // A candidate receives its copy before its appointment is in the log.
                      const bool is_candidate = entry.second.epoch >= pool->epoch;
                      return !is_standby && !is_candidate && pool->holder != self;
                  });
}

} // namespace eelgrassrail
