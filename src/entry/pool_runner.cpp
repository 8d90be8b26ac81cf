/// Tasks of a held pool: requests, grants, probes and balancing.
#include <eelgrassrail/entry/pool_runner.hpp>
#include <eelgrassrail/observe/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis balance_interval{2000};

} // namespace

pool_runner::pool_runner(runner_context context, dispatcher_state start)
    : m_context(std::move(context))
    , m_pool(start.pool)
    , m_epoch(start.epoch)
    , m_dispatcher(std::move(start), boot_clock::now())
    , m_next_balance(boot_clock::now() + balance_interval)
{
}

const pool_state* pool_runner::state() const
{
    return find_pool(m_context.agent.state(), m_pool);
}

void pool_runner::configure(instant now)
{
    const auto* pool = state();
    const auto* service = find_service(m_context.agent.state(), m_pool.service);
    if (pool == nullptr || service == nullptr)
        return;
    std::vector<slice_index> owned;
    for (slice_index n = 0; n < service->slice_pools.size(); ++n)
        if (service->slice_pools[n] == m_pool.index && find_pending_slice(*service, n) == nullptr)
            owned.push_back(n);
    const bool has_lost_slices = std::ranges::find(service->pending, m_pool.index,
                                                   &pending_slice::from) != service->pending.end();
    const auto as_of = has_lost_slices ? std::optional(m_context.agent.state().next) : std::nullopt;
    m_dispatcher.configure(service->spec, pool->workers, owned, as_of, now);
    update_targets();
    flush(now);
}

asio::awaitable<answer> pool_runner::serve(request value)
{
    const auto self = shared_from_this();
    const auto now = boot_clock::now();
    if (m_abandoned || !m_context.agent.has_valid_lease(m_pool, now))
        co_return refusal(error_kind::not_holder);
    const auto id = ++m_request_count;
    const auto waiting = std::make_shared<waiting_request>();
    waiting->value = std::move(value);
    waiting->wake = std::make_shared<asio::steady_timer>(m_context.executor,
                                                         asio::steady_timer::time_point::max());
    m_waiting.emplace(id, waiting);
    m_dispatcher.submit(id, waiting->value, now);
    flush(now);
    if (!waiting->result)
    {
        boost::system::error_code ec;
        co_await waiting->wake->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_waiting.erase(id);
    co_return waiting->result ? std::move(*waiting->result) : refusal(error_kind::answer_lost);
}

void pool_runner::flush(instant now)
{
    auto outputs = m_dispatcher.take_outputs();
    for (const auto& delta : outputs.deltas)
        replicate(delta);
    for (const auto& command : outputs.starts)
        run(command);
    for (auto& command : outputs.answers)
        if (const auto it = m_waiting.find(command.id); it != m_waiting.end())
        {
            it->second->result = std::move(command.result);
            it->second->wake->cancel();
        }
    for (const auto& command : outputs.cancels)
        connection_to(command.server).cancel(command.id);
    for (const auto& command : outputs.grants)
        grant(command);
    for (const auto& command : outputs.probes)
        probe(command.server);
    for (const auto value : outputs.quarantined)
        m_context.on_quarantine(m_pool.service, value);
    for (const auto& text : outputs.events)
        m_context.audit(text);
    if (outputs.released)
        m_context.agent.release_slices(m_pool, *outputs.released, now);
    report_acknowledged(now);
}

void pool_runner::run(const start_command& command)
{
    const auto it = m_waiting.find(command.id);
    const auto value = it == m_waiting.end() ? nullptr : it->second;
    if (value == nullptr)
        return m_dispatcher.on_failure(command.id, run_failure::refused_before_run,
                                       boot_clock::now());
    connection_to(command.server);
    const auto connection = m_connections.at(command.server);
    asio::co_spawn(
        m_context.executor,
        [self = shared_from_this(), value, connection, command]() -> asio::awaitable<void>
        {
            // The lease is checked again right before the first byte is written.
            const auto may_write = [self]
            { return self->m_context.agent.has_valid_lease(self->m_pool, boot_clock::now()); };
            auto result = co_await connection->run(value->value, command, may_write);
            const auto now = boot_clock::now();
            if (auto* received = std::get_if<answer>(&result))
                self->m_dispatcher.on_answer(command.id, std::move(*received), now);
            else
                self->m_dispatcher.on_failure(command.id, std::get<run_failure>(result), now);
            self->flush(now);
        },
        asio::detached);
}

void pool_runner::grant(const grant_command& command)
{
    connection_to(command.server);
    const auto connection = m_connections.at(command.server);
    asio::co_spawn(
        m_context.executor,
        [self = shared_from_this(), connection, command]() -> asio::awaitable<void>
        {
            const auto sent = boot_clock::now();
            const bool acknowledged = co_await connection->grant(command);
            const auto now = boot_clock::now();
            self->m_dispatcher.on_grant(command, acknowledged, sent, now);
            self->flush(now);
        },
        asio::detached);
}

void pool_runner::probe(const std::string& server)
{
    connection_to(server);
    const auto connection = m_connections.at(server);
    asio::co_spawn(
        m_context.executor,
        [self = shared_from_this(), connection, server]() -> asio::awaitable<void>
        {
            const auto result = co_await connection->probe();
            const auto now = boot_clock::now();
            self->m_dispatcher.on_probe(server, result, now);
            self->flush(now);
        },
        asio::detached);
}

worker_http& pool_runner::connection_to(const std::string& server)
{
    const auto& spec = m_dispatcher.workers().at(server).spec;
    auto& connection = m_connections[server];
    auto& address = m_addresses[server];
    if (!connection || address != spec.address)
    {
        const auto* service = find_service(m_context.agent.state(), m_pool.service);
        const std::size_t max_connections = service != nullptr ? service->spec.connections : 1;
        connection = std::make_shared<worker_http>(m_context.executor, server, spec.address,
                                                   max_connections);
        address = spec.address;
    }
    return *connection;
}

void pool_runner::tick(instant now)
{
    if (m_abandoned)
        return;
    m_dispatcher.tick(m_context.agent.lease_expiry(m_pool), now);
    if (now >= m_next_balance)
        balance(now);
    flush(now);
}

void pool_runner::balance(instant now)
{
    m_next_balance = now + balance_interval;
    std::vector<slice_work> interval;
    for (auto& load : m_dispatcher.collect_loads())
        interval.push_back({load.slice, std::move(load.server), load.work_ms});
    const auto* service = find_service(m_context.agent.state(), m_pool.service);
    if (service == nullptr || !service->spec.keyed)
        return;
    const auto seconds = std::chrono::duration<double>(balance_interval).count();
    const auto loads = m_loads.update(std::move(interval), seconds);
    std::vector<server_capacity> servers;
    for (const auto& [id, worker] : m_dispatcher.workers())
        if (worker.condition == worker_condition::ready)
            servers.push_back({id, static_cast<double>(worker.spec.weight) * worker.slot_share});
    balance_parameters parameters;
    parameters.churn_weight = service->spec.churn_weight;
    parameters.unavailable_weight = service->spec.unavailable_weight;
    constexpr double minute = 60.0;
    parameters.max_moves =
        static_cast<std::size_t>(service->spec.moves_per_minute * seconds / minute);
    for (const auto& move : choose_moves(loads, servers, parameters))
        m_dispatcher.begin_move(move.slice, move.to, "balance", now);
}

void pool_runner::stop(instant now)
{
    m_dispatcher.stop(now);
    flush(now);
}

void pool_runner::abandon(instant now)
{
    m_abandoned = true;
    m_dispatcher.stop(now);
    flush(now);
    for (auto& [process, target] : m_targets)
        target->wake->cancel();
}

void pool_runner::close_idle_connections()
{
    for (auto& [server, connection] : m_connections)
        connection->close_idle();
}

} // namespace eelgrassrail
