/// The rate limits of workers that one router process knows.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/limits/rate_limit.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

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

/// Rate limits by worker id.
class limit_table
{
  public:
    /// @brief Applies what an answer says. A worker has withdrawn its limit if the answer to a
    /// request that was sent after the limit became known does not name one; answers to earlier
    /// requests may have been under way.
    limit_change observe(std::string_view worker, const limit_observation& seen, instant now);

    /// @brief The limit of a worker in requests per second; std::nullopt if it names none.
    [[nodiscard]] std::optional<double> find(std::string_view worker) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_limits.size(); }

  private:
    struct known_limit
    {
        double per_s{};
        instant known_since{};
    };

    std::map<std::string, known_limit, std::less<>> m_limits; ///< by worker id
};

} // namespace eelgrassrail
