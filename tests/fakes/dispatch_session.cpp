/// Implementation of the dispatcher's test driver.
#include "dispatch_session.hpp"

#include <algorithm>
#include <numeric>

namespace eelgrassrail::fakes
{
namespace
{

constexpr instant start_time{std::chrono::seconds(1000)};

} // namespace

dispatch_session::dispatch_session(service_spec service, dispatcher_state start)
    : spec(std::move(service))
    , decisions(
          [&]
          {
              start.pool = {spec.name, "zone-a", 0};
              start.epoch = std::max<epoch_number>(start.epoch, 1);
              return std::move(start);
          }(),
          start_time)
    , now(start_time)
    , lease_expiry(start_time + std::chrono::hours(1))
    , owned(spec.slices)
{
    std::iota(owned.begin(), owned.end(), 0U);
    configure();
    advance(millis(10));
    lines.clear();
}

void dispatch_session::configure()
{
    std::vector<std::string> ids;
    for (const auto& worker : spec.workers)
        ids.push_back(worker.id);
    decisions.configure(spec, ids, owned, release_offset, now);
    drain();
}

void dispatch_session::record(const std::string& text)
{
    const auto ms = std::chrono::duration_cast<millis>(now - start_time).count();
    lines += std::to_string(ms) + " ms  " + text + "\n";
}

void dispatch_session::submit(request_number id, const std::string& request_class,
                              const std::string& key, const std::string& idempotency_key,
                              const std::string& body, std::uint32_t attempt,
                              std::uint32_t budget_ms)
{
    request value{spec.name, request_class, "bar",           key,     "POST",   "/" + key,
                  "",        body,          idempotency_key, attempt, budget_ms};
    record("request " + std::to_string(id) + " " + request_class + " " + key + " " +
           idempotency_key);
    decisions.submit(id, value, now);
    drain();
}

void dispatch_session::answer(request_number id)
{
    record("server answers " + std::to_string(id));
    eelgrassrail::answer whole;
    whole.status = 200;
    whole.body = "answer " + std::to_string(id);
    decisions.on_answer(id, std::move(whole), now);
    drain();
}

void dispatch_session::fail(request_number id, run_failure failure)
{
    record("run of " + std::to_string(id) + " fails");
    decisions.on_failure(id, failure, now);
    drain();
}

void dispatch_session::probe(const std::string& server, probe_result result)
{
    record("probe of " + server + (result == probe_result::alive ? " answers" : " fails"));
    decisions.on_probe(server, result, now);
    drain();
}

void dispatch_session::advance(millis length)
{
    const auto until = now + length;
    while (now < until)
    {
        now += std::min<boot_clock::duration>(millis(10), until - now);
        decisions.tick(lease_expiry, now);
        drain();
    }
}

void dispatch_session::drain()
{
    for (int round = 0; round < 10; ++round)
    {
        const auto orders = decisions.take_outputs();
        for (const auto& order : orders.starts)
        {
            record("  start " + std::to_string(order.id) + " at " + order.server);
            starts.push_back(order);
        }
        for (const auto& order : orders.answers)
            record("  answer " + std::to_string(order.id) + ": " +
                   std::string(name_of(describe(order.result.kind).result)) + ", " +
                   std::string(name_of(order.result.kind)) +
                   (order.result.replayed ? ", replayed" : ""));
        for (const auto& order : orders.cancels)
            record("  cancel " + std::to_string(order.id) + " at " + order.server);
        for (const auto& order : orders.probes)
            record("  probe " + order.server);
        for (const auto& text : orders.events)
            record("  audit: " + text);
        for (const auto value : orders.quarantined)
            record(value != 0 ? "  quarantine told" : "");
        if (orders.released)
            record("  lost slices released");
        for (const auto& order : orders.grants)
            if (acknowledges_grants)
                decisions.on_grant(order, true, now, now);
        if (!orders.deltas.empty())
            last_delta = orders.deltas.back().number;
        if (acknowledges_deltas && last_delta > 0)
            decisions.on_replicated(last_delta, now);
        const bool has_no_outputs = orders.starts.empty() && orders.answers.empty() &&
                                    orders.deltas.empty() && orders.grants.empty();
        if (has_no_outputs)
            return;
    }
}

} // namespace eelgrassrail::fakes
