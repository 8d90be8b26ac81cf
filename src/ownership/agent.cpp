/// Inputs of the ownership agent: log pages, messages and results.
#include <eelgrassrail/ownership/agent.hpp>
#include <eelgrassrail/tickets/fold.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassrail
{
namespace
{

lease_terms make_lease_terms(const service_spec& spec)
{
    return {millis(spec.lease_ms), millis(spec.isolation_grace_ms), millis(lease_margin_ms)};
}

bool contains(const std::vector<process_id>& processes, const process_id& id)
{
    return std::ranges::find(processes, id) != processes.end();
}

} // namespace

ownership_agent::ownership_agent(process_id self, agent_timing timing)
    : m_self(std::move(self))
    , m_timing(timing)
{
}

bool ownership_agent::on_log_page(const log_page& page, instant sent, instant now)
{
    if (page.start > m_state.next || page.first > m_state.next)
        return false;
    const auto skip = m_state.next - page.first;
    for (std::size_t n = skip; n < page.records.size(); ++n)
    {
        const auto result = fold(m_state, m_state.next, page.records[n]);
        if (!result.id.empty())
            resolve(result.id, now);
        if (!result.applied)
            m_outputs.events.push_back({"Refused record " + std::to_string(m_state.next - 1) +
                                        ": " + result.reason + "."});
        else if (const auto record = decode_record(page.records[n]);
                 const auto* resumed = std::get_if<resumption>(&record.body))
            if (const auto it = m_standby_roles.find(resumed->pool); it != m_standby_roles.end())
                it->second.on_resumption(resumed->number, now);
        if (result.applied)
            reconcile(now);
    }
    if (m_state.next < page.head)
        return true;
    m_has_read_log = true;
    for (auto& [id, held] : m_held)
        if (const auto number = held.lease.on_clean_read(sent))
            held.resumption_number = number;
    return true;
}

void ownership_agent::install(deployment_state state, instant now)
{
    if (state.next <= m_state.next)
        return;
    m_state = std::move(state);
    drop_leases();
    reconcile(now);
}

void ownership_agent::reconcile(instant now)
{
    for (const auto& pool : m_state.pools)
    {
        const auto held = m_held.find(pool.id);
        if (held != m_held.end() && held->second.epoch != pool.epoch)
            m_held.erase(held);
        if (pool.holder == m_self)
            begin_holding(pool, now);
        update_standby_role(pool, now);
        if (pool.holder)
            m_unheld_since.erase(pool.id);
    }
    const auto is_gone = [&](const auto& entry) { return !find_pool(m_state, entry.first); };
    std::erase_if(m_held, is_gone);
    std::erase_if(m_standby_roles, is_gone);
}

/// A standby role lasts as long as its epoch, even while the process is not appointed: a
/// relinquishment or a pending claim must survive a removal and a new appointment.
void ownership_agent::update_standby_role(const pool_state& pool, instant now)
{
    const auto role = m_standby_roles.find(pool.id);
    if (role != m_standby_roles.end() && role->second.epoch() != pool.epoch)
        m_standby_roles.erase(role);
    if (!contains(pool.standbys, m_self))
        return;
    const auto [it, is_new] = m_standby_roles.try_emplace(pool.id, pool.epoch, now);
    if (!is_new && pool.appointed + 1 == m_state.next)
        it->second.on_holder_alive(now);
}

void ownership_agent::begin_holding(const pool_state& pool, instant now)
{
    const auto* service = find_service(m_state, pool.id.service);
    const auto [it, is_new] = m_held.try_emplace(
        pool.id, held_pool{pool.id,
                           pool.epoch,
                           holder_lease(make_lease_terms(service->spec), pool.standbys),
                           now + millis(pool.wait_ms),
                           false,
                           false,
                           {},
                           {},
                           {},
                           {},
                           {},
                           {}});
    auto& held = it->second;
    held.lease.set_terms(make_lease_terms(service->spec));
    held.lease.set_standbys(pool.standbys);
    for (const auto& standby : pool.standbys)
        held.standby_last_seen.try_emplace(standby, now);
    std::erase_if(held.standby_last_seen,
                  [&](const auto& entry) { return !contains(pool.standbys, entry.first); });
    if (is_new)
        m_outputs.events.push_back({"Holds " + to_text(pool.id) + " in epoch " +
                                    std::to_string(pool.epoch) + " after a wait of " +
                                    std::to_string(pool.wait_ms) + " ms."});
}

std::string ownership_agent::append(log_record::body_type body, instant now)
{
    log_record record;
    record.id = m_self.vm + "." + std::to_string(m_self.incarnation) + "." +
                std::to_string(++m_record_count);
    record.body = std::move(body);
    append_request request{record.id, encode(record)};
    m_outputs.appends.push_back(request);
    m_pending_appends.emplace(record.id, pending_append{std::move(request), now, {}, {}});
    return record.id;
}

void ownership_agent::append_snapshot(instant now)
{
    append(make_snapshot(m_state), now);
}

void ownership_agent::resolve(const std::string& id, instant now)
{
    const auto it = m_pending_appends.find(id);
    if (it == m_pending_appends.end())
        return;
    const auto pending = std::move(it->second);
    m_pending_appends.erase(it);
    if (pending.claimed_pool)
        if (const auto role = m_standby_roles.find(*pending.claimed_pool);
            role != m_standby_roles.end())
            role->second.on_claim_resolved(now);
    if (!pending.appointment_pool)
        return;
    const auto held = m_held.find(*pending.appointment_pool);
    if (held == m_held.end() || held->second.pending_appointment != id)
        return;
    held->second.pending_appointment.reset();
    held->second.lease.clear_candidates();
}

void ownership_agent::on_append_result(const std::string& id, append_result result, instant now)
{
    // An appended record takes effect only when it is read back from the log.
    if (result == append_result::not_sent)
        if (const auto it = m_pending_appends.find(id);
            it != m_pending_appends.end() && it->second.claimed_pool && !it->second.may_be_appended)
            resolve(id, now);
}

void ownership_agent::retry_appends(instant now)
{
    for (auto& [id, pending] : m_pending_appends)
    {
        if (now - pending.sent < m_timing.append_retry_interval)
            continue;
        pending.sent = now;
        pending.may_be_appended = true;
        m_outputs.appends.push_back(pending.request);
    }
}

void ownership_agent::on_message(const lease_message& message, instant now)
{
    std::visit([&](const auto& body) { receive(body, now); }, message);
}

void ownership_agent::receive(const hello& message, instant now)
{
    m_neighbours[message.from.vm] = {message.from, now, message.stopping};
}

void ownership_agent::receive(const heartbeat& message, instant now)
{
    const auto* pool = find_pool(m_state, message.pool);
    const auto role = m_standby_roles.find(message.pool);
    if (pool == nullptr || role == m_standby_roles.end() || role->second.epoch() != message.epoch ||
        pool->holder != message.from)
        return;
    role->second.on_holder_alive(now);
    m_outputs.messages.push_back(
        {message.from.address, heartbeat_reply{m_self, message.pool, message.epoch}});
}

void ownership_agent::receive(const heartbeat_reply& message, instant now)
{
    const auto held = m_held.find(message.pool);
    if (held == m_held.end() || held->second.epoch != message.epoch)
        return;
    const auto it = held->second.standby_last_seen.find(message.from);
    if (it != held->second.standby_last_seen.end())
        it->second = now;
}

void ownership_agent::receive(const relinquish_request& message, instant now)
{
    // A process that has not read its appointment yet can relinquish its claim, too.
    const auto* pool = find_pool(m_state, message.pool);
    if (pool == nullptr || pool->epoch != message.epoch)
        return;
    const auto role = m_standby_roles.try_emplace(message.pool, message.epoch, now).first;
    if (!role->second.relinquish(message.epoch, message.number))
        return;
    m_outputs.messages.push_back(
        {message.from.address,
         relinquish_reply{m_self, message.pool, message.epoch, message.number}});
}

void ownership_agent::receive(const relinquish_reply& message, instant /*now*/)
{
    const auto held = m_held.find(message.pool);
    if (held != m_held.end() && held->second.epoch == message.epoch)
        held->second.lease.on_relinquished(message.from, message.number);
}

void ownership_agent::on_vm_list(std::span<const listed_vm> vms, instant now)
{
    m_vms.assign(vms.begin(), vms.end());
    m_listed_at = now;
    for (const auto& vm : vms)
    {
        m_ever_listed[vm.vm] = true;
        m_absent_since.erase(vm.vm);
    }
    const auto is_listed = [&](const std::string& vm)
    { return std::ranges::find(m_vms, vm, &listed_vm::vm) != m_vms.end(); };
    for (const auto& pool : m_state.pools)
        if (pool.holder && !is_listed(pool.holder->vm))
            m_absent_since.try_emplace(pool.holder->vm, now);
    for (const auto& pool : m_state.pools)
        for (const auto& standby : pool.standbys)
            if (!is_listed(standby.vm))
                m_absent_since.try_emplace(standby.vm, now);
}

void ownership_agent::on_standby_failed(const pool_id& pool, const process_id& standby)
{
    if (const auto it = m_held.find(pool); it != m_held.end())
        it->second.failed_standbys.insert(standby);
}

void ownership_agent::on_holder_contact(const pool_id& pool, bool reached, instant now)
{
    if (reached)
        m_unreachable_since.erase(pool);
    else
        m_unreachable_since.try_emplace(pool, now);
}

instant ownership_agent::lease_expiry(const pool_id& pool) const
{
    const auto it = m_held.find(pool);
    if (it == m_held.end() || !it->second.started || it->second.handing_over)
        return instant::min();
    return it->second.lease.lease_expiry();
}

bool ownership_agent::has_valid_lease(const pool_id& pool, instant now) const
{
    return now < lease_expiry(pool);
}

void ownership_agent::drop_leases()
{
    for (auto& [id, held] : m_held)
        held.lease.drop();
}

agent_outputs ownership_agent::take_outputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace eelgrassrail
