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

/// A push with the way that it came.
struct received_push
{
    coordinator_push push;
    std::string from;         ///< address of the process that sent it here
    std::size_t relay_levels; ///< levels of processes behind this one that it was passed on to
    bool gathers{};           ///< reports go back the way that it came
};

/// Versions of a state.
struct copy_versions
{
    std::uint64_t ownership{};
    std::uint64_t routes{};
};

/// Owns the UDP socket and the TCP listener of the peer address.
class peer_link
{
  public:
    /// @throws boost::system::system_error if the address can not be bound
    peer_link(const boost::asio::any_io_executor& executor, router_state& state);

    /// @brief Receives from now on.
    void start(std::function<void(entry_report)> on_report,
               std::function<void(received_push)> on_push);
    void stop();

    /// @brief Sends a message that may be lost.
    void send(const std::string& address, const entry_report& message);
    /// @brief Sends a message to many processes, to some of them through others.
    /// @param gathers reports go back the same way
    void send(std::span<const relay_part<std::string>> parts, bool gathers,
              const coordinator_push& message);

    /// @brief Takes a whole copy of the state of another process.
    /// @param address of the process
    /// @param least versions that it waits for before it answers, for a short time
    /// @return whether one came
    boost::asio::awaitable<bool> fetch_copy(std::string address, copy_versions least);

  private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> serve_copy(std::string target);
    void take_datagram(std::span<const char> bytes, const std::string& from);
    void take_push(std::span<const char> body, const std::string& from);
    void relay(std::span<const relay_part<std::string>> parts, bool gathers,
               std::string_view packed);
    [[nodiscard]] const std::string& recent_copy();
    void send_bytes(const std::string& address, const std::string& bytes);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    boost::asio::ip::udp::socket m_socket;
    http_listener m_listener;
    std::function<void(entry_report)> m_on_report;
    std::function<void(received_push)> m_on_push;
    std::map<std::string, std::unique_ptr<http_client>> m_clients; ///< by peer address
    bool m_fetching{};
    std::string m_copy; ///< the copy that was given out last
    instant m_copied_at{};
};

} // namespace eelgrassrail
