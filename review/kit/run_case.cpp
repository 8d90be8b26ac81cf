/// Runs a scenario on an event loop, with a time limit.
#include "run_case.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <iostream>

namespace review
{

namespace asio = boost::asio;

int run_case(int argc, char** argv, const scenario& play)
{
    constexpr std::chrono::seconds time_limit{105};
    if (argc != 2)
        return static_cast<int>(verdict::not_run);
    try
    {
        asio::io_context context(1);
        deployment world(context, argv[1]);
        auto result = verdict::not_run;
        const auto stop = [&](const boost::system::error_code& ec, auto...)
        {
            if (!ec.failed())
                context.stop();
        };
        asio::steady_timer timer(context, time_limit);
        timer.async_wait(stop);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait(stop);
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            {
                try
                {
                    result = co_await play(world);
                }
                catch (const std::exception& e)
                {
                    world.events().add(std::string("could not run: ") + e.what());
                }
                context.stop();
            },
            asio::detached);
        context.run();
        world.events().add("exit status " + std::to_string(static_cast<int>(result)));
        return static_cast<int>(result);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return static_cast<int>(verdict::not_run);
    }
}

} // namespace review
