/// When a process claims the duty to coordinate ownership.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/dissemination/news_times.hpp>

#include <cstddef>

namespace eelgrassrail
{

/// What a process knows about the coordinator.
struct coordinator_evidence
{
    bool is_on_record{};        ///< some process is on record
    bool was_own_address{};     ///< the one on record had this process's address, so it has ended
    instant last_heard{};       ///< of the one on record; the own start if nothing was heard
    instant successor_wanted{}; ///< it can not reach the log since then, and this process can
    std::size_t rank{};         ///< of this process among those that may claim
};

/// Silence after which the coordinator is taken for lost. A dozen pushes fit in.
constexpr millis coordinator_silence = push_interval * 40 / 3;

/// Time that the coordinator has to reach the log again before another process succeeds it.
constexpr millis log_loss{300};

/// Between two processes that would claim, so that the second one hears of the first.
constexpr millis claim_stagger{120};

/// @brief Whether the process claims now. Claims race in the log, where one of them wins.
[[nodiscard]] bool should_claim(const coordinator_evidence& evidence, instant now) noexcept;

} // namespace eelgrassrail
