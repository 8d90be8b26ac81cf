/// Decides when a process claims the coordinator role, i.e. the right to assign key ownership.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/dissemination/dissemination_times.hpp>

#include <cstddef>

namespace eelgrassrail
{

/// A process's information about the current coordinator.
struct coordinator_evidence
{
    bool is_on_record{};        ///< the log names a coordinator
    bool was_own_address{};     ///< it had this process's address, so the coordinator has ended
    instant last_push_at{};     ///< last push from it; without any, the start time of this process
    instant store_lost_since{}; ///< the coordinator has lost the log since then, this process has
                                ///< not; zero: no
    std::size_t rank{};         ///< of this process among the candidates; 0 claims first
};

/// Time without a push after which the coordinator is considered lost; covers a dozen pushes.
constexpr millis coordinator_timeout = push_interval * 40 / 3;

/// Time that a coordinator without access to the log gets to reach it again before another process
/// claims the role.
constexpr millis log_loss_timeout{300};

/// Delay between the claims of candidates of consecutive ranks, so that the second one learns of
/// the first claim before it makes its own.
constexpr millis claim_stagger{120};

/// @brief Whether the process should claim the role now. Of concurrent claims the log accepts one.
[[nodiscard]] bool should_claim(const coordinator_evidence& evidence, instant now) noexcept;

} // namespace eelgrassrail
