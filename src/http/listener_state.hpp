/// State that the connections of one HTTP listener share.
#pragma once

#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/http/receive_budget.hpp>
#include <eelgrassrail/http/request_ledger.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace eelgrassrail
{

class caller_connection;

/// Owned by the listener and its connections.
struct listener_state : std::enable_shared_from_this<listener_state>
{
    listener_state(const boost::asio::any_io_executor& executor,
                   const boost::asio::ip::tcp::endpoint& at, http_limits bounds,
                   http_handler handle, http_error_handler malformed);

    boost::asio::awaitable<void> accept_loop();

    /// @brief Ends a connection that waits, so that a new one is served: the one whose request has
    /// been incomplete for longest, or else the one that has been idle for longest.
    /// @return false if none has waited for long enough
    bool make_room(instant now);

    boost::asio::ip::tcp::acceptor acceptor;
    http_limits limits;
    http_handler handler;
    http_error_handler on_malformed;
    std::shared_ptr<receive_budget> budget; ///< none: request bodies are not limited in sum
    std::unique_ptr<request_ledger> requests;
    bool stopping{};
    std::size_t open{};                               ///< connections, those being closed included
    std::map<std::uint64_t, caller_connection*> idle; ///< waiting for a request, longest first
    std::uint64_t next_idle{1};
};

} // namespace eelgrassrail
