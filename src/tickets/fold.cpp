/// The rules by which each kind of record is applied or rejected.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/tickets/fold.hpp>

#include <algorithm>
#include <stdexcept>

namespace eelgrassrail
{
namespace
{

/// Applies record bodies. Each call operator returns the reason of a rejection, empty if applied.
class record_applier
{
  public:
    record_applier(deployment_state& state, log_offset offset, const std::string& id)
        : m_state(state)
        , m_offset(offset)
        , m_id(id)
    {
    }

    std::string operator()(const ticket& value)
    {
        const auto duplicate = std::ranges::find(m_state.results, m_id, &ticket_result::id);
        if (duplicate != m_state.results.end())
            return "duplicate of an earlier ticket";
        auto reason = check(value);
        const bool accepted = reason.empty();
        if (accepted)
        {
            ++m_state.in_force;
            apply_ticket(m_state, m_offset, value);
        }
        m_state.results.push_back({m_id, accepted, m_state.in_force, value.base, m_offset,
                                   value.author, accepted ? value.reason : reason});
        if (m_state.results.size() > max_ticket_results)
            m_state.results.erase(m_state.results.begin());
        return reason;
    }

    std::string operator()(const claim& value)
    {
        auto* pool = find(value.pool);
        if (pool == nullptr)
            return "no such pool";
        if (pool->epoch != value.ends)
            return outdated(*pool, value.ends);
        if (!is_allowed(*pool, value))
            return "the evidence does not allow this claimer";
        const auto wait = claim_wait_ms(*pool, value.evidence);
        pool->wait_ms = std::max(pool->wait_ms, wait);
        begin_epoch(*pool, value.claimer, value.standbys);
        pool->active = false;
        pool->evidence = value.evidence;
        return {};
    }

    std::string operator()(const activation& value)
    {
        return apply_if_current(value,
                                [](pool_state& pool)
                                {
                                    pool.active = true;
                                    pool.wait_ms = 0;
                                });
    }

    std::string operator()(const handover& value)
    {
        auto* pool = find(value.pool);
        if (pool != nullptr && pool->epoch == value.epoch && !pool->active)
            return "the holder is not active yet";
        return apply_if_current(value,
                                [&](pool_state& current)
                                {
                                    begin_epoch(current, value.successor, value.standbys);
                                    current.evidence = claim_evidence::handed_over;
                                });
    }

    std::string operator()(const appointment& value)
    {
        // A late duplicate must not bring back standbys that were dropped since.
        const auto* pool = find(value.pool);
        if (pool != nullptr && pool->epoch == value.epoch && pool->appointed != value.base)
            return "based on the appointment at " + std::to_string(value.base) +
                   ", current is the one at " + std::to_string(pool->appointed);
        return apply_if_current(value,
                                [&](pool_state& current)
                                {
                                    current.standbys = value.standbys;
                                    current.appointed = m_offset;
                                });
    }

    std::string operator()(const resumption& value)
    {
        return apply_if_current(value, [](pool_state&) {});
    }

    std::string operator()(const slice_release& value)
    {
        auto* pool = find(value.pool);
        if (pool == nullptr)
            return "no such pool";
        auto* service = find(value.pool.service);
        const bool by_holder = pool->epoch == value.epoch && !value.evacuated;
        if (!by_holder && !(value.evacuated && is_evacuated(service->spec, pool->id.zone)))
            return outdated(*pool, value.epoch);
        std::erase_if(service->pending, [&](const pending_slice& slice)
                      { return slice.from == pool->id.index && slice.since < value.as_of; });
        remove_empty_pools(service->spec.name);
        return {};
    }

    std::string operator()(const snapshot& value)
    {
        if (value.as_of <= m_state.last_snapshot || value.as_of > m_offset)
            return "not newer than the last snapshot, or ahead of the log";
        m_state.last_snapshot = value.as_of;
        return {};
    }

  private:
    std::string check(const ticket& value) const
    {
        try
        {
            validate(value);
        }
        catch (const ticket_error& e)
        {
            return e.what();
        }
        if (value.base != m_state.in_force)
            return "based on " + std::to_string(value.base) + ", in force is " +
                   std::to_string(m_state.in_force);
        for (std::size_t n = 0; n < value.services.size(); ++n)
        {
            const auto* existing = find_service(m_state, value.services[n].name);
            if (existing != nullptr && existing->spec.slices != value.services[n].slices)
                return "services[" + std::to_string(n) + "].slices: fixed at " +
                       std::to_string(existing->spec.slices);
        }
        for (std::size_t n = 0; n < value.services.size(); ++n)
            if (std::ranges::find(m_state.retired_services, value.services[n].name) !=
                m_state.retired_services.end())
                return "services[" + std::to_string(n) + "].name: a removed service had this name";
        for (std::size_t n = 0; n < value.removed_services.size(); ++n)
            if (find_service(m_state, value.removed_services[n]) == nullptr)
                return "removed_services[" + std::to_string(n) + "]: no such service";
        return {};
    }

    static bool is_evacuated(const service_spec& spec, const std::string& zone)
    {
        return std::ranges::find(spec.evacuated_zones, zone) != spec.evacuated_zones.end();
    }

    bool is_allowed(const pool_state& pool, const claim& value) const
    {
        const auto* service = find_service(m_state, pool.id.service);
        switch (value.evidence)
        {
        case claim_evidence::unheld:
            return !pool.holder.has_value();
        case claim_evidence::silence:
            return std::ranges::find(pool.standbys, value.claimer) != pool.standbys.end();
        case claim_evidence::same_address:
            return pool.holder.has_value() && pool.holder->vm == value.claimer.vm &&
                   pool.holder->address == value.claimer.address &&
                   pool.holder->incarnation != value.claimer.incarnation;
        case claim_evidence::vm_gone:
            return service->spec.trust_vm_list;
        case claim_evidence::isolation:
            return true;
        case claim_evidence::handed_over:
            break;
        }
        return false;
    }

    std::uint32_t claim_wait_ms(const pool_state& pool, claim_evidence evidence) const
    {
        if (evidence == claim_evidence::unheld)
            return 0;
        if (evidence == claim_evidence::silence)
            return pool.longest_lease_ms + lease_margin_ms;
        // Other claimers do not know which requests of the former holder may still be running.
        const auto& spec = find_service(m_state, pool.id.service)->spec;
        const auto base =
            evidence == claim_evidence::isolation ? spec.isolation_grace_ms : pool.longest_lease_ms;
        return base + max_class_run_ms(spec) + lease_margin_ms;
    }

    void begin_epoch(pool_state& pool, const process_id& holder,
                     const std::vector<process_id>& standbys) const
    {
        pool.epoch = m_offset + 1;
        pool.since = m_offset;
        pool.holder = holder;
        pool.standbys = standbys;
        pool.appointed = m_offset;
        pool.longest_lease_ms = find_service(m_state, pool.id.service)->spec.lease_ms;
    }

    template <class Body, class Change>
    std::string apply_if_current(const Body& value, Change change)
    {
        auto* pool = find(value.pool);
        if (pool == nullptr)
            return "no such pool";
        if (pool->epoch != value.epoch)
            return outdated(*pool, value.epoch);
        change(*pool);
        return {};
    }

    static std::string outdated(const pool_state& pool, epoch_number epoch)
    {
        return "based on epoch " + std::to_string(epoch) + ", current is " +
               std::to_string(pool.epoch);
    }

    pool_state* find(const pool_id& id)
    {
        const auto it = std::ranges::find(m_state.pools, id, &pool_state::id);
        return it == m_state.pools.end() ? nullptr : &*it;
    }

    service_state* find(const std::string& name)
    {
        const auto it = std::ranges::find(m_state.services, name,
                                          [](const service_state& s) { return s.spec.name; });
        return it == m_state.services.end() ? nullptr : &*it;
    }

    void remove_empty_pools(const std::string& name)
    {
        const auto* service = find(name);
        std::erase_if(m_state.pools,
                      [&](const pool_state& pool)
                      {
                          return pool.id.service == name && pool.workers.empty() &&
                                 std::ranges::find(service->pending, pool.id.index,
                                                   &pending_slice::from) == service->pending.end();
                      });
    }

    deployment_state& m_state;
    log_offset m_offset;
    const std::string& m_id;
};

} // namespace

fold_result fold(deployment_state& state, log_offset offset, std::string_view text)
{
    if (offset != state.next)
        throw std::logic_error("fold: record out of order");
    state.next = offset + 1;
    try
    {
        const auto record = decode_record(text);
        auto reason = std::visit(record_applier(state, offset, record.id), record.body);
        return {reason.empty(), record.id, std::move(reason)};
    }
    catch (const ticket_error& e)
    {
        return {false, {}, e.what()};
    }
}

} // namespace eelgrassrail
