/// Faults of the soak: workers that leave, or want no requests for some time, by their answers.
#include "soak_config.hpp"
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

/// Another writer puts entries among those of the workers.
asio::awaitable<void> soak_world::write_foreign_entries()
{
    const auto describe = [](const worker& item)
    {
        return named_worker{item.id, soak_ip + (":" + std::to_string(item.port + 1)),
                            item.is_sharded ? "keys" : "plain"};
    };
    ++m_faults_running;
    for (std::size_t n = 0; m_drains; ++n)
    {
        co_await delay(m_foreign_writer.next_pause());
        const auto& victim = m_workers[n % m_workers.size()];
        const auto& other = m_workers[(n / 2 + 1) % m_workers.size()];
        log_fault(co_await m_foreign_writer.write(describe(victim), describe(other)));
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
