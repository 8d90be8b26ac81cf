/// Event loop of the simulation of rate limits.
#include "limit_simulation.hpp"

#include "limit_window.hpp"
#include <eelgrassrail/limits/permit_times.hpp>

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

namespace eelgrassrail::test
{
namespace
{

/// Time zero of the simulation.
constexpr instant simulation_start{std::chrono::seconds(1000)};

constexpr const char* worker = "w1";
constexpr double us_in_s = 1e6;
constexpr double ms_in_s = 1e3;
constexpr double report_interval_s = 0.2;
constexpr double announce_interval_s = 0.6;
constexpr double push_interval_s = 0.075;
constexpr double max_relay_s = 0.06; ///< through all levels of a relay tree
constexpr double settled_after_s = 3.0;
constexpr double succession_s = 1.4; ///< from the loss of a coordinator to its successor

double seconds(millis time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

limit_simulation::limit_simulation(const limit_terms& terms)
    : m_terms(terms)
    , m_random(terms.seed)
    , m_processes(terms.processes)
{
}

void limit_simulation::at(double at_s, std::function<void()> run)
{
    m_events.push({at_s, m_next_event++, std::move(run)});
}

instant limit_simulation::now() const
{
    return simulation_start +
           std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(m_now_s));
}

double limit_simulation::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

/// One way between two processes, or between a process and the worker.
double limit_simulation::delay_s()
{
    constexpr double min_s = 0.0005;
    constexpr double spread_s = 0.004;
    return min_s + draw() * draw() * spread_s;
}

/// Whether a datagram between a process and the coordinator is lost.
bool limit_simulation::is_lost(std::size_t process)
{
    return !m_has_coordinator || m_terms.cut.applies(process, m_now_s) ||
           m_terms.cut.applies(m_coordinator, m_now_s) || draw() < m_terms.lost_datagrams;
}

bool limit_simulation::is_old(std::size_t process) const
{
    return process + m_terms.old_processes >= m_terms.processes;
}

/// The limit that the worker names now.
std::optional<double> limit_simulation::named() const
{
    if (m_now_s < m_terms.named_at_s || m_now_s >= m_terms.withdrawn_at_s)
        return std::nullopt;
    return m_now_s < m_terms.changed_at_s ? m_terms.per_s : m_terms.changed_per_s;
}

void limit_simulation::arrive(std::size_t process, bool is_repeat)
{
    const auto& table = m_processes[process].table;
    if (is_old(process) && m_processes[process].sees_full_worker)
        return;
    if (m_terms.policy == limit_policy::none || is_old(process) || !table.find(worker))
        end(process, is_repeat, {true, 0, 0}, m_now_s);
    else if (m_terms.policy == limit_policy::permits)
        decide(process, is_repeat);
    else
    {
        auto& from = m_processes[process];
        const double rate = *table.find(worker) / static_cast<double>(m_terms.processes);
        from.tokens = std::min(1.0, from.tokens + rate * (m_now_s - from.tokens_at_s));
        from.tokens_at_s = m_now_s;
        const bool is_granted = from.tokens >= 1.0;
        from.tokens -= is_granted ? 1.0 : 0.0;
        end(process, is_repeat, {is_granted, 0, ms_in_s / rate}, m_now_s);
    }
}

void limit_simulation::decide(std::size_t process, bool is_repeat)
{
    auto& from = m_processes[process];
    if (process == m_coordinator && m_has_coordinator)
    {
        end(process, is_repeat, m_ledger.take(worker, false, now()), m_now_s);
        return;
    }
    const auto denial = from.table.last_denial(worker, now());
    if (!denial.is_granted)
        end(process, is_repeat, denial, m_now_s);
    else if (m_now_s < from.alone_until_s)
        end(process, is_repeat, from.table.take_alone(worker, {process, m_terms.processes}, now()),
            m_now_s);
    else
        ask(process, is_repeat);
}

/// Asks the coordinator, twice if it does not answer.
void limit_simulation::ask(std::size_t process, bool is_repeat)
{
    const double since_s = m_now_s;
    auto is_done = std::make_shared<bool>(false);
    const auto once = [this, process, is_repeat, since_s, is_done]
    {
        if (*is_done || is_lost(process))
            return;
        at(m_now_s + delay_s(),
           [this, process, is_repeat, since_s, is_done]
           {
               ++m_asks;
               const auto decision = m_ledger.take(worker, false, now());
               if (is_lost(process))
                   return;
               at(m_now_s + delay_s(),
                  [this, process, is_repeat, since_s, is_done, decision]
                  {
                      if (std::exchange(*is_done, true))
                          return;
                      auto& table = m_processes[process].table;
                      if (!decision.is_granted)
                          table.on_denied(worker, decision, now());
                      end(process, is_repeat, decision, since_s);
                  });
           });
    };
    once();
    at(since_s + seconds(permit_resend_time), once);
    at(since_s + seconds(permit_timeout),
       [this, process, is_repeat, since_s, is_done]
       {
           if (std::exchange(*is_done, true))
               return;
           auto& from = m_processes[process];
           from.alone_until_s = m_now_s + seconds(permit_pause);
           end(process, is_repeat,
               from.table.take_alone(worker, {process, m_terms.processes}, now()), since_s);
       });
}

void limit_simulation::end(std::size_t process, bool is_repeat, const permit_decision& decision,
                           double since_s)
{
    m_result.max_decision_ms = std::max(m_result.max_decision_ms, (m_now_s - since_s) * ms_in_s);
    if (decision.is_granted)
    {
        send(process);
        return;
    }
    m_result.min_retry_after_ms = std::min(m_result.min_retry_after_ms, decision.retry_after_ms);
    if (!m_terms.repeats || is_repeat)
        return;
    constexpr double max_wait_s = 1.3; // callers wait for a third of their deadline at most
    const auto next =
        std::uniform_int_distribution<std::size_t>(0, m_terms.processes - 1)(m_random);
    at(m_now_s + std::min(max_wait_s, decision.retry_after_ms / ms_in_s),
       [this, next] { arrive(next, true); });
}

void limit_simulation::send(std::size_t process)
{
    const auto sent_at = now();
    ++m_processes[process].in_flight;
    at(m_now_s + delay_s(),
       [this, process, sent_at]
       {
           m_arrivals.push_back(static_cast<std::int64_t>(m_now_s * us_in_s));
           constexpr double informed_after_s = 0.5;
           if (m_processes[process].informed_at_s + informed_after_s <= m_now_s)
               m_informed_arrivals.push_back(m_arrivals.back());
           constexpr double min_run_s = 0.1;
           constexpr double run_spread_s = 0.2;
           at(m_now_s + min_run_s + draw() * run_spread_s,
              [this, process, sent_at]
              {
                  const limit_observation seen{named(), true, sent_at};
                  at(m_now_s + delay_s(),
                     [this, process, seen]
                     {
                         auto& from = m_processes[process];
                         ++from.completed;
                         from.in_flight -= std::min<std::size_t>(from.in_flight, 1);
                         if (seen.per_s)
                             from.informed_at_s = std::min(from.informed_at_s, m_now_s);
                         if (is_old(process))
                             return;
                         from.table.observe(worker, seen, now());
                         if (m_terms.policy == limit_policy::permits &&
                             from.table.take_notice(worker, now()))
                             notify(process, from.table.find(worker));
                     });
              });
       });
}

/// Notifies the coordinator of a limit, or of its withdrawal.
void limit_simulation::notify(std::size_t process, std::optional<double> per_s)
{
    if (process != m_coordinator && is_lost(process))
        return;
    at(m_now_s + delay_s(),
       [this, per_s]
       {
           if (!m_has_coordinator)
               return;
           const bool is_changed =
               per_s ? m_ledger.set({worker, *per_s}, now()) : m_ledger.remove(worker);
           if (is_changed)
               announce(false);
       });
}

/// Sends all limits to all processes.
void limit_simulation::announce(bool repeats)
{
    if (repeats)
        at(m_now_s + announce_interval_s, [this] { announce(true); });
    if (!m_has_coordinator)
        return;
    const auto limits = m_ledger.limits();
    const bool is_settled = m_now_s - m_coordinator_since_s > settled_after_s;
    for (std::size_t n = 0; n < m_processes.size(); ++n)
        if (!is_old(n) && (n == m_coordinator || !is_lost(n)))
            at(m_now_s + delay_s() + draw() * max_relay_s,
               [this, n, limits, is_settled]
               {
                   for (const auto& unknown : m_processes[n].table.apply(limits, is_settled, now()))
                       notify(n, unknown.per_s);
               });
}

/// Tells the old processes whether the worker is full.
void limit_simulation::push_load()
{
    at(m_now_s + push_interval_s, [this] { push_load(); });
    if (!m_has_coordinator)
        return;
    const bool is_full = m_ledger.is_overdrawn(
        worker,
        std::accumulate(m_processes.begin(), m_processes.end(), std::size_t{0},
                        [](std::size_t sum, const auto& it)
                        { return sum + it.reported_in_flight; }),
        now());
    for (std::size_t n = 0; n < m_processes.size(); ++n)
        if (is_old(n) && !is_lost(n))
            at(m_now_s + delay_s() + draw() * max_relay_s,
               [this, n, is_full] { m_processes[n].sees_full_worker = is_full; });
}

limit_result limit_simulation::play()
{
    std::exponential_distribution<double> gap(m_terms.demand);
    const auto busy = std::max<std::size_t>(1, m_terms.processes / 10);
    for (double t = gap(m_random); t < m_terms.length_s; t += gap(m_random))
    {
        const auto among = draw() < m_terms.busy_share ? busy : m_terms.processes;
        const auto process = std::uniform_int_distribution<std::size_t>(0, among - 1)(m_random);
        // The busy processes are spread over all.
        at(t, [this, process, stride = m_terms.processes / busy]
           { arrive(process * stride % m_terms.processes, false); });
    }
    for (std::size_t n = 0; n < m_terms.processes; ++n)
        for (double t = draw() * report_interval_s; t < m_terms.length_s; t += report_interval_s)
            at(t,
               [this, n]
               {
                   const auto completed = std::exchange(m_processes[n].completed, 0);
                   if (n != m_coordinator && is_lost(n))
                       return;
                   m_processes[n].reported_in_flight = m_processes[n].in_flight;
                   if (completed > 0)
                       m_ledger.on_completed(worker, completed, now());
               });
    if (m_terms.policy == limit_policy::permits)
        at(announce_interval_s, [this] { announce(true); });
    if (m_terms.old_processes > 0)
        at(push_interval_s, [this] { push_load(); });
    at(m_terms.coordinator_lost_at_s, [this] { m_has_coordinator = false; });
    at(m_terms.coordinator_lost_at_s + succession_s,
       [this]
       {
           m_has_coordinator = true;
           m_coordinator = 1;
           m_coordinator_since_s = m_now_s;
           m_ledger.restart(m_processes[1].table.limits(), now());
       });
    if (m_terms.restarted.from_s >= 0)
        at(m_terms.restarted.from_s,
           [this]
           {
               for (auto n = m_terms.restarted.first; n < m_terms.restarted.last; ++n)
                   m_processes[n] = {};
           });
    while (!m_events.empty() && m_events.top().at_s < m_terms.length_s)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now_s = next.at_s;
        next.run();
    }
    const auto from = static_cast<std::int64_t>(m_terms.named_at_s * us_in_s) + limit_contact_us;
    const auto until_s = std::min(m_terms.withdrawn_at_s, m_terms.length_s);
    const auto until = static_cast<std::int64_t>(until_s * us_in_s);
    const auto last = std::ranges::lower_bound(m_arrivals, until);
    const std::span limited(m_arrivals.begin(), last);
    m_result.most = max_in_window(limited, from);
    const std::span informed(m_informed_arrivals.begin(),
                             std::ranges::lower_bound(m_informed_arrivals, until));
    m_result.most_informed = max_in_window(informed, from);
    const auto in_force = limited.end() - std::ranges::lower_bound(limited, from);
    const double in_force_s = static_cast<double>(until - from) / us_in_s;
    m_result.used = static_cast<double>(in_force) / (m_terms.per_s * in_force_s);
    const auto full_from = until + static_cast<std::int64_t>(us_in_s);
    const auto full = m_arrivals.end() - std::ranges::lower_bound(m_arrivals, full_from);
    m_result.full = static_cast<double>(full) /
                    (m_terms.demand * std::max(0.001, m_terms.length_s - until_s - 1.0));
    m_result.asks_per_s = static_cast<double>(m_asks) / m_terms.length_s;
    return m_result;
}

} // namespace eelgrassrail::test
