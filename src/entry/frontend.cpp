/// Routing and retries of callers' requests; `read_request.cpp` has parsing and replies.
#include <eelgrassrail/entry/frontend.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrassrail
{

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace
{

constexpr millis max_route_wait{200};
constexpr millis answer_grace{50}; ///< a holder's answer may arrive this long after the deadline
constexpr std::size_t max_waiting_requests = 2000;
constexpr std::uint32_t first_retry_attempt = 2;

/// Whether the request did not run and a later attempt, perhaps at another holder, may succeed.
bool is_retryable(error_kind kind)
{
    return kind == error_kind::not_holder || kind == error_kind::no_owner ||
           kind == error_kind::peer_unreachable || kind == error_kind::no_server;
}

millis time_left(instant deadline)
{
    return std::chrono::duration_cast<millis>(deadline - boot_clock::now());
}

} // namespace

frontend::frontend(const asio::any_io_executor& executor, ownership_agent& agent,
                   peer_network& peers, metrics& counters, local_runner run_locally)
    : m_executor(executor)
    , m_agent(agent)
    , m_peers(peers)
    , m_metrics(counters)
    , m_run_locally(std::move(run_locally))
    , m_route_changed(executor, asio::steady_timer::time_point::max())
{
}

void frontend::on_route_change()
{
    m_route_changed.cancel();
}

asio::awaitable<http_reply> frontend::serve(http_call call)
{
    const auto start = boot_clock::now();
    auto parsed = read_request(call, m_agent.state());
    if (const auto* refused = std::get_if<answer>(&parsed))
    {
        const request_label no_label;
        m_metrics.on_answer(no_label, refused->kind, boot_clock::now() - start);
        co_return to_reply(*refused);
    }
    auto value = std::get<request>(std::move(parsed));
    const request_label label{value.tenant, value.service, value.request_class};
    const auto deadline = start + millis(value.budget_ms);
    ++m_in_flight;
    const auto result = co_await route(std::move(value), deadline);
    --m_in_flight;
    m_metrics.on_answer(label, result.kind, boot_clock::now() - start);
    co_return to_reply(result);
}

asio::awaitable<answer> frontend::route(request value, instant deadline)
{
    const bool is_idempotent = value.idempotency_key.empty();
    bool was_lost = false;
    for (;;)
    {
        const auto remaining = time_left(deadline);
        if (remaining <= millis(0))
            co_return refusal(was_lost ? error_kind::answer_lost : error_kind::deadline_passed);
        value.budget_ms = static_cast<std::uint32_t>(remaining.count());
        auto result = co_await try_once(value, remaining);
        if (result.kind == error_kind::answer_lost)
        {
            // A retry is safe: the holder or its successor recognizes the Idempotency-Key.
            was_lost = was_lost || !is_idempotent;
            value.attempt = std::max(value.attempt, first_retry_attempt);
        }
        // After a lost answer the outcome is unknown and must not be reported as not run.
        if (was_lost && describe(result.kind).result == outcome::not_run)
            result = refusal(error_kind::answer_lost);
        const bool is_final = !is_retryable(result.kind) && result.kind != error_kind::answer_lost;
        if (is_final || m_waiting_count >= max_waiting_requests)
            co_return result;
        co_await wait_for_route(deadline);
        if (time_left(deadline) <= millis(0))
            co_return result;
    }
}

asio::awaitable<answer> frontend::try_once(const request& value, millis remaining)
{
    const auto& state = m_agent.state();
    const auto* service = find_service(state, value.service);
    if (service == nullptr)
        co_return refusal(error_kind::unknown_service);
    const auto* pool = find_owning_pool(state, *service, slice_of(value.key, service->spec.slices));
    if (pool == nullptr || !pool->holder)
        co_return refusal(error_kind::no_owner);
    const auto id = pool->id;
    if (*pool->holder == m_agent.self())
        co_return co_await m_run_locally(id, value);
    const forward_call message{value};
    auto outcome = co_await m_peers.call(pool->holder->address, message, remaining + answer_grace);
    m_agent.on_holder_contact(id, outcome.result == call_result::answered, boot_clock::now());
    if (outcome.result == call_result::not_sent)
        co_return refusal(error_kind::peer_unreachable);
    auto* reply = outcome.body ? std::get_if<forward_answer>(&*outcome.body) : nullptr;
    if (reply == nullptr)
        co_return refusal(error_kind::answer_lost);
    co_return std::move(reply->value);
}

asio::awaitable<void> frontend::wait_for_route(instant deadline)
{
    ++m_waiting_count;
    m_metrics.count("route_waits");
    asio::steady_timer fallback(m_executor, std::min(time_left(deadline), max_route_wait));
    boost::system::error_code changed;
    boost::system::error_code expired;
    co_await (m_route_changed.async_wait(asio::redirect_error(asio::use_awaitable, changed)) ||
              fallback.async_wait(asio::redirect_error(asio::use_awaitable, expired)));
    --m_waiting_count;
}

} // namespace eelgrassrail
