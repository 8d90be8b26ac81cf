/// Proxy between one router and the store, which can be cut.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace review
{

/// Forwards connections. While it is cut, no byte and no close passes, and nothing is reset; what
/// was sent meanwhile arrives after the cut, as TCP repeats it.
class store_link
{
  public:
    store_link(boost::asio::io_context& context, const std::string& from, const std::string& to);

    /// @brief Cuts the path at the next read of the workers' topic that follows a read of the
    /// routes' topic by less than a time, so that the read meets the cut as a whole.
    void cut_at_read(eelgrassrail::millis after_routes);
    void heal() { m_is_cut = false; }
    [[nodiscard]] bool is_cut() const { return m_is_cut; }

  private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(socket client);
    boost::asio::awaitable<void> forward(socket& from, socket& to, bool is_request);
    boost::asio::awaitable<void> wait_for_path();
    void observe(std::string_view request);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_to;
    bool m_is_cut{};
    bool m_is_armed{}; ///< a cut is to begin
    eelgrassrail::millis m_after_routes{};
    eelgrassrail::instant m_routes_read{}; ///< last read of the routes' topic
};

} // namespace review
