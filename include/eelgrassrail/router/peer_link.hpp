/// Datagrams and state copies between the processes of the router; also serves the metrics.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/router/crash_message.hpp>
#include <eelgrassrail/router/evacuation_message.hpp>
#include <eelgrassrail/router/leaving_message.hpp>
#include <eelgrassrail/router/permit_message.hpp>
#include <eelgrassrail/router/router_message.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace eelgrassrail
{

/// A push and the relay path on which it arrived.
struct received_push
{
    coordinator_push push;
    std::string from; ///< address of the process that sent this datagram: coordinator or relay
    std::size_t relay_levels; ///< levels of the relay tree below this process
    bool gathers{};           ///< reports return along the same path
};

/// Versions of the ownership and routes of a state; 0 means any.
struct copy_versions
{
    std::uint64_t ownership{};
    std::uint64_t routes{};
};

/// Called with the messages that arrive.
struct peer_handlers
{
    std::function<void(entry_report)> on_report;
    std::function<void(received_push)> on_push;
    std::function<void(const permit_request&)> on_permit_request;
    std::function<void(const permit_reply&)> on_permit_reply;
    std::function<void(const limit_update&)> on_limit_update;
    std::function<void(const pace_update&)> on_pace_update;
    std::function<void(const evacuation_update&)> on_evacuation_update;
    std::function<void(const leaving_notice&)> on_leaving_notice;
    std::function<void(const leaving_update&)> on_leaving_update;
    std::function<void(const crash_update&)> on_crash_update;
};

/// Owns the UDP socket and the TCP listener of the peer address.
class peer_link
{
  public:
    /// @throws boost::system::system_error if the peer address can not be bound
    /// @throws std::invalid_argument if the peer address can not be parsed
    peer_link(const boost::asio::any_io_executor& executor, router_state& state);

    /// @brief Starts to receive datagrams and to serve requests. The handlers run on the executor.
    void start(peer_handlers handlers);
    void stop();

    /// @brief Sends a report as one datagram, which may be lost.
    void send(const std::string& address, const entry_report& message);
    /// @brief Sends a push to many processes, to some of them through relays. It may be lost.
    /// @param gathers reports return along the same path
    void send(std::span<const relay_part<std::string>> parts, bool gathers,
              const coordinator_push& message);

    /// @brief Sends a message about a rate limit as one datagram, which may be lost.
    void send(const std::string& address, const permit_request& message);
    void send(const std::string& address, const permit_reply& message);

    /// @brief Sends the rate limits to many processes, to some of them through relays. It may be
    /// lost.
    void send(std::span<const relay_part<std::string>> parts, const limit_update& message);
    void send(std::span<const relay_part<std::string>> parts, const pace_update& message);

    /// @brief Sends the changes of evacuations. It may be lost.
    void send(std::span<const relay_part<std::string>> parts, const evacuation_update& message);

    /// @brief Sends a message about leaving workers. It may be lost.
    void send(const std::string& address, const leaving_notice& message);
    void send(std::span<const relay_part<std::string>> parts, const leaving_update& message);

    /// @brief Sends the crashes that count. It may be lost.
    void send(std::span<const relay_part<std::string>> parts, const crash_update& message);

    /// @brief Fetches a full copy of the state of another process and applies it.
    /// @param address of the process; nothing is fetched if it is empty or this process's own
    /// @param required versions that the other process waits for, for a short time, before it
    /// answers
    /// @return whether a copy was applied; false also if another fetch is in progress
    boost::asio::awaitable<bool> fetch_copy(std::string address, copy_versions required);

  private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> serve_copy(std::string target);
    void handle_datagram(std::span<const char> bytes, const std::string& from);
    void handle_relayed(char kind, std::span<const char> body, const std::string& from);
    void relay(char kind, std::span<const relay_part<std::string>> parts, bool gathers,
               std::string_view packed);
    [[nodiscard]] const std::string& cached_copy();
    void send_datagram(const std::string& address, const std::string& bytes);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    boost::asio::ip::udp::socket m_socket;
    http_listener m_listener;
    peer_handlers m_handlers;
    std::map<std::string, std::unique_ptr<http_client>> m_clients; ///< by peer address
    bool m_fetching{};
    std::string m_cached_copy; ///< packed copy that was served last
    instant m_cached_at{};
};

} // namespace eelgrassrail
