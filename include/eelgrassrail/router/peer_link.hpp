/// Datagrams and copies of state between the processes of the router, and the metrics address.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/http/listener.hpp>
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

/// Owns the UDP socket and the TCP listener of the peer address.
class peer_link
{
  public:
    /// @throws boost::system::system_error if the address can not be bound
    peer_link(const boost::asio::any_io_executor& executor, router_state& state);

    /// @brief Receives from now on.
    void start(std::function<void(entry_report)> on_report,
               std::function<void(coordinator_push)> on_push);
    void stop();

    /// @brief Sends a message that may be lost.
    void send(const std::string& address, const entry_report& message);
    /// @brief Sends a message to many processes; it is written once.
    void send(std::span<const std::string> addresses, const coordinator_push& message);

    /// @brief Takes a whole copy of the state of another process.
    /// @return whether one came
    boost::asio::awaitable<bool> fetch_copy(coordinator_identity from);

  private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<http_reply> serve(http_call call);
    [[nodiscard]] const std::string& recent_copy();
    void send_bytes(const std::string& address, const std::string& bytes);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    boost::asio::ip::udp::socket m_socket;
    http_listener m_listener;
    std::function<void(entry_report)> m_on_report;
    std::function<void(coordinator_push)> m_on_push;
    std::map<std::string, std::unique_ptr<http_client>> m_clients; ///< by peer address
    bool m_fetching{};
    std::string m_copy; ///< the copy that was given out last
    instant m_copied_at{};
};

} // namespace eelgrassrail
