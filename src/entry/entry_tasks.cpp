/// Tasks of an entry process: reading and appending, peers, callers, planned stop.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/entry/entry_process.hpp>
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

constexpr millis read_pause_after_failure{50};
constexpr millis shortest_read_pause{10};
constexpr millis state_timeout{2000};
constexpr millis stop_check{20};

} // namespace

http_reply health_reply(bool is_good)
{
    constexpr unsigned unavailable = 503;
    return is_good ? http_reply{200, {}, "ok\n"} : http_reply{unavailable, {}, "not ready\n"};
}

asio::awaitable<void> entry_process::read_loop()
{
    for (;;)
    {
        const auto due = boot_clock::now() + m_settings.poll;
        const bool succeeded = co_await read_once();
        const auto left = std::chrono::duration_cast<millis>(due - boot_clock::now());
        co_await sleep(succeeded ? std::max(left, shortest_read_pause) : read_pause_after_failure);
    }
}

asio::awaitable<bool> entry_process::read_once()
{
    const auto sent = boot_clock::now();
    const auto from = m_agent.state().next;
    const auto page = co_await m_gateway->read(from);
    const auto now = boot_clock::now();
    if (!page)
    {
        m_metrics.count("log_read_failures");
        if (m_agent.state().next == 0)
            co_await install_state_from_peer();
        co_return false;
    }
    m_last_read = now;
    if (m_vms_version != m_gateway->vms_version())
    {
        m_vms_version = m_gateway->vms_version();
        m_agent.on_vm_list(m_gateway->vms(), now);
    }
    update_leaving_servers(now);
    if (!m_agent.on_log_page(*page, sent, now))
        co_await recover(page->start);
    flush_agent();
    update_runners(boot_clock::now());
    co_return true;
}

/// Records before the page are gone: takes the state from a snapshot in the log or from a peer.
asio::awaitable<void> entry_process::recover(log_offset start)
{
    m_metrics.count("log_gaps");
    const auto before = m_agent.state().next;
    if (co_await install_snapshot_from_log(start) || co_await install_state_from_peer())
    {
        audit("Took over the state up to offset " + std::to_string(m_agent.state().next) +
              " instead of reading on from " + std::to_string(before) + ".");
        co_return;
    }
    log_warning(log_part::platform, "No snapshot joins up with the log and no peer has a state.");
}

asio::awaitable<bool> entry_process::install_snapshot_from_log(log_offset start)
{
    std::optional<snapshot> newest;
    for (auto from = start;;)
    {
        const auto page = co_await m_gateway->read(from);
        if (!page || page->records.empty())
            break;
        for (const auto& text : page->records)
        {
            try
            {
                auto record = decode_record(text);
                auto* found = std::get_if<snapshot>(&record.body);
                // A snapshot with a gap behind it does not join up with the retained records.
                if (found != nullptr && found->as_of >= start &&
                    (!newest || found->as_of > newest->as_of))
                    newest = std::move(*found);
            }
            catch (const ticket_error&)
            {
                m_metrics.count("unreadable_records");
            }
        }
        from = page->first + page->records.size();
        if (from >= page->head)
            break;
    }
    if (!newest || newest->as_of <= m_agent.state().next)
        co_return false;
    try
    {
        m_agent.install(read_snapshot(*newest), boot_clock::now());
        co_return true;
    }
    catch (const ticket_error& e)
    {
        log_warning(log_part::platform, std::string("A snapshot is not usable: ") + e.what());
        co_return false;
    }
}

asio::awaitable<bool> entry_process::install_state_from_peer()
{
    const state_call question{m_agent.state().next};
    const auto places = m_gateway->places();
    for (const auto& place : places)
    {
        auto outcome = co_await m_peers.call(place.address, question, state_timeout);
        const auto* reply = outcome.body ? std::get_if<state_answer>(&*outcome.body) : nullptr;
        if (reply == nullptr || reply->as_of <= m_agent.state().next)
            continue;
        try
        {
            const snapshot whole{reply->as_of, reply->state, reply->hash};
            m_agent.install(read_snapshot(whole), boot_clock::now());
            log_info(log_part::peers, "Took the state from " + place.address + ".");
            co_return true;
        }
        catch (const ticket_error& e)
        {
            log_warning(log_part::peers, std::string("A peer's state is not usable: ") + e.what());
        }
    }
    co_return false;
}

asio::awaitable<void> entry_process::append_loop()
{
    for (;;)
    {
        if (m_append_queue.empty())
        {
            m_append_wake.expires_at(asio::steady_timer::time_point::max());
            boost::system::error_code ec;
            co_await m_append_wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        // One record after the other: the order of a process's records is kept.
        const auto order = m_append_queue.front();
        const auto result = co_await m_gateway->append(order.text);
        m_append_queue.pop_front();
        m_metrics.count(result == append_result::landed ? "appends" : "failed_appends");
        m_agent.on_append_result(order.id, result, boot_clock::now());
    }
}

asio::awaitable<append_result> entry_process::append(std::string text)
{
    return m_gateway->append(std::move(text));
}

asio::awaitable<http_reply> entry_process::serve_caller(http_call call)
{
    const auto path = path_of(call.target);
    if (path == "/healthz")
        co_return health_reply(is_healthy());
    if (path == "/readyz")
        co_return health_reply(is_ready());
    co_return co_await m_front.serve(std::move(call));
}

asio::awaitable<answer> entry_process::run_here(const pool_id& pool, request value)
{
    const auto it = m_runners.find(pool);
    if (it == m_runners.end())
        co_return refusal(error_kind::not_holder);
    const auto runner = it->second;
    co_return co_await runner->serve(std::move(value));
}

asio::awaitable<std::optional<peer_body>> entry_process::serve_peer(peer_body body)
{
    if (auto* forward = std::get_if<forward_call>(&body))
    {
        forward_answer reply;
        reply.value = co_await serve_forward(std::move(forward->value));
        co_return reply;
    }
    if (const auto* read = std::get_if<log_read_call>(&body))
        co_return co_await m_gateway->read_for_peer(*read);
    if (auto* append_call = std::get_if<log_append_call>(&body))
        co_return co_await m_gateway->append_for_peer(std::move(append_call->text));
    co_return answer_peer(body);
}

asio::awaitable<answer> entry_process::serve_forward(request value)
{
    const auto* service = find_service(m_agent.state(), value.service);
    const auto* pool = service == nullptr ? nullptr
                                          : find_pool_of(m_agent.state(), *service,
                                                         slice_of(value.key, service->spec.slices));
    if (pool == nullptr)
        co_return refusal(error_kind::not_holder);
    const auto id = pool->id;
    const auto deadline = boot_clock::now() + millis(value.budget_ms);
    // A holder that still waits out its predecessor keeps the request instead of refusing it.
    while (m_agent.held().contains(id) && !m_runners.contains(id) && boot_clock::now() < deadline)
        co_await m_front.wait_for_route(deadline);
    const auto left = std::chrono::duration_cast<millis>(deadline - boot_clock::now());
    value.budget_ms = static_cast<std::uint32_t>(std::max(left, millis(0)).count());
    co_return co_await run_here(id, std::move(value));
}

/// Calls that are answered at once.
std::optional<peer_body> entry_process::answer_peer(const peer_body& body)
{
    if (const auto* wanted = std::get_if<state_call>(&body))
    {
        if (m_agent.state().next <= wanted->newer_than)
            return state_answer{};
        auto whole = make_snapshot(m_agent.state());
        return state_answer{whole.as_of, std::move(whole.state), whole.hash};
    }
    if (const auto* delta = std::get_if<delta_call>(&body))
    {
        // A holder whose epoch has ended gets no acknowledgement.
        const auto* pool = find_pool(m_agent.state(), delta->value.pool);
        const bool is_current = pool == nullptr || pool->epoch <= delta->value.epoch;
        return delta_answer{is_current && m_copies.apply(delta->value, boot_clock::now())};
    }
    if (std::holds_alternative<status_call>(body))
        return own_status();
    if (const auto* wanted = std::get_if<owner_call>(&body))
        return own_owner(wanted->service, wanted->key);
    if (const auto* notice = std::get_if<quarantine_notice>(&body))
        for (const auto& [id, runner] : m_runners)
            if (id.service == notice->service)
                runner->decisions().add_quarantine(notice->fingerprint, boot_clock::now());
    return std::nullopt;
}

status_answer entry_process::own_status() const
{
    return {m_settings.vm, m_settings.zone, m_agent.state().in_force, m_agent.state().next};
}

owner_answer entry_process::own_owner(const std::string& service, const std::string& key)
{
    owner_answer result;
    const auto* found = find_service(m_agent.state(), service);
    if (found == nullptr)
        return result;
    const auto slice = slice_of(key, found->spec.slices);
    const auto* pool = find_pool_of(m_agent.state(), *found, slice);
    const auto it = pool == nullptr ? m_runners.end() : m_runners.find(pool->id);
    if (it == m_runners.end())
        return result;
    result.server = it->second->decisions().owner_of(slice).value_or("");
    const auto name = "slice " + std::to_string(slice) + " of " + to_text(pool->id) + " ";
    for (const auto& line : m_audit)
        if (line.text.find(name) != std::string::npos)
            result.events.push_back(line.when + " " + line.text);
    return result;
}

void entry_process::begin_stop()
{
    if (std::exchange(m_stopping, true))
        return;
    log_info(log_part::entry, "Begins a planned stop.");
    asio::co_spawn(m_context, stop_loop(), asio::detached);
}

asio::awaitable<void> entry_process::stop_loop()
{
    const auto until = boot_clock::now() + m_settings.stop_deadline;
    m_agent.stop_taking_roles();
    co_await sleep(m_settings.drain_delay);
    co_await hand_over_all(until);
    m_callers->stop();
    while (m_front.in_flight() > 0 && boot_clock::now() < until)
        co_await sleep(stop_check);
    while (m_callers->connections() > 0 && boot_clock::now() < until)
        co_await sleep(stop_check);
    m_operators->stop();
    m_peers.stop();
    log_info(log_part::entry, "Stopped.");
    m_context.stop();
}

asio::awaitable<void> entry_process::hand_over_all(instant until)
{
    while (!m_agent.held().empty() && boot_clock::now() < until)
    {
        for (const auto& [id, runner] : m_runners)
        {
            const auto held = m_agent.held().find(id);
            const auto* pool = find_pool(m_agent.state(), id);
            const bool can_hand_over = held != m_agent.held().end() && pool != nullptr &&
                                       pool->active && !pool->standbys.empty();
            if (!can_hand_over || held->second.handing_over)
                continue;
            runner->stop(boot_clock::now());
            if (runner->is_drained())
                m_agent.hand_over(id, boot_clock::now());
        }
        flush_agent();
        co_await sleep(stop_check);
    }
}

} // namespace eelgrassrail
