/// Virtual time and log lines of the ownership model, in place of the clock and the log.
///
/// The executable defines `boot_clock::now`, `unix_ms` and the log functions itself, so that those
/// of the library are not linked. It also makes Asio work without a timerfd, which would count in
/// real time.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/observe/log.hpp>

#include <functional>
#include <string>

namespace eelgrassrail::test
{

/// @brief The virtual time; only the loop of the model changes it.
[[nodiscard]] instant& model_now() noexcept;

/// @brief The receiver of log lines from `info` on; empty: they are dropped.
[[nodiscard]] std::function<void(log_part, const std::string&)>& model_log();

} // namespace eelgrassrail::test
