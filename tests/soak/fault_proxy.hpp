/// Loopback TCP proxy that simulates network faults: delay, loss in one or both directions, resets.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <random>
#include <set>
#include <string>

namespace eelgrassrail::soak
{

/// Fault that applies to all connections.
enum class proxy_mode : std::uint8_t
{
    pass,    ///< no fault
    delay,   ///< each piece of data is delivered later
    silent,  ///< no data passes; connections stay open
    one_way, ///< requests pass, answers do not
    refuse   ///< open and new connections are reset
};

/// Fault of the worker's answers, beside the mode; only while data passes.
enum class answer_fault : std::uint8_t
{
    none,
    repeat, ///< a refusal is written (once more) after some requests, before their answers
    cut     ///< some answers stop at a random byte, and the connection ends
};

/// Forwards connections from one loopback port to another.
class fault_proxy
{
  public:
    fault_proxy(boost::asio::io_context& context, std::uint16_t from, std::uint16_t to);

    void set_mode(proxy_mode mode);

    void set_answer_fault(answer_fault fault) { m_answer_fault = fault; }

  private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(socket client);
    /// What passed on a connection.
    struct history
    {
        bool has_answers{};
        std::string refusal; ///< the last one
    };

    boost::asio::awaitable<void> forward(socket& from, socket& to, bool is_answer, history& seen);
    void repeat_refusal(socket& to, const history& seen);
    [[nodiscard]] bool cut_answer(socket& to, const char* bytes, std::size_t n);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_to;
    proxy_mode m_mode{proxy_mode::pass};
    answer_fault m_answer_fault{answer_fault::none};
    std::minstd_rand m_random{1};
    std::set<socket*> m_open; ///< both sockets of each connection
};

} // namespace eelgrassrail::soak
