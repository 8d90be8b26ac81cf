/// Implements the wait with one timer per waiting task; `notify` cancels them.
#include <eelgrassrail/router/change_signal.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace eelgrassrail
{

boost::asio::awaitable<void> change_signal::wait(boot_clock::duration timeout)
{
    boot_timer timer(m_executor, timeout);
    m_waiting.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    m_waiting.erase(&timer);
}

void change_signal::notify()
{
    for (auto* timer : m_waiting)
        timer->cancel();
}

} // namespace eelgrassrail
