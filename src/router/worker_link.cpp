/// Request statistics of one worker.
#include <eelgrassrail/router/worker_link.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Weight of the newest request in the failure rate.
constexpr double newest_weight = 0.2;

/// Without requests the failure rate falls to 1/e in this time, so that the worker is tried again.
constexpr double failure_decay_s = 2.0;

/// Concurrent grants and releases to one worker. A release takes until running requests have ended.
constexpr std::size_t control_connections = 8;

/// Maximum size of an answer to a grant or release; a valid one is empty.
constexpr std::size_t max_control_answer_bytes = 16UL * 1024;

/// Idle time after which a connection is closed if the worker announces no keep-alive time.
constexpr millis default_keep_time{4'000};

constexpr std::size_t max_times = 64;
constexpr std::int64_t max_ms = 65'535;

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
    control.set_max_body(max_control_answer_bytes);
}

void worker_link::on_end(bool is_success, bool is_answer, bool is_timed, millis took, instant now)
{
    --m_in_flight;
    m_failure_rate = failure_rate(now) * (1 - newest_weight) + (is_success ? 0.0 : newest_weight);
    m_failure_rate_at = now;
    if (!is_success)
        ++m_report.failures;
    else if (is_answer)
        ++m_report.answers;
    if (is_timed && m_report.times_ms.size() < max_times)
        m_report.times_ms.push_back(
            static_cast<std::uint16_t>(std::clamp<std::int64_t>(took.count(), 1, max_ms)));
}

double worker_link::failure_rate(instant now) const noexcept
{
    const double idle = std::chrono::duration<double>(now - m_failure_rate_at).count();
    return m_failure_rate < 1e-3 ? 0.0 : m_failure_rate * std::exp(-idle / failure_decay_s);
}

bool worker_link::has_updates() const noexcept
{
    return m_in_flight > 0 || m_reported > 0 || m_report.failures > 0 || m_report.answers > 0;
}

worker_report worker_link::collect_report()
{
    auto report = std::exchange(m_report, {});
    report.id = m_id;
    report.in_flight = m_in_flight;
    m_reported = m_in_flight;
    return report;
}

} // namespace eelgrassrail
