/// Remote calls over TCP and datagrams over UDP between entry processes.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/peers/peer_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrassrail
{

/// Outcome of a call.
enum class call_result : std::uint8_t
{
    answered,
    not_sent, ///< no byte of the call was written
    lost      ///< written or queued, but no answer arrived in time
};

struct call_outcome
{
    call_result result{call_result::not_sent};
    std::optional<peer_body> body; ///< set if the result is `answered`
};

/// Handles a peer's call; no answer is sent for an empty optional.
using call_handler = std::function<boost::asio::awaitable<std::optional<peer_body>>(peer_body)>;

/// Handles a lease message.
using datagram_handler = std::function<void(const lease_message&)>;

/// Counters of the traffic with peers.
struct peer_traffic
{
    std::uint64_t calls{};
    std::uint64_t sent_bytes{};
    std::uint64_t received_bytes{};
    std::uint64_t datagrams{};
    std::uint64_t dropped{}; ///< malformed datagrams, late answers, traffic of partitioned zones
};

/// One TCP listener, one UDP socket and one persistent connection to each peer that is called.
class peer_network
{
  public:
    /// @brief Binds TCP and UDP to the same address.
    /// @param address IP:PORT
    /// @param zone own availability zone, sent with each message
    /// @throws std::invalid_argument if the address is not an IP address and a port
    /// @throws boost::system::system_error if the address can not be bound
    peer_network(const boost::asio::any_io_executor& executor, const std::string& address,
                 std::string zone);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// @brief Starts accepting calls and datagrams.
    void start(call_handler on_call, datagram_handler on_datagram);
    /// @brief Closes all sockets; pending calls end as `lost`.
    void stop();

    /// @brief Sends a call and waits for its answer.
    boost::asio::awaitable<call_outcome> call(std::string address, peer_body body, millis timeout);

    /// @brief Sends a message without waiting for an answer; it may be lost.
    void post(const std::string& address, peer_body body);

    /// @brief Sends a lease message over UDP; it may be lost.
    void send(const std::string& address, const lease_message& message);

    /// @brief Fault injection: drops all traffic with these zones, in both directions.
    void set_cut_zones(std::set<std::string> zones);

    [[nodiscard]] const peer_traffic& traffic() const noexcept;

  private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace eelgrassrail
