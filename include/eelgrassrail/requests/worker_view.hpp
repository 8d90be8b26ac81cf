/// State that the dispatcher keeps for each backend server.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/requests/work_queue.hpp>
#include <eelgrassrail/tickets/service_spec.hpp>

#include <set>

namespace eelgrassrail
{

/// Validity of a grant; a server refuses requests once its last grant has expired.
constexpr millis grant_duration{1000};

/// Condition of a server, which decides whether it gets work.
enum class worker_condition : std::uint8_t
{
    ready,
    suspect, ///< a request or grant failed: no new work until a probe succeeds
    lost,    ///< probes failed: no process answers
    leaving  ///< draining, by its own answer, a ticket or the VM list
};

/// State of one server.
struct worker_view
{
    worker_spec spec;
    worker_condition condition{worker_condition::ready};
    work_queue queue;
    std::size_t running{};
    std::uint64_t last_assigned{};   ///< sequence number of its last assignment to an idle slice
    double slot_share{1.0};          ///< 0 to 1: fraction of the slots in use, reduced by refusals
    double mean_run_ms{5.0};         ///< exponential moving average of the run time
    unsigned consecutive_timeouts{}; ///< runs that timed out since the last answer
    std::uint64_t incident{}; ///< identifies the current period between losses and recoveries
    unsigned failed_probes{};
    bool probing{};
    instant next_probe{};
    instant not_before{};                 ///< no new work before then: backoff after a refusal
    fencing_token granted;                ///< token of the last acknowledged grant
    bool grant_unknown{true};             ///< no grant of this epoch has been acknowledged
    std::set<slice_index> granted_slices; ///< slices in the last acknowledged grant
    instant granted_until{};              ///< latest end of any grant that the server may hold
    instant acknowledged_until{}; ///< end of the last acknowledged grant, from its send time
    bool grant_due{true};         ///< a grant must be sent at the next tick
    instant next_grant{};

    /// @brief Number of slots that may be used now, at least 1.
    [[nodiscard]] std::size_t usable_slots(std::uint32_t slots) const noexcept
    {
        const auto usable = static_cast<std::size_t>(slot_share * slots);
        return usable > 0 ? usable : 1;
    }

    /// @brief Estimated queueing time of a new request with this priority, in ms.
    [[nodiscard]] double expected_wait_ms(std::uint32_t slots, std::uint32_t priority) const
    {
        const auto usable = usable_slots(slots);
        const auto ahead = queue.ahead_of(priority) + (running >= usable ? 1 : 0);
        return static_cast<double>(ahead) * mean_run_ms / static_cast<double>(usable);
    }

    /// @brief Whether the server may own slices; it gets new requests only while it is ready.
    [[nodiscard]] bool accepts_work() const noexcept
    {
        return condition == worker_condition::ready || condition == worker_condition::suspect;
    }
};

} // namespace eelgrassrail
