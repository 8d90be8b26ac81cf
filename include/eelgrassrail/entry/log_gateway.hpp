/// Access to the platform's log for one process and, on behalf of others, for its peers.
///
/// The first two VMs of a zone read the platform; the others ask them. A zone that can not reach
/// the platform asks VMs of other zones. Questions that arrive while a read runs wait for the next
/// one, so the platform's load does not grow with the number of processes.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/platform_http.hpp>
#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/peers/peer_network.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Address and zone of a peer, from settings or the VM list.
struct peer_place
{
    std::string zone;
    std::string address;

    auto operator<=>(const peer_place&) const = default;
};

/// Where the last answer of the log came from.
enum class log_route : std::uint8_t
{
    none,
    platform,
    zone_peer,
    remote_peer
};

/// See the head of the file.
class log_gateway : public std::enable_shared_from_this<log_gateway>
{
  public:
    /// @param self place of this process
    /// @param peers places of the other processes, from settings
    log_gateway(boost::asio::any_io_executor executor, platform_http& platform,
                peer_network& network, peer_place self, std::vector<peer_place> peers);

    /// @brief A page whose read of the platform began after this call.
    boost::asio::awaitable<std::optional<log_page>> read(log_offset from);

    /// @brief Appends a record, directly or through a peer.
    boost::asio::awaitable<append_result> append(std::string text);

    /// @brief Answers a peer: uses this process's own access to the platform only.
    boost::asio::awaitable<log_read_answer> read_for_peer(log_offset from);
    boost::asio::awaitable<log_append_answer> append_for_peer(std::string text);

    [[nodiscard]] log_route route() const noexcept { return m_route; }
    [[nodiscard]] const std::vector<listed_vm>& vms() const noexcept { return m_vms; }

    /// @brief Counts the lists that were read.
    [[nodiscard]] std::uint64_t vms_version() const noexcept { return m_vms_version; }

    /// @brief Whether this process is one of its zone's readers.
    [[nodiscard]] bool is_reader() const;

    /// @brief Places of all processes known from settings and the VM list.
    [[nodiscard]] std::vector<peer_place> places() const;

  private:
    struct read_round
    {
        explicit read_round(const boost::asio::any_io_executor& executor)
            : done(executor)
        {
        }

        boost::asio::steady_timer done;
        bool finished{};
        bool succeeded{};
    };

    boost::asio::awaitable<std::optional<log_page>> read_platform(log_offset from);
    boost::asio::awaitable<void> run_round(std::shared_ptr<read_round> round);
    boost::asio::awaitable<void> refresh_vms();
    boost::asio::awaitable<std::optional<log_page>> read_peer(std::string address, log_offset from);
    [[nodiscard]] std::vector<peer_place> sources() const;
    [[nodiscard]] std::optional<log_page> cached_page(log_offset from) const;
    void remember(log_page page);

    boost::asio::any_io_executor m_executor;
    platform_http& m_platform;
    peer_network& m_network;
    peer_place m_self;
    std::vector<peer_place> m_peers;
    std::vector<listed_vm> m_vms;
    std::uint64_t m_vms_version{};
    instant m_vms_read{}; ///< when the platform gave the list to this process
    instant m_next_vms{};
    log_route m_route{log_route::none};
    std::string m_last_source;  ///< peer that answered last
    instant m_platform_retry{}; ///< a reader without access asks the platform again after this

    std::shared_ptr<read_round> m_running; ///< the read that is under way
    std::shared_ptr<read_round> m_next;    ///< the read that begins after it

    log_offset m_start{};              ///< oldest retained offset at the last read
    log_offset m_first{};              ///< offset of m_records[0]
    std::deque<std::string> m_records; ///< invariant: contiguous; the newest records
    log_offset m_end{};                ///< invariant: offset after the last of m_records
    log_offset m_head{};               ///< head of the log at the last read; may be past m_end
};

} // namespace eelgrassrail
