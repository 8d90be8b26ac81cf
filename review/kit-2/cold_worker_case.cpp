/// While the store is down, a worker turns cold. Only its answers to health checks say so.
#include "small_deployment.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;

namespace asio = boost::asio;

constexpr double cold_per_s = 6.2;
constexpr double cold_overage = 1.5;
constexpr double cold_slack = 8.0;
constexpr double max_per_s = cold_per_s * cold_overage + cold_slack; ///< rule FAILBACK
constexpr millis cold_time{3'000};
constexpr millis learning_time{1'800}; ///< two heartbeats, for which nothing is judged
constexpr millis outage{8'000};        ///< of the store
constexpr int outages = 3;
constexpr millis warm_up_limit{20'000};
constexpr millis pause{8'000}; ///< between two outages
constexpr int worker_count = 4;
constexpr int callers = 40;

class cold_worker_case
{
  public:
    cold_worker_case(asio::io_context& context, const std::string& folder)
        : m_context(context)
        , m_it(context, folder,
               {{"bounds.cold_overage", std::to_string(cold_overage)},
                {"bounds.cold_slack", std::to_string(cold_slack)}})
    {
    }

    asio::awaitable<int> run()
    {
        m_it.configure(config_text(1, rule_text("order", false, "orders", "2500ms"),
                                   R"({"name":"orders","max_connections":130,"cold_per_s":6.2,)"
                                   R"("health_path":"/health"})"));
        for (int n = 0; n < worker_count; ++n)
        {
            worker_options options;
            options.id = "w" + std::to_string(n + 1);
            options.service = "orders";
            options.zone = "z" + std::to_string(n % 3 + 1);
            options.slots = 6;
            options.run_time = millis(100); // the mean of 160 ms at a fast worker
            auto& worker = m_it.add_worker(options);
            worker.on_crash = [this, &worker]
            { m_it.record("worker crashed id=" + worker.options().id); };
            m_it.start_worker(worker);
        }
        m_it.start_routers(3);
        if (!co_await is_served())
            co_return could_not_run;
        for (int n = 0; n < callers; ++n)
            asio::co_spawn(m_context, call_again_and_again(), asio::detached);
        co_await m_it.delay(pause);
        for (int n = 0; n < outages; ++n)
        {
            constexpr int unavailable = 503;
            if (small_deployment::has_trouble())
                m_it.store->faults.reject_status = unavailable;
            m_it.record("store down, if there is trouble");
            co_await m_it.delay(millis(1'000));
            turn_cold(*m_it.workers[static_cast<std::size_t>(n)]);
            co_await m_it.delay(outage - millis(1'000));
            m_it.store->faults.reject_status = 0;
            m_it.record("store answers");
            co_await m_it.delay(pause);
        }
        m_is_over = true;
        co_await m_it.delay(millis(3'000));
        co_return judge();
    }

  private:
    void turn_cold(scripted_worker& worker)
    {
        worker.turn_cold(cold_time, 0);
        m_cold.push_back({&worker, boot_clock::now()});
        m_it.record("worker " + worker.options().id + " turns cold");
    }

    asio::awaitable<call_result> call()
    {
        const auto& at = m_it.routers[m_sent % m_it.routers.size()];
        const auto attempt = "a" + std::to_string(++m_sent);
        const auto result = co_await m_it.call(at, "POST", "/order/" + std::to_string(m_sent),
                                               attempt, std::nullopt, millis(4'000));
        ++m_statuses[result.status];
        m_it.record("sent " + attempt + " to=" + at.name +
                    " status=" + std::to_string(result.status));
        co_return result;
    }

    asio::awaitable<bool> is_served()
    {
        const auto until = boot_clock::now() + warm_up_limit;
        for (std::size_t served = 0; boot_clock::now() < until;)
        {
            served += (co_await call()).status == 200 ? 1 : 0;
            if (served > 3 * m_it.routers.size())
                co_return true;
            co_await m_it.delay(millis(50));
        }
        co_return false;
    }

    asio::awaitable<void> call_again_and_again()
    {
        while (!m_is_over)
        {
            const auto result = co_await call();
            co_await m_it.delay(millis(result.status == 200 ? 5 : 200));
        }
    }

    /// Rule FAILBACK: a cold worker gets more requests in a second than the bound.
    int judge()
    {
        std::size_t broken = 0;
        std::size_t checks = 0;
        for (const auto& worker : m_it.workers)
            checks += worker->health_checks();
        for (const auto& [worker, at] : m_cold)
        {
            std::size_t most = 0;
            const auto& arrivals = worker->arrivals();
            for (const auto from : arrivals)
            {
                const auto until = from + millis(1'000);
                if (from < at + learning_time || until > at + cold_time)
                    continue;
                const auto n = std::ranges::count_if(arrivals, [&](instant it)
                                                     { return from <= it && it < until; });
                most = std::max(most, static_cast<std::size_t>(n));
            }
            m_it.record("worker " + worker->options().id + " cold from " +
                        std::to_string(m_it.seconds(at)) + ": most requests in a second=" +
                        std::to_string(most) + " bound=" + std::to_string(max_per_s));
            broken += static_cast<double>(most) > max_per_s ? 1 : 0;
        }
        for (const auto& [status, n] : m_statuses)
            m_it.record("answers status=" + std::to_string(status) + " n=" + std::to_string(n));
        m_it.record("health checks=" + std::to_string(checks) +
                    " workers over the bound=" + std::to_string(broken));
        return broken > 0 ? rule_broken : m_statuses[200] > 100 ? rule_held : could_not_run;
    }

    asio::io_context& m_context;
    small_deployment m_it;
    std::uint64_t m_sent{};
    std::map<unsigned, std::size_t> m_statuses;
    std::vector<std::pair<const scripted_worker*, instant>> m_cold; ///< with the begin
    bool m_is_over{};
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    return run_case(
        [&](asio::io_context& context) -> asio::awaitable<int>
        {
            cold_worker_case it(context, folder);
            co_return co_await it.run();
        },
        millis(110'000));
}
