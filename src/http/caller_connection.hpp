/// One connection of a caller: reads requests, has them served and writes the responses in order.
#pragma once

#include "listener_state.hpp"
#include <eelgrassrail/http/block_body.hpp>
#include <eelgrassrail/http/caller_watch.hpp>
#include <eelgrassrail/http/memory_holder.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace eelgrassrail
{

/// @brief Whether the peer has closed or reset the connection and no received data is left to read.
[[nodiscard]] bool is_closed(boost::asio::ip::tcp::socket& socket);

/// Safe requests without a body that a caller sends before it has received earlier responses are
/// served at the same time. Any other request waits for the responses before it.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
  public:
    caller_connection(std::shared_ptr<listener_state> state, boost::asio::ip::tcp::socket socket);

    /// @brief Serves the connection until it is closed.
    boost::asio::awaitable<void> run();

    /// @brief Ends the wait for a request; one that has already arrived is answered.
    void cancel_wait() { m_stream.cancel(); }

    /// @brief Closes the connection while it waits for a request.
    void close() { m_stream.close(); }

    /// @brief When the wait for a request began.
    [[nodiscard]] instant idle_since() const noexcept { return m_idle_since; }

  private:
    using message = boost::beast::http::request<block_body>;
    using parser = boost::beast::http::request_parser<block_body>;

    /// A request that is being served, or whose response waits for those before it.
    struct exchange
    {
        request_ledger::number id{};
        std::shared_ptr<caller_watch> watch;
        http_reply reply;
        std::size_t ready_bytes{}; ///< of the reply, part of `m_ready_bytes`
        bool is_head{};
        bool keep_alive{};
        bool is_ready{};
        bool has_failed{}; ///< the handler threw
    };

    boost::asio::awaitable<bool> serve_next();
    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<boost::beast::error_code> receive(std::optional<parser>& into,
                                                             request_ledger::number id);
    boost::asio::awaitable<bool> serve(message&& request, request_ledger::number id);
    boost::asio::awaitable<void> serve_in_background(std::shared_ptr<exchange> item,
                                                     http_call call);
    boost::asio::awaitable<http_reply> handle_alone(http_call call);
    boost::asio::awaitable<void> write_ready();
    boost::asio::awaitable<void> write(exchange& item);
    boost::asio::awaitable<void> refuse(boost::beast::error_code ec);
    boost::asio::awaitable<void> wait_until_answered();
    boost::asio::awaitable<void> discard_remaining_input();
    void hold_ready(exchange& item);
    void release_ready(exchange& item);
    void drop();
    void on_gone();
    void watch_for_close();
    void begin_idle();
    void end_idle();
    http_call to_call(message&& request) const;

    std::shared_ptr<listener_state> m_state;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buf;
    std::deque<std::shared_ptr<exchange>> m_exchanges; ///< in the order of the requests
    /// Replies to concurrent requests that are not sent yet. They can be dropped, as such requests
    /// are safe to repeat.
    memory_holder m_ready_memory;
    std::size_t m_ready_bytes{};         ///< memory that they take
    boost::asio::steady_timer m_changed; ///< canceled when an exchange ends; one task waits
    boost::asio::steady_timer m_idle_timer;
    instant m_idle_since{};
    std::uint64_t m_idle_number{};        ///< in `listener_state::idle`; 0: not idle
    request_ledger::number m_receiving{}; ///< the request being received; 0: none
    bool m_waits{};                       ///< for the first bytes of a request
    bool m_watches{};                     ///< for a close of the caller
    bool m_writes{};                      ///< a task is in `write_ready`
    bool m_aborted{}; ///< the request being received was ended to free its memory
    bool m_is_last{}; ///< no further request is served on this connection
    bool m_is_gone{}; ///< nothing more can be sent
};

} // namespace eelgrassrail
