/// What the dispatcher knows of one backend server, from its own bookkeeping.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/requests/work_queue.hpp>
#include <eelgrassrail/tickets/service_spec.hpp>

#include <set>

namespace eelgrassrail
{

/// Length of one grant; a server whose grant is not renewed refuses requests after it.
constexpr millis grant_length{1000};

/// Whether a server gets work.
enum class worker_condition : std::uint8_t
{
    ready,
    suspect, ///< evidence of trouble; a probe is under way and no new work is sent
    lost,    ///< no process answers
    leaving  ///< drains, by its own answer, a ticket or the VM list
};

/// State of one server; owned by the dispatcher.
struct worker_view
{
    worker_spec spec;
    worker_condition condition{worker_condition::ready};
    work_queue queue;
    std::size_t running{};
    std::uint64_t last_bound{}; ///< when it was chosen last, counted in choices
    double share{1.0};          ///< 0 to 1: part of the slots that is used
    double mean_run_ms{5.0};    ///< moving average of the run time
    unsigned failures{};        ///< failed runs since the last success
    std::uint64_t incident{};   ///< counts the losses and suspicions of this server
    unsigned failed_probes{};
    bool probing{};
    instant next_probe{};
    instant not_before{};                 ///< no new work before this instant, after a refusal
    fencing_token granted;                ///< token of the last acknowledged grant
    bool grant_unknown{true};             ///< no grant of this epoch was acknowledged yet
    std::set<slice_index> granted_slices; ///< slices of the last acknowledged grant
    instant granted_until{};              ///< end of the longest grant that the server may hold
    instant acknowledged_until{}; ///< end of the last acknowledged grant, counted from its sending
    bool grant_due{true};         ///< the slices changed since the last grant was sent
    instant next_grant{};

    /// @brief Slots that may be used now.
    [[nodiscard]] std::size_t usable_slots(std::uint32_t slots) const noexcept
    {
        const auto usable = static_cast<std::size_t>(share * slots);
        return usable > 0 ? usable : 1;
    }

    /// @brief Expected wait of a new request of a priority, in ms.
    [[nodiscard]] double expected_wait_ms(std::uint32_t slots, std::uint32_t priority) const
    {
        const auto usable = usable_slots(slots);
        const auto ahead = queue.ahead_of(priority) + (running >= usable ? 1 : 0);
        return static_cast<double>(ahead) * mean_run_ms / static_cast<double>(usable);
    }

    /// @brief Whether the server may get new slices and new work.
    [[nodiscard]] bool takes_work() const noexcept
    {
        return condition == worker_condition::ready || condition == worker_condition::suspect;
    }
};

} // namespace eelgrassrail
