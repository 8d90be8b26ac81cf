/// Worker of the users' platform with faults that are set while it runs: it may repeat an answer,
/// or crash when it begins to run a certain request.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassrail::review
{

struct worker_options
{
    std::string id;
    std::string address; ///< IP:PORT
    std::string service;
    std::string zone;
    bool is_sharded{};
    unsigned slots{3};
    unsigned queue{12};
    millis run_time{200};
    std::size_t answer_bytes{20};
};

/// One run of a request.
struct worker_run
{
    std::string attempt;
    std::string target;
    std::uint32_t key{};
    instant began;
    std::optional<instant> ended; ///< none: it runs, or the worker crashed meanwhile
};

/// A grant that the worker has taken, with its time.
struct taken_grant
{
    std::uint32_t first{};
    std::uint32_t last{};
    std::uint64_t fence{};
    instant at;
    bool is_renewal{}; ///< it held all keys before
};

/// A release, with the times of its arrival and its answer.
struct seen_release
{
    std::uint32_t first{};
    std::uint32_t last{};
    std::uint64_t fence{};
    instant at;
    std::optional<instant> answered;
};

class scripted_worker
{
  public:
    scripted_worker(boost::asio::io_context& context, worker_options options);
    ~scripted_worker();
    scripted_worker(const scripted_worker&) = delete;
    scripted_worker& operator=(const scripted_worker&) = delete;

    /// @brief Starts a new incarnation; it holds no keys.
    void start(std::uint64_t born_ms);

    /// @brief Ends it as a crash does: all connections are closed, and new ones are refused.
    void crash();

    [[nodiscard]] bool is_running() const noexcept { return m_life != nullptr; }

    /// @brief Its entry in the store.
    [[nodiscard]] std::string entry(std::uint64_t seq) const;

    [[nodiscard]] const worker_options& options() const noexcept { return m_options; }
    [[nodiscard]] const std::vector<worker_run>& runs() const noexcept { return m_runs; }
    [[nodiscard]] const std::vector<taken_grant>& grants() const noexcept { return m_grants; }
    [[nodiscard]] const std::vector<seen_release>& releases() const noexcept { return m_releases; }

    /// @brief Number of answers so far, to calls of all kinds.
    [[nodiscard]] std::size_t answers() const noexcept { return m_answers; }

    /// @brief The answer to the next grant of its highest keys, which is the last one of a round of
    /// renewals, is sent twice: the second time where the next answer on the connection is due.
    void repeat_next_grant_answer() noexcept { m_repeats_next = true; }

    /// @brief Whether that grant has not come yet.
    [[nodiscard]] bool waits_for_grant() const noexcept { return m_repeats_next; }

    /// @brief Turns cold: runs take twice as long, and the entry and the answers to health checks
    /// name the time that is left. If more requests than `max_per_s` arrive within a second, the
    /// worker crashes.
    void turn_cold(millis time, double max_per_s);

    [[nodiscard]] bool is_cold() const { return boot_clock::now() < m_cold_until; }

    /// @brief Number of health checks.
    [[nodiscard]] std::size_t health_checks() const noexcept { return m_health_checks; }

    /// @brief When requests arrived, health checks and those answered 421 aside.
    [[nodiscard]] const std::vector<instant>& arrivals() const noexcept { return m_arrivals; }

    /// @brief Number of answers that were sent twice.
    [[nodiscard]] std::size_t repeated() const noexcept { return m_repeated; }

    /// @brief Called after a crash of its own.
    std::function<void()> on_crash;

  private:
    struct life;
    struct request;

    struct key_state
    {
        std::uint64_t fence{};
        instant until{};
    };

    boost::asio::awaitable<void> accept(std::shared_ptr<life> of);
    boost::asio::awaitable<void> serve(std::shared_ptr<life> of,
                                       std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    boost::asio::awaitable<std::string> answer(std::shared_ptr<life> of, const request& call);
    boost::asio::awaitable<std::string> run(std::shared_ptr<life> of, const request& call);
    boost::asio::awaitable<std::string> release(std::shared_ptr<life> of, const request& call);
    std::string grant(const request& call);
    boost::asio::awaitable<void> delay(millis time);
    [[nodiscard]] bool is_overrun() const;
    [[nodiscard]] millis remaining_cold() const;
    [[nodiscard]] bool has_keys_after(std::uint32_t key) const;

    boost::asio::io_context& m_context;
    worker_options m_options;
    std::shared_ptr<life> m_life; ///< null: it does not run
    std::uint64_t m_born_ms{};
    std::vector<key_state> m_keys;
    std::vector<worker_run> m_runs;
    std::vector<taken_grant> m_grants;
    std::vector<seen_release> m_releases;
    std::size_t m_answers{};
    std::size_t m_repeated{};
    bool m_repeats_next{};
    instant m_cold_until{};
    double m_max_cold_per_s{};
    std::size_t m_health_checks{};
    std::vector<instant> m_arrivals;
};

} // namespace eelgrassrail::review
