/// Callers whose requests are complete only late in the planned stop of a router.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// One such request and its result.
struct late_request
{
    std::string attempt;
    std::size_t router{};
    std::int64_t stopped_us{}; ///< SIGTERM of the router. Boot clock
    std::int64_t sent_us{};    ///< when the last byte was sent; 0: it was not
    unsigned status{};         ///< 0: no complete answer
};

/// One run of it, from the worker's log.
struct late_run
{
    std::string attempt;
    std::int64_t began_us{};
    std::int64_t ended_us{}; ///< 0: the worker process ended during the run
};

/// @brief Sends the first half of a request to 127.0.0.1:PORT at once and the rest at a time, and
/// reads the answer.
boost::asio::awaitable<late_request> send_late(boost::asio::io_context& context, std::uint16_t port,
                                               std::string bytes, instant rest_at);

/// @brief Checks that no request that was run was cut by the end of its router, except one that was
/// sent in the first 3 s and was at its worker in the last sixth of the grace.
/// @return the violations, one per line
[[nodiscard]] std::vector<std::string>
check_late_requests(const std::vector<late_request>& requests, const std::vector<late_run>& runs,
                    millis grace);

} // namespace eelgrassrail::soak
