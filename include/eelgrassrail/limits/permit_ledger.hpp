/// Permits for requests to workers with a rate limit, issued by the coordinator.
///
/// A rate limit applies to the requests of all router processes together. Demand differs between
/// processes, and with hundreds of them an equal share of a small limit is less than one request in
/// minutes. So there is one token bucket per worker, in the coordinator, and a process asks for a
/// permit before each request to a worker that is known to have a limit.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/limits/permit_decision.hpp>
#include <eelgrassrail/limits/rate_limit.hpp>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// Token buckets by worker id.
class permit_ledger
{
  public:
    /// @brief Discards all buckets and starts with empty ones for the given limits: the previous
    /// coordinator may have issued permits until now.
    void restart(std::span<const rate_limit> limits, instant now);

    /// @brief Sets the limit of a worker.
    /// @return whether it was unknown or different
    bool set(const rate_limit& limit, instant now);

    /// @brief Removes the limit of a worker.
    /// @return whether it had one
    bool remove(std::string_view worker);

    /// @brief Issues a permit for one request, if one is available. Always granted to a worker
    /// without a limit.
    /// @param is_urgent the request may use the tokens that are reserved for those of high priority
    permit_decision take(std::string_view worker, bool is_urgent, instant now);

    /// @brief Records requests that have ended at a worker. Those that exceed the issued permits
    /// came from processes that do not ask for permits, such as earlier versions of this program;
    /// they use up tokens too.
    void on_completed(std::string_view worker, std::size_t requests, instant now);

    /// @brief Whether requests without a permit have used more than the limit. Processes that do
    /// not ask for permits should then send nothing.
    /// @param in_flight requests at the worker, as reported by all processes
    [[nodiscard]] bool is_overdrawn(std::string_view worker, std::size_t in_flight, instant now);

    /// @brief The limit of a worker in requests per second; std::nullopt if it has none.
    [[nodiscard]] std::optional<double> find(std::string_view worker) const;

    /// @brief The limit of a worker, as long as requests to it have been permitted recently.
    /// Without requests there are no answers that would show that the limit is no longer in force.
    [[nodiscard]] std::optional<double> find_confirmed(std::string_view worker, instant now) const;

    /// @brief All limits, by worker id.
    [[nodiscard]] std::vector<rate_limit> limits() const;

  private:
    struct bucket
    {
        double per_s{};
        double tokens{}; ///< at `filled_at`; at most `capacity(per_s)`; negative after excess
        instant filled_at{};
        instant excess_counts_from{};  ///< requests sent before the limit was known have ended
        instant last_permit{};         ///< or when the limit was named
        instant queue_end{};           ///< until when the tokens are expected to be used up
        std::deque<instant> permitted; ///< requests with a permit that have not ended
    };

    bucket* fill(std::string_view worker, instant now);

    std::map<std::string, bucket, std::less<>> m_buckets; ///< by worker id
};

} // namespace eelgrassrail
