/// A worker's answer to a grant arrives a second time, where the answer to the next call is due.
/// The next call is the release of keys on which the worker is still at work.
#include "small_deployment.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <random>
#include <span>

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::review;

namespace asio = boost::asio;

constexpr std::uint32_t keys = 65'536;
constexpr millis run_time{250};
constexpr millis hold_time{10'000}; ///< of each grant, by the settings
constexpr millis warm_up_limit{20'000};
constexpr millis load_time{4'000};  ///< before the first worker is added
constexpr millis round_time{6'000}; ///< after each worker that is added
constexpr int rounds = 4;
constexpr int callers = 24;
constexpr int first_workers = 4;
constexpr double faulty_share = 0.6; ///< of the workers

std::string range_text(std::uint32_t first, std::uint32_t last)
{
    return std::to_string(first) + "-" + std::to_string(last);
}

class repeated_answer_case
{
  public:
    repeated_answer_case(asio::io_context& context, const std::string& folder)
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
        co_await m_it.delay(load_time);
        for (int n = 0; n < rounds; ++n)
        {
            if (small_deployment::has_trouble())
                co_await repeat_grant_answers();
            add_worker(); // takes a part of the keys of the others
            co_await m_it.delay(round_time);
        }
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
        options.run_time = run_time;
        m_it.start_worker(m_it.add_worker(options));
    }

    /// A part of the workers repeat their answer to their next grant, each one answer. Returns once
    /// all of these answers were given.
    asio::awaitable<void> repeat_grant_answers()
    {
        const auto all = m_it.workers.size();
        const auto faulty = static_cast<std::size_t>(faulty_share * static_cast<double>(all));
        const std::span some(m_it.workers.begin(), faulty);
        for (const auto& worker : some)
        {
            worker->repeat_next_grant_answer();
            m_it.record("worker " + worker->options().id +
                        " repeats one answer to a grant; answers so far " +
                        std::to_string(worker->answers()));
        }
        const auto until = boot_clock::now() + millis(4'000);
        while (boot_clock::now() < until &&
               std::ranges::any_of(some, [](const auto& it) { return it->waits_for_grant(); }))
            co_await m_it.delay(millis(5));
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

    /// Rule OWNER: a worker is given a key on which another is still at work, before that one's
    /// hold would have run out.
    int judge()
    {
        std::size_t answers = 0;
        std::size_t repeated = 0;
        std::size_t releases = 0;
        for (const auto& worker : m_it.workers)
        {
            answers += worker->answers();
            repeated += worker->repeated();
            releases += worker->releases().size();
            for (const auto& item : worker->releases())
                m_it.record("release worker=" + worker->options().id +
                            " keys=" + range_text(item.first, item.last) +
                            " at=" + std::to_string(m_it.seconds(item.at)) + " answered=" +
                            (item.answered ? std::to_string(m_it.seconds(*item.answered)) : "-"));
            for (const auto& item : worker->grants())
                if (!item.is_renewal)
                    m_it.record("grant worker=" + worker->options().id +
                                " keys=" + range_text(item.first, item.last) +
                                " fence=" + std::to_string(item.fence) +
                                " at=" + std::to_string(m_it.seconds(item.at)));
            for (const auto& item : worker->runs())
                m_it.record("run worker=" + worker->options().id + " attempt=" + item.attempt +
                            " key=" + std::to_string(item.key) +
                            " began=" + std::to_string(m_it.seconds(item.began)) + " ended=" +
                            (item.ended ? std::to_string(m_it.seconds(*item.ended)) : "-"));
        }
        std::size_t broken = 0;
        for (const auto& target : m_it.workers)
            for (const auto& grant : target->grants())
                for (const auto& source : m_it.workers)
                    broken +=
                        source == target || grant.is_renewal ? 0 : count(*target, grant, *source);
        for (const auto& [status, n] : m_statuses)
            m_it.record("answers status=" + std::to_string(status) + " n=" + std::to_string(n));
        m_it.record("releases=" + std::to_string(releases) +
                    " worker_answers=" + std::to_string(answers) +
                    " repeated=" + std::to_string(repeated) + " broken=" + std::to_string(broken));
        return broken > 0 ? rule_broken : m_statuses[200] > 100 ? rule_held : could_not_run;
    }

    /// End of the hold of a key by the last grant of a worker before an instant.
    static instant hold_end(const scripted_worker& worker, std::uint32_t key, instant before)
    {
        instant result{};
        for (const auto& item : worker.grants())
            if (item.first <= key && key <= item.last && item.at <= before)
                result = std::max(result, item.at + hold_time);
        return result;
    }

    /// Runs of one worker that were at work on a key while another one was granted it.
    std::size_t count(const scripted_worker& target, const taken_grant& grant,
                      const scripted_worker& source)
    {
        std::size_t result = 0;
        for (const auto& run : source.runs())
        {
            const bool is_at_work = run.began < grant.at && (!run.ended || *run.ended > grant.at);
            if (!is_at_work || run.key < grant.first || run.key > grant.last ||
                hold_end(source, run.key, grant.at) <= grant.at)
                continue;
            ++result;
            m_it.record(
                "BROKEN key=" + std::to_string(run.key) + " granted to=" + target.options().id +
                " at=" + std::to_string(m_it.seconds(grant.at)) + " while " + source.options().id +
                " ran " + run.attempt + " from " + std::to_string(m_it.seconds(run.began)) +
                " to " + (run.ended ? std::to_string(m_it.seconds(*run.ended)) : "-") +
                ", its hold ends " +
                std::to_string(m_it.seconds(hold_end(source, run.key, grant.at))));
        }
        return result;
    }

    asio::io_context& m_context;
    small_deployment m_it;
    std::mt19937 m_random{1};
    std::uint64_t m_sent{};
    std::map<unsigned, std::size_t> m_statuses;
    bool m_is_over{};
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    return run_case(
        [&](asio::io_context& context) -> asio::awaitable<int>
        {
            repeated_answer_case it(context, folder);
            co_return co_await it.run();
        },
        millis(110'000));
}
