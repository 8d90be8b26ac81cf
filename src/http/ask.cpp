/// Runs one exchange on an event loop of its own.
#include <eelgrassrail/http/ask.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace eelgrassrail
{

http_exchange ask(const std::string& address, const http_call& call, millis timeout)
{
    boost::asio::io_context context(1);
    http_exchange result;
    http_client client(context.get_executor(), address, 1);
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void>
        { result = co_await client.exchange(call, boot_clock::now() + timeout); },
        boost::asio::detached);
    context.run();
    return result;
}

} // namespace eelgrassrail
