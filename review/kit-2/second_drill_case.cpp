/// The coordinator's process is killed while the store comes back from a copy, and some seconds
/// later the store comes back from a copy again.
#include "small_deployment.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <random>

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;

namespace asio = boost::asio;

constexpr std::uint32_t keys = 65'536;
constexpr millis warm_up_limit{20'000};
constexpr millis hold_time{10'000}; ///< of each grant, by the settings
constexpr millis max_overlap{500};  ///< rule OWNER
constexpr millis move_time{3'000};  ///< in which a worker that was added gets keys
constexpr millis copy_age{4'000};   ///< of the first copy: before the worker was added
constexpr millis second_copy_age{1'000};
constexpr millis away{300};         ///< time for which the store is away
constexpr millis restart_time{500}; ///< of the process that is killed
constexpr millis between_drills{4'000};
constexpr millis watch_time{26'000};
constexpr int callers = 20;
constexpr int first_workers = 10;
constexpr int added_workers = 3;

/// A time in which a worker held a range of keys.
struct hold
{
    std::string worker;
    std::uint32_t first{};
    std::uint32_t last{};
    std::uint64_t fence{};
    instant from;
    instant until;
};

class second_drill_case
{
  public:
    second_drill_case(asio::io_context& context, const std::string& folder)
        : m_context(context)
        , m_it(context, folder)
    {
    }

    asio::awaitable<int> run()
    {
        m_it.configure(config_text(1, rule_text("lookup", true, "keys", "2500ms"),
                                   R"({"name":"keys","max_connections":130,"sharded":true,)"
                                   R"("warm":"1s"})"));
        for (int n = 0; n < first_workers; ++n)
            add_worker();
        m_it.start_routers(3);
        if (!co_await is_served())
            co_return could_not_run;
        for (int n = 0; n < callers; ++n)
            asio::co_spawn(m_context, call_again_and_again(), asio::detached);
        co_await m_it.delay(copy_age);
        for (int n = 0; n < added_workers; ++n)
            add_worker();
        co_await m_it.delay(move_time);
        if (small_deployment::has_trouble())
            co_await play_drills();
        co_await m_it.delay(watch_time);
        m_is_over = true;
        co_await m_it.delay(millis(3'000));
        co_return judge();
    }

  private:
    void add_worker()
    {
        worker_options options;
        options.id = "k" + std::to_string(m_it.workers.size() + 1);
        options.service = "keys";
        options.zone = "z" + std::to_string(m_it.workers.size() % 3 + 1);
        options.is_sharded = true;
        m_it.start_worker(m_it.add_worker(options));
    }

    asio::awaitable<void> play_drills()
    {
        auto* const coordinator = co_await find_coordinator();
        if (coordinator == nullptr)
            co_return;
        m_it.record("store comes back from a copy, age_ms=" + std::to_string(copy_age.count()) +
                    "; killed: " + coordinator->name);
        m_it.store->restore(copy_age, away);
        coordinator->process->kill();
        co_await m_it.delay(restart_time);
        m_it.start(*coordinator);
        co_await m_it.delay(between_drills);
        m_it.record("store comes back from a copy, age_ms=" +
                    std::to_string(second_copy_age.count()));
        m_it.store->restore(second_copy_age, away);
    }

    /// The process that last wrote to the store under a condition, by its metrics.
    asio::awaitable<router*> find_coordinator()
    {
        for (auto& item : m_it.routers)
        {
            http_client client(m_context.get_executor(), item.peer, 1);
            http_call request;
            request.method = "GET";
            request.target = "/metrics";
            const auto exchange =
                co_await client.exchange(std::move(request), boot_clock::now() + millis(1'000));
            if (exchange.reply.body.find("coordinates 1") != std::string::npos)
                co_return &item;
        }
        co_return nullptr;
    }

    asio::awaitable<call_result> call(std::uint32_t key)
    {
        const auto& at = m_it.routers[m_sent % m_it.routers.size()];
        const auto attempt = "a" + std::to_string(++m_sent);
        const auto result = co_await m_it.call(at, "GET", "/lookup/" + std::to_string(key), attempt,
                                               key, millis(4'000));
        ++m_statuses[result.status];
        m_it.record("sent " + attempt + " key=" + std::to_string(key) + " to=" + at.name +
                    " status=" + std::to_string(result.status));
        co_return result;
    }

    asio::awaitable<bool> is_served()
    {
        const auto until = boot_clock::now() + warm_up_limit;
        for (std::uint32_t key = 0; key < keys && boot_clock::now() < until;)
        {
            const auto result = co_await call(key);
            if (result.status == 200)
                key += 4'096;
            else
                co_await m_it.delay(millis(100));
        }
        co_return boot_clock::now() < until;
    }

    asio::awaitable<void> call_again_and_again()
    {
        while (!m_is_over)
        {
            const auto result =
                co_await call(std::uniform_int_distribution<std::uint32_t>(0, keys - 1)(m_random));
            co_await m_it.delay(millis(result.status == 200 ? 20 : 200));
        }
    }

    /// The times in which a worker held one key: each from a grant to its end, the next grant or
    /// a release.
    static std::vector<hold> holds_of(const scripted_worker& worker, std::uint32_t key)
    {
        std::vector<hold> result;
        for (const auto& item : worker.grants())
            if (item.first <= key && key <= item.last)
            {
                if (!result.empty())
                    result.back().until = std::min(result.back().until, item.at);
                result.push_back({worker.options().id, item.first, item.last, item.fence, item.at,
                                  item.at + hold_time});
            }
        for (const auto& item : worker.releases())
            for (auto& held : result)
                if (item.first <= key && key <= item.last && held.from <= item.at)
                    held.until = std::min(held.until, item.at);
        return result;
    }

    /// Rule OWNER: two workers that are up hold the same keys for over half a second.
    int judge()
    {
        for (const auto& worker : m_it.workers)
        {
            for (const auto& item : worker->grants())
                m_it.record("grant worker=" + worker->options().id +
                            " keys=" + std::to_string(item.first) + "-" +
                            std::to_string(item.last) + " fence=" + std::to_string(item.fence) +
                            " at=" + std::to_string(m_it.seconds(item.at)) +
                            (item.is_renewal ? " renewal" : ""));
            for (const auto& item : worker->releases())
                m_it.record("release worker=" + worker->options().id +
                            " keys=" + std::to_string(item.first) + "-" +
                            std::to_string(item.last) + " fence=" + std::to_string(item.fence) +
                            " at=" + std::to_string(m_it.seconds(item.at)));
        }
        std::size_t broken = 0;
        constexpr std::uint32_t step = 64;
        for (std::uint32_t key = 0; key < keys; key += step)
            for (const auto& one : m_it.workers)
                for (const auto& other : m_it.workers)
                    if (one->options().id < other->options().id)
                        broken += count(key, *one, *other);
        for (const auto& [status, n] : m_statuses)
            m_it.record("answers status=" + std::to_string(status) + " n=" + std::to_string(n));
        m_it.record("keys with two holders for over half a second=" + std::to_string(broken) +
                    " of " + std::to_string(keys / step) +
                    " keys that were looked at; longest_ms=" +
                    std::to_string(std::chrono::duration_cast<millis>(m_longest).count()));
        return broken > 0 ? rule_broken : m_statuses[200] > 100 ? rule_held : could_not_run;
    }

    std::size_t count(std::uint32_t key, const scripted_worker& one, const scripted_worker& other)
    {
        const auto others = holds_of(other, key);
        for (const auto& held : holds_of(one, key))
            for (const auto& also : others)
            {
                const auto from = std::max(held.from, also.from);
                const auto until = std::min(held.until, also.until);
                if (until <= from || until - from <= max_overlap)
                    continue;
                m_longest = std::max(m_longest, until - from);
                if (m_shown++ < max_shown)
                    m_it.record("BROKEN key=" + std::to_string(key) + " held by " + held.worker +
                                " (fence " + std::to_string(held.fence) + ") and " + also.worker +
                                " (fence " + std::to_string(also.fence) + ") from " +
                                std::to_string(m_it.seconds(from)) + " to " +
                                std::to_string(m_it.seconds(until)));
                return 1;
            }
        return 0;
    }

    static constexpr std::size_t max_shown = 20;

    asio::io_context& m_context;
    small_deployment m_it;
    std::mt19937 m_random{1};
    std::uint64_t m_sent{};
    std::map<unsigned, std::size_t> m_statuses;
    std::size_t m_shown{};
    boot_clock::duration m_longest{};
    bool m_is_over{};
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    return run_case(
        [&](asio::io_context& context) -> asio::awaitable<int>
        {
            second_drill_case it(context, folder);
            co_return co_await it.run();
        },
        millis(110'000));
}
