/// Generates the requests of a load in one thread, with one coroutine per request.
#include "load.hpp"

#include <eelgrassrail/http/client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace eelgrassrail::harness
{
namespace
{

namespace asio = boost::asio;

class load_run
{
  public:
    load_run(const load_plan& plan, const std::set<std::string>* excluded, std::mutex* mutex)
        : m_plan(plan)
        , m_excluded(excluded)
        , m_mutex(mutex)
        , m_random(plan.seed)
        , m_context(1)
        , m_last_done(boot_clock::now())
    {
        for (const auto& address : plan.addresses)
            m_clients.push_back(
                std::make_unique<http_client>(m_context.get_executor(), address, plan.connections));
        std::vector<double> weights;
        for (const auto& item : plan.mix)
            weights.push_back(item.weight);
        m_choice = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    load_report run()
    {
        asio::co_spawn(m_context, generate(), asio::detached);
        m_context.run();
        return std::move(m_report);
    }

  private:
    asio::awaitable<void> generate()
    {
        const auto began = boot_clock::now();
        std::exponential_distribution<double> interarrival(m_plan.rate);
        auto next = std::chrono::duration<double>(0);
        asio::steady_timer timer(m_context);
        while (next < m_plan.length)
        {
            const auto due = began + std::chrono::duration_cast<boot_clock::duration>(next);
            if (const auto now = boot_clock::now(); now < due)
            {
                timer.expires_after(due - now);
                boost::system::error_code ec;
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            }
            asio::co_spawn(m_context, send(m_choice(m_random), due), asio::detached);
            next += std::chrono::duration<double>(interarrival(m_random));
        }
        m_report.seconds = std::chrono::duration<double>(boot_clock::now() - began).count();
    }

    static std::string name_of(const load_class& item)
    {
        return item.request_class.empty() ? item.service : item.service + "/" + item.request_class;
    }

    std::string choose_key()
    {
        std::uniform_real_distribution<double> share(0.0, 1.0);
        const bool is_hot = m_plan.hot_keys > 0 && share(m_random) < m_plan.hot_share;
        const auto count = is_hot ? m_plan.hot_keys : m_plan.keys;
        return (is_hot ? "hot-" : "bar-") + std::to_string(m_random() % count);
    }

    std::size_t choose_address()
    {
        for (std::size_t n = 0; n < m_clients.size(); ++n)
        {
            const auto index = m_turn++ % m_clients.size();
            if (m_excluded == nullptr)
                return index;
            const std::lock_guard lock(*m_mutex);
            if (!m_excluded->contains(m_plan.addresses[index]))
                return index;
        }
        return 0;
    }

    http_call make_call(const load_class& item)
    {
        const auto key = choose_key();
        const auto target =
            item.prefix.empty() ? "/" + key : item.prefix + "/" + item.service + "/" + key;
        http_call call{item.method, target, {}, {}};
        call.fields = {{"Tenant", "tenant-" + std::to_string(m_random() % 20)},
                       {"Deadline-Ms", std::to_string(item.deadline.count())}};
        if (item.prefix.empty())
            call.fields.push_back({"Key", key});
        if (!item.request_class.empty())
            call.fields.push_back({"Request-Class", item.request_class});
        if (item.method != "GET")
        {
            call.fields.push_back({"Idempotency-Key", "l" + std::to_string(m_plan.seed) + "-" +
                                                          std::to_string(++m_ids)});
            call.fields.push_back({"Request-Attempt", "1"});
            call.body = "order";
        }
        return call;
    }

    asio::awaitable<void> send(std::size_t index, instant due)
    {
        const auto& item = m_plan.mix[index];
        ++m_report.sent;
        ++m_report.sent_by_class[name_of(item)];
        const auto call = make_call(item);
        http_exchange result;
        const std::size_t max_attempts = m_plan.retry_refused ? m_clients.size() : 1;
        for (std::size_t n = 0; n < max_attempts; ++n)
        {
            auto attempt = call;
            result = co_await m_clients[choose_address()]->exchange(
                std::move(attempt), boot_clock::now() + item.deadline + millis(500));
            if (result.result != exchange_result::not_written)
                break;
        }
        count(item, result, boot_clock::now(), due);
    }

    void count(const load_class& item, const http_exchange& result, instant now, instant due)
    {
        if (result.result != exchange_result::complete)
        {
            ++m_report.outcomes[result.result == exchange_result::not_written ? "not-connected"
                                                                              : "no-answer"];
            return;
        }
        ++m_report.answered;
        const auto& fields = result.reply.fields;
        const bool is_direct = item.prefix.empty();
        const bool is_done =
            is_direct ? result.reply.status == 200 : find_field(fields, "Outcome") == "done";
        if (!is_done)
        {
            ++m_report.outcomes[std::string(find_field(fields, "Error-Kind").value_or("refused"))];
            return;
        }
        ++m_report.outcomes["done"];
        ++m_report.owners[std::string(find_field(fields, "Owner").value_or(""))];
        m_report.latencies[name_of(item)].add(now - due);
        m_report.all.add(now - due);
        if (now - due <= item.deadline)
            ++m_report.done[name_of(item)];
        const auto elapsed = std::chrono::duration_cast<millis>(now - m_last_done);
        m_report.max_time_between_done = std::max(m_report.max_time_between_done, elapsed);
        m_last_done = now;
    }

    const load_plan& m_plan;
    const std::set<std::string>* m_excluded;
    std::mutex* m_mutex;
    std::mt19937_64 m_random;
    asio::io_context m_context;
    std::vector<std::unique_ptr<http_client>> m_clients;
    std::discrete_distribution<std::size_t> m_choice;
    std::size_t m_turn{};
    std::uint64_t m_ids{};
    load_report m_report;
    instant m_last_done;
};

} // namespace

load_report run_load(const load_plan& plan, const std::set<std::string>* excluded,
                     std::mutex* mutex)
{
    return load_run(plan, excluded, mutex).run();
}

background_load::background_load(load_plan plan)
    : m_report(std::async(std::launch::async, [this, load = std::move(plan)]
                          { return run_load(load, &m_excluded, &m_mutex); }))
{
}

void background_load::exclude(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    m_excluded.insert(address);
}

void background_load::include(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    m_excluded.erase(address);
}

load_report background_load::finish()
{
    return m_report.get();
}

} // namespace eelgrassrail::harness
