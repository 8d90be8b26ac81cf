/// Evidence about one worker.
#include <eelgrassrail/router/worker_link.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Weight of the newest request in the share of failures.
constexpr double newest_weight = 0.2;

/// Without requests the share of failures falls to 1/e in this time, so that a worker is tried
/// again.
constexpr double failing_memory_s = 2.0;

/// Grants and releases to one worker at a time; releases wait for work that runs.
constexpr std::size_t control_connections = 8;

/// Idle time after which a connection is closed where the worker does not say how long it keeps it.
constexpr millis default_keep_time{4'000};

constexpr std::size_t most_times = 64;
constexpr std::int64_t most_ms = 65'535;

} // namespace

worker_link::worker_link(const boost::asio::any_io_executor& executor, std::string id,
                         const std::string& address, std::size_t connections)
    : requests(executor, address, connections)
    , control(executor, address, control_connections)
    , m_id(std::move(id))
    , m_address(address)
{
    requests.set_keep_time(default_keep_time);
    control.set_keep_time(default_keep_time);
}

void worker_link::on_end(bool is_success, bool is_answer, bool is_timed, millis took, instant now)
{
    --m_in_flight;
    m_failing = failing(now) * (1 - newest_weight) + (is_success ? 0.0 : newest_weight);
    m_failing_at = now;
    if (!is_success)
        ++m_sight.failures;
    else if (is_answer)
        ++m_sight.answers;
    if (is_timed && m_sight.times_ms.size() < most_times)
        m_sight.times_ms.push_back(
            static_cast<std::uint16_t>(std::clamp<std::int64_t>(took.count(), 1, most_ms)));
}

double worker_link::failing(instant now) const noexcept
{
    const double idle = std::chrono::duration<double>(now - m_failing_at).count();
    return m_failing < 1e-3 ? 0.0 : m_failing * std::exp(-idle / failing_memory_s);
}

bool worker_link::has_news() const noexcept
{
    return m_in_flight > 0 || m_reported > 0 || m_sight.failures > 0 || m_sight.answers > 0;
}

worker_sight worker_link::take_sight()
{
    auto sight = std::exchange(m_sight, {});
    sight.id = m_id;
    sight.in_flight = m_in_flight;
    m_reported = m_in_flight;
    return sight;
}

} // namespace eelgrassrail
