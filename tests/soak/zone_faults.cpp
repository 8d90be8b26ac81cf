/// Faults of the soak: workers that turn cold while they run, and zones that are evacuated.
#include "log_record_bytes.hpp"
#include "soak_world.hpp"

namespace eelgrassrail::soak
{

namespace asio = boost::asio;

/// One worker after the other turns cold, with some of them at a time.
asio::awaitable<void> soak_world::let_workers_turn_cold()
{
    ++m_faults_running;
    while (m_drains)
    {
        const auto& cold = m_workers[random_below(m_workers.size())];
        const millis length(1'000 + random_below(3'000));
        log_fault("cold worker=" + cold.id + " ms=" + std::to_string(length.count()));
        co_await call_worker(cold.port, "/cold?ms=" + std::to_string(length.count()));
        co_await delay(millis(500 + random_below(3'000)));
    }
    --m_faults_running;
}

/// The operator evacuates one of the two zones for some seconds. The record that ends an evacuation
/// is written repeatedly, as the store may not answer.
asio::awaitable<void> soak_world::evacuate_zones()
{
    constexpr int end_records = 5;
    constexpr const char* target = "/api/log-append?topic=keyed.op&part=0";
    ++m_faults_running;
    while (m_drains)
    {
        co_await delay(millis(3'000 + random_below(3'000)));
        const std::string zone = random_below(2) == 0 ? "z1" : "z2";
        const millis length(1'000 + random_below(5'000));
        log_fault("evacuate zone=" + zone + " ms=" + std::to_string(length.count()));
        co_await m_store_control.post(target, test::log_record_bytes("evacuate/" + zone, "{}"));
        co_await delay(length);
        for (int n = 0; n < end_records; ++n)
        {
            co_await m_store_control.post(target, test::log_record_bytes("evacuate/" + zone, ""));
            co_await delay(millis(500));
        }
    }
    --m_faults_running;
}

} // namespace eelgrassrail::soak
