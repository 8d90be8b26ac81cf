/// One coroutine for each caller.
#include "load.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace review
{

using namespace eelgrassrail;
namespace asio = boost::asio;

load::load(asio::io_context& context, deployment& world,
           std::function<question(std::size_t router)> next)
    : m_context(context)
    , m_world(world)
    , m_next(std::move(next))
{
}

void load::start(std::size_t callers, millis interval)
{
    m_is_running = true;
    for (std::size_t router = 0; router < m_world.routers(); ++router)
        for (std::size_t n = 0; n < callers; ++n)
            asio::co_spawn(m_context, caller(router, interval), asio::detached);
}

asio::awaitable<void> load::stop()
{
    m_is_running = false;
    while (m_callers > 0)
        co_await m_world.pause(millis(20));
}

asio::awaitable<void> load::caller(std::size_t router, millis interval)
{
    constexpr unsigned status_ok = 200;
    ++m_callers;
    while (m_is_running)
    {
        const auto status = co_await m_world.ask(m_next(router));
        m_served += status == status_ok ? 1 : 0;
        co_await m_world.pause(interval);
    }
    --m_callers;
}

} // namespace review
