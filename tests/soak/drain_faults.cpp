/// Faults of the soak: workers that leave, or want no requests for some time, by their answers.
#include "soak_world.hpp"

#include <array>

namespace eelgrassrail::soak
{

namespace asio = boost::asio;

asio::awaitable<void> soak_world::call_worker(std::uint16_t port, std::string target)
{
    http_client client(m_context.get_executor(),
                       "127.0.0.1:" + std::to_string(static_cast<unsigned>(port)), 1);
    http_call call;
    call.method = "POST";
    call.target = std::move(target);
    co_await client.exchange(std::move(call), boot_clock::now() + millis(1'000));
}

/// One worker after the other says that it is leaving, while its entry says ready, ends and starts
/// again under its id.
asio::awaitable<void> soak_world::let_workers_leave()
{
    ++m_faults_running;
    while (m_drains)
    {
        co_await delay(millis(1'000 + random_below(2'000)));
        auto& leaving = m_workers[random_below(m_workers.size())];
        const millis length(3'000 + random_below(3'000));
        log_fault("leaving worker=" + leaving.id + " ms=" + std::to_string(length.count()));
        co_await call_worker(leaving.port, "/leaving?text=1");
        co_await delay(length);
        kill(leaving);
        co_await delay(millis(300));
        start(leaving);
    }
    --m_faults_running;
}

/// One worker after the other turns requests away and names a time, or something else.
asio::awaitable<void> soak_world::let_workers_turn_away()
{
    constexpr std::array texts{"0.7", "2", "3.5", "5", "0", "soon"};
    ++m_faults_running;
    while (m_drains)
    {
        const auto& full = m_workers[random_below(m_workers.size())];
        const std::string text = texts.at(random_below(texts.size()));
        const millis length(500 + random_below(1'500));
        log_fault("turn_away worker=" + full.id + " retry_after=" + text +
                  " ms=" + std::to_string(length.count()));
        co_await call_worker(full.port, "/turn_away?retry_after=" + percent_encode(text) +
                                            "&ms=" + std::to_string(length.count()));
        co_await delay(length + millis(random_below(3'000)));
    }
    --m_faults_running;
}

} // namespace eelgrassrail::soak
