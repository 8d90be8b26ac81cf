/// Replication of a pool's history and server map to its standbys and candidates.
#include <eelgrassrail/entry/pool_runner.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis delta_timeout{300};

void merge(pool_delta& into, const pool_delta& delta)
{
    into.entries.insert(into.entries.end(), delta.entries.begin(), delta.entries.end());
    into.owners.insert(into.owners.end(), delta.owners.begin(), delta.owners.end());
    into.number = delta.number;
}

} // namespace

void pool_runner::update_targets()
{
    const auto* pool = state();
    if (pool == nullptr)
        return;
    for (const auto& standby : pool->standbys)
        if (!m_targets.contains(standby))
            add_target(standby, std::nullopt);
}

void pool_runner::sync(const sync_request& request)
{
    if (const auto it = m_targets.find(request.candidate); it != m_targets.end())
    {
        it->second->is_failed = true;
        it->second->wake->cancel();
        m_targets.erase(it);
    }
    add_target(request.candidate, request);
}

void pool_runner::add_target(const process_id& process, std::optional<sync_request> request)
{
    const auto target = std::make_shared<replication_target>();
    target->process = process;
    target->request = std::move(request);
    target->wake = std::make_shared<asio::steady_timer>(m_context.executor);
    m_targets.insert_or_assign(process, target);
    asio::co_spawn(m_context.executor, replication_loop(target), asio::detached);
}

void pool_runner::replicate(const pool_delta& delta)
{
    m_latest_delta = delta.number;
    for (auto& [process, target] : m_targets)
    {
        merge(target->pending, delta);
        target->has_pending = true;
        target->wake->cancel();
    }
}

asio::awaitable<void> pool_runner::replication_loop(std::shared_ptr<replication_target> target)
{
    const auto self = shared_from_this();
    while (!m_abandoned && !target->is_failed)
    {
        if (target->is_synced && !target->has_pending)
        {
            target->wake->expires_at(asio::steady_timer::time_point::max());
            boost::system::error_code ec;
            co_await target->wake->async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        auto delta = target->is_synced ? std::exchange(target->pending, {})
                                       : m_dispatcher.full_state(boot_clock::now());
        if (!target->is_synced)
            target->pending = {};
        target->has_pending = false;
        delta.pool = m_pool;
        delta.epoch = m_epoch;
        delta.after = target->sent;
        const auto number = delta.number;
        delta_call message;
        message.value = std::move(delta);
        auto outcome = co_await m_context.peers.call(target->process.address, std::move(message),
                                                     delta_timeout);
        const auto* reply = outcome.body ? std::get_if<delta_answer>(&*outcome.body) : nullptr;
        const auto now = boot_clock::now();
        if (reply == nullptr || !reply->accepted)
        {
            fail(*target);
            flush(now);
            co_return;
        }
        target->sent = number;
        target->acknowledged = number;
        if (!std::exchange(target->is_synced, true) && target->request)
            m_context.agent.on_synced(*target->request, true, now);
        flush(now);
    }
}

void pool_runner::fail(replication_target& target)
{
    target.is_failed = true;
    const auto now = boot_clock::now();
    if (target.request && !target.is_synced)
        m_context.agent.on_synced(*target.request, false, now);
    else
        m_context.agent.on_standby_failed(m_pool, target.process);
}

/// Reports a delta as replicated when every process that may claim the pool by silence has it.
void pool_runner::report_acknowledged(instant now)
{
    const auto* pool = state();
    const auto held = m_context.agent.held().find(m_pool);
    if (pool == nullptr || held == m_context.agent.held().end() || m_abandoned)
        return;
    const bool without_log = held->second.lease.is_without_log();
    auto acknowledged = m_latest_delta;
    for (const auto& [process, target] : m_targets)
    {
        const bool is_standby = std::ranges::find(pool->standbys, process) != pool->standbys.end();
        const bool is_candidate =
            target->is_synced && !target->is_failed && held->second.pending_appointment.has_value();
        // While the holder cannot read the log, a failed standby has relinquished its claim; it is
        // dropped before it may claim again.
        const bool is_needed =
            target->is_failed ? is_standby && !without_log : is_standby || is_candidate;
        if (is_needed)
            acknowledged = std::min(acknowledged, target->is_failed ? 0 : target->acknowledged);
    }
    if (acknowledged <= m_reported_delta)
        return;
    m_reported_delta = acknowledged;
    m_dispatcher.on_replicated(acknowledged, now);
    flush(now);
}

} // namespace eelgrassrail
