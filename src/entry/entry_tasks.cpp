/// Tasks of an entry process: log reads and appends, recovery, peers, callers, planned stop.
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

constexpr millis read_retry_backoff{50};
constexpr millis min_read_interval{10};
constexpr millis state_call_timeout{2000};
constexpr millis stop_check_interval{20};

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
        const auto due = boot_clock::now() + m_settings.poll_interval;
        const bool succeeded = co_await read_once();
        const auto remaining = std::chrono::duration_cast<millis>(due - boot_clock::now());
        co_await sleep(succeeded ? std::max(remaining, min_read_interval) : read_retry_backoff);
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

/// Installs the state of a snapshot in the log or of a peer, because records that were not read
/// yet are no longer retained.
/// @param start oldest retained offset
asio::awaitable<void> entry_process::recover(log_offset start)
{
    m_metrics.count("log_gaps");
    const auto old_next = m_agent.state().next;
    if (co_await install_snapshot_from_log(start) || co_await install_state_from_peer())
    {
        audit("Installed the state up to offset " + std::to_string(m_agent.state().next) +
              " because records from offset " + std::to_string(old_next) + " on are missing.");
        co_return;
    }
    log_warning(
        log_part::platform,
        "Records are missing, the log has no usable snapshot and no peer sent a newer state.");
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
                // Records between an older snapshot and the oldest retained one would be missing.
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
        log_warning(log_part::platform, std::string("Invalid snapshot in the log: ") + e.what());
        co_return false;
    }
}

asio::awaitable<bool> entry_process::install_state_from_peer()
{
    const state_call message{m_agent.state().next};
    const auto endpoints = m_gateway->endpoints();
    for (const auto& endpoint : endpoints)
    {
        auto outcome = co_await m_peers.call(endpoint.address, message, state_call_timeout);
        const auto* reply = outcome.body ? std::get_if<state_answer>(&*outcome.body) : nullptr;
        if (reply == nullptr || reply->as_of <= m_agent.state().next)
            continue;
        try
        {
            const snapshot whole{reply->as_of, reply->state, reply->hash};
            m_agent.install(read_snapshot(whole), boot_clock::now());
            log_info(log_part::peers, "Installed the state of peer " + endpoint.address + ".");
            co_return true;
        }
        catch (const ticket_error& e)
        {
            log_warning(log_part::peers, std::string("Invalid state from a peer: ") + e.what());
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
        // Records are appended one at a time to keep the order of a process's records.
        const auto request = m_append_queue.front();
        const auto result = co_await m_gateway->append(request.text);
        m_append_queue.pop_front();
        m_metrics.count(result == append_result::acknowledged ? "appends" : "failed_appends");
        m_agent.on_append_result(request.id, result, boot_clock::now());
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
    co_return co_await m_frontend.serve(std::move(call));
}

asio::awaitable<answer> entry_process::run_locally(const pool_id& pool, request value)
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
    const auto* pool = service == nullptr
                           ? nullptr
                           : find_owning_pool(m_agent.state(), *service,
                                              slice_of(value.key, service->spec.slices));
    if (pool == nullptr)
        co_return refusal(error_kind::not_holder);
    const auto id = pool->id;
    const auto deadline = boot_clock::now() + millis(value.budget_ms);
    // A new holder waits until its predecessor's lease has expired; the request waits with it.
    while (m_agent.held().contains(id) && !m_runners.contains(id) && boot_clock::now() < deadline)
        co_await m_frontend.wait_for_route(deadline);
    const auto remaining = std::chrono::duration_cast<millis>(deadline - boot_clock::now());
    value.budget_ms = static_cast<std::uint32_t>(std::max(remaining, millis(0)).count());
    co_return co_await run_locally(id, std::move(value));
}

/// Answers the calls and notices that need no asynchronous work.
std::optional<peer_body> entry_process::answer_peer(const peer_body& body)
{
    if (const auto* query = std::get_if<state_call>(&body))
    {
        if (m_agent.state().next <= query->newer_than)
            return state_answer{};
        auto whole = make_snapshot(m_agent.state());
        return state_answer{whole.as_of, std::move(whole.state), whole.hash};
    }
    if (const auto* delta = std::get_if<delta_call>(&body))
    {
        // A holder of an ended epoch must not get an acknowledgement.
        const auto* pool = find_pool(m_agent.state(), delta->value.pool);
        const bool is_current = pool == nullptr || pool->epoch <= delta->value.epoch;
        return delta_answer{is_current && m_copies.apply(delta->value, boot_clock::now())};
    }
    if (std::holds_alternative<status_call>(body))
        return local_status();
    if (const auto* query = std::get_if<owner_call>(&body))
        return local_owner(query->service, query->key);
    if (const auto* notice = std::get_if<quarantine_notice>(&body))
        for (const auto& [id, runner] : m_runners)
            if (id.service == notice->service)
                runner->request_dispatcher().add_quarantine(notice->fingerprint, boot_clock::now());
    return std::nullopt;
}

status_answer entry_process::local_status() const
{
    return {m_settings.vm, m_settings.zone, m_agent.state().in_force, m_agent.state().next};
}

owner_answer entry_process::local_owner(const std::string& service, const std::string& key)
{
    owner_answer result;
    const auto* found = find_service(m_agent.state(), service);
    if (found == nullptr)
        return result;
    const auto slice = slice_of(key, found->spec.slices);
    const auto* pool = find_owning_pool(m_agent.state(), *found, slice);
    const auto it = pool == nullptr ? m_runners.end() : m_runners.find(pool->id);
    if (it == m_runners.end())
        return result;
    result.server = it->second->request_dispatcher().owner_of(slice).value_or("");
    const auto slice_name = "slice " + std::to_string(slice) + " of " + to_text(pool->id) + " ";
    for (const auto& line : m_audit)
        if (line.text.find(slice_name) != std::string::npos)
            result.events.push_back(line.when + " " + line.text);
    return result;
}

void entry_process::begin_stop()
{
    if (std::exchange(m_stopping, true))
        return;
    log_info(log_part::entry, "Planned stop begins.");
    asio::co_spawn(m_context, stop_loop(), asio::detached);
}

asio::awaitable<void> entry_process::stop_loop()
{
    const auto deadline = boot_clock::now() + m_settings.stop_timeout;
    m_agent.stop_accepting_roles();
    co_await sleep(m_settings.drain_delay);
    co_await hand_over_all(deadline);
    m_caller_listener->stop();
    while (m_frontend.in_flight() > 0 && boot_clock::now() < deadline)
        co_await sleep(stop_check_interval);
    while (m_caller_listener->connections() > 0 && boot_clock::now() < deadline)
        co_await sleep(stop_check_interval);
    m_operator_listener->stop();
    m_peers.stop();
    log_info(log_part::entry, "Stopped.");
    m_context.stop();
}

asio::awaitable<void> entry_process::hand_over_all(instant deadline)
{
    while (!m_agent.held().empty() && boot_clock::now() < deadline)
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
        co_await sleep(stop_check_interval);
    }
}

} // namespace eelgrassrail
