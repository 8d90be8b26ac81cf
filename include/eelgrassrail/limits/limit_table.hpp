/// The rate limits of workers that one router process knows: from the answers that it gets, and
/// from the coordinator, which collects what all processes observe.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/limits/permit_decision.hpp>
#include <eelgrassrail/limits/rate_limit.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// What an answer of a worker says about its rate limit.
struct limit_observation
{
    std::optional<double> per_s; ///< the limit that it names, if any
    bool is_run_answer{};        ///< the worker ran the request, so a missing limit means none
    instant sent_at{};           ///< when the request was sent
};

/// How an observation changed the known limit.
enum class limit_change : std::uint8_t
{
    none,
    named,
    withdrawn
};

/// The position of this process among all processes, for the share that it uses on its own.
struct process_position
{
    std::size_t rank{};         ///< below `processes`
    std::size_t processes{100}; ///< if they are unknown, a high estimate
};

/// Rate limits by worker id.
class limit_table
{
  public:
    /// @brief Applies what an answer says. A worker has withdrawn its limit if the answer to a
    /// request that was sent after the limit became known does not name one; answers to earlier
    /// requests may have been under way.
    limit_change observe(std::string_view worker, const limit_observation& seen, instant now);

    /// @brief Whether the coordinator is to be notified of the limit of a worker, because its last
    /// update differs from what this process has observed. At most once per `notice_interval`.
    [[nodiscard]] bool take_notice(std::string_view worker, instant now);

    /// @brief Applies the list of all limits that the coordinator knows. What this process has
    /// observed itself within the last second takes precedence.
    /// @param is_settled the coordinator has held its role for long enough to know all limits;
    /// otherwise limits that are not listed are kept
    /// @return limits that the coordinator does not know yet
    std::vector<rate_limit> apply(std::span<const rate_limit> limits, bool is_settled, instant now);

    /// @brief Sets a limit that this process has derived itself, until the coordinator announces
    /// another one.
    void presume(const rate_limit& limit, instant now);

    /// @brief The limit of a worker in requests per second; std::nullopt if it names none.
    [[nodiscard]] std::optional<double> find(std::string_view worker) const;

    /// @brief All limits, by worker id.
    [[nodiscard]] std::vector<rate_limit> limits() const;

    /// @brief Records that the coordinator denied a permit.
    void on_denied(std::string_view worker, const permit_decision& denial, instant now);

    /// @brief The remaining time of the last denial, or a granted decision if that has passed.
    [[nodiscard]] permit_decision last_denial(std::string_view worker, instant now) const;

    /// @brief Time in ms after which a caller that is refused during the last denial may return. It
    /// grows by the interval of the limit with each caller, so that they return one after the
    /// other.
    double queue_caller(std::string_view worker, instant now);

    /// @brief Decides without the coordinator. All processes together use a part of the limit, each
    /// in time slots of its own. Slots that are not used are lost: saved up in hundreds of
    /// processes, they would exceed the limit.
    permit_decision take_alone(std::string_view worker, const process_position& position,
                               instant now);

    static constexpr millis notice_interval{250};

  private:
    struct known_limit
    {
        std::optional<double> per_s;     ///< none: withdrawn
        std::optional<double> announced; ///< in the coordinator's last update
        instant known_since{};
        instant observed_at{};           ///< last answer to this process that names or lacks it
        instant next_notice{};           ///< to the coordinator
        instant denied_until{};          ///< no permit is available before
        instant retry_at{};              ///< when callers may return
        std::int64_t last_time_slot{-1}; ///< used by `take_alone`
    };

    std::map<std::string, known_limit, std::less<>> m_limits; ///< by worker id
};

} // namespace eelgrassrail
