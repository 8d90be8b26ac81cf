/// Exchange of permits with the coordinator, with one repetition and a timeout.
#include <eelgrassrail/limits/permit_times.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/permit_client.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;

permit_client::permit_client(asio::any_io_executor executor, router_state& state)
    : m_executor(std::move(executor))
    , m_state(state)
{
}

void permit_client::start(channels to)
{
    m_channels = std::move(to);
}

permit_request permit_client::make_request(const std::string& worker) const
{
    permit_request request;
    request.sender = m_state.self.address;
    request.worker = worker;
    const auto limit = m_state.limits.find(worker);
    request.is_limited = limit.has_value();
    request.per_s = limit.value_or(0.0);
    return request;
}

process_position permit_client::position() const
{
    const auto own =
        std::ranges::find(m_state.members, m_state.self.address, &cluster_member::address);
    if (m_state.members.empty())
        return {};
    const auto rank = static_cast<std::size_t>(own - m_state.members.begin());
    return {rank, std::max(rank + 1, m_state.members.size())};
}

asio::awaitable<permit_decision> permit_client::acquire(std::string worker, bool is_urgent,
                                                        instant until)
{
    permit_decision decision;
    decision.is_granted = true;
    if (!m_state.rate_limit_of(worker))
        co_return decision;
    auto request = make_request(worker);
    request.wants_permit = true;
    request.is_urgent = is_urgent;
    auto reply = m_channels.decide_here(request);
    const auto now = boot_clock::now();
    if (!reply)
    {
        decision = m_state.last_denial(worker, now);
        if (!decision.is_granted)
            co_return decision;
        if (now >= m_alone_until && !m_state.coordinator.address.empty())
            reply = co_await ask(std::move(request), until);
    }
    if (reply)
    {
        decision.is_granted = reply->is_granted;
        decision.next_ms = reply->next_ms;
        decision.retry_after_ms = reply->retry_after_ms;
    }
    else
    {
        decision = take_alone(worker);
        m_state.counters.count(decision.is_granted ? "permits_taken_alone"
                                                   : "permits_denied_alone");
    }
    m_state.counters.count(decision.is_granted ? "permits_granted" : "permits_denied");
    if (!decision.is_granted)
    {
        m_state.limits.on_denied(worker, decision, boot_clock::now());
        m_state.paces.on_denied(worker, decision, boot_clock::now());
        log_debug(log_part::dispatch,
                  "permit denied worker=" + worker + " next_ms=" +
                      std::to_string(static_cast<int>(decision.next_ms)) + " retry_after_ms=" +
                      std::to_string(static_cast<int>(decision.retry_after_ms)) + " by=" +
                      (reply ? std::string("coordinator")
                             : "share processes=" + std::to_string(position().processes)));
    }
    co_return decision;
}

/// Both the rate limit and the pace of the worker have to allow the request.
permit_decision permit_client::take_alone(const std::string& worker)
{
    const auto now = boot_clock::now();
    const auto paced = m_state.paces.take_alone(worker, position(), now);
    return paced.is_granted ? m_state.limits.take_alone(worker, position(), now) : paced;
}

/// @return nothing if the coordinator does not answer
asio::awaitable<std::optional<permit_reply>> permit_client::ask(permit_request request,
                                                                instant until)
{
    const auto started_at = boot_clock::now();
    const auto last = std::min(until, started_at + permit_timeout);
    request.id = m_next_id++;
    asio::steady_timer timer(m_executor);
    auto& pending = m_pending[request.id];
    pending.timer = &timer;
    for (auto next = started_at; !pending.reply && next < last;)
    {
        m_channels.send(m_state.coordinator.address, request);
        request.is_repeat = true;
        const auto now = boot_clock::now();
        next = next == started_at ? std::min(last, started_at + permit_resend_time) : last;
        boost::system::error_code ec;
        timer.expires_after(std::max(boot_clock::duration::zero(), next - now));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    auto reply = pending.reply;
    m_pending.erase(request.id);
    if (!reply && boot_clock::now() >= started_at + permit_timeout)
    {
        if (boot_clock::now() >= m_alone_until)
            log_info(log_part::dispatch,
                     "coordinator issues no permits coordinator=" + m_state.coordinator.address +
                         " worker=" + request.worker);
        m_alone_until = boot_clock::now() + permit_pause;
        m_state.counters.count("permit_timeouts");
    }
    co_return reply;
}

void permit_client::handle_reply(const permit_reply& reply)
{
    const auto it = m_pending.find(reply.id);
    if (it == m_pending.end())
        return; // answered before, or timed out
    it->second.reply = reply;
    it->second.timer->cancel();
}

void permit_client::notify(const std::string& worker)
{
    if (m_state.limits.take_notice(worker, boot_clock::now()))
        send_notice(worker);
}

void permit_client::send_notice(const std::string& worker)
{
    auto notice = make_request(worker);
    notice.is_notice = true;
    if (!m_channels.decide_here(notice) && !m_state.coordinator.address.empty())
        m_channels.send(m_state.coordinator.address, notice);
}

void permit_client::handle_update(const pace_update& update)
{
    if (update.sender == m_state.coordinator)
        m_state.paces.apply(update.paces, update.is_settled, boot_clock::now());
}

void permit_client::handle_update(const limit_update& update)
{
    if (!(update.sender == m_state.coordinator))
        return;
    for (const auto& unknown :
         m_state.limits.apply(update.limits, update.is_settled, boot_clock::now()))
        send_notice(unknown.worker);
}

} // namespace eelgrassrail
