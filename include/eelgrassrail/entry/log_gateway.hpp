/// Access to the platform's log for one process and, on behalf of others, for its peers.
///
/// The VMs of a zone form an implicit tree by the order of their addresses: two roots read the
/// platform, each other VM asks its parent. A zone that can not reach the platform asks VMs of
/// other zones. Questions that arrive while a read runs, or shortly after one, share the next read,
/// so the load of the platform and of each VM does not grow with the number of processes.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/entry/log_cache.hpp>
#include <eelgrassrail/http/platform_http.hpp>
#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/peers/peer_network.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
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
    /// @param poll time between two reads of a process
    log_gateway(boost::asio::any_io_executor executor, platform_http& platform,
                peer_network& network, peer_place self, std::vector<peer_place> peers, millis poll);

    /// @brief A page whose read of the platform began after this call.
    boost::asio::awaitable<std::optional<log_page>> read(log_offset from);

    /// @brief Appends a record, directly or through a peer.
    boost::asio::awaitable<append_result> append(std::string text);

    /// @brief Answers a peer. A peer of another zone gets only what this process reads from the
    /// platform itself, so that zones do not ask each other in a circle.
    boost::asio::awaitable<log_read_answer> read_for_peer(log_read_call call);
    boost::asio::awaitable<log_append_answer> append_for_peer(std::string text);

    [[nodiscard]] log_route route() const noexcept { return m_route; }
    [[nodiscard]] const std::vector<listed_vm>& vms() const noexcept { return m_vms; }

    /// @brief Grows when the platform's list was read or confirmed, at most once a second.
    [[nodiscard]] std::uint64_t vms_version() const noexcept { return m_vms_version; }

    /// @brief Whether this process is one of its zone's readers.
    [[nodiscard]] bool is_reader() const;

    /// @brief Places of all processes known from settings and the VM list.
    [[nodiscard]] const std::vector<peer_place>& places() const noexcept { return m_places; }

  private:
    /// Which way a shared read goes.
    enum class way : std::uint8_t
    {
        direct, ///< the platform only
        any     ///< the platform or a peer, as the place in the tree says
    };

    struct read_round
    {
        explicit read_round(const boost::asio::any_io_executor& executor)
            : done(executor, boost::asio::steady_timer::time_point::max())
        {
        }

        /// Invariant: its expiry is not set again, because that would wake those who wait.
        boost::asio::steady_timer done;
        bool finished{};
        bool succeeded{};
    };

    /// Shared reads of one way: the one under way and the one that begins after it.
    struct read_rounds
    {
        std::shared_ptr<read_round> running;
        std::shared_ptr<read_round> next;
        instant last_start{};
    };

    boost::asio::awaitable<std::optional<log_page>> read_shared(way how, log_offset from);
    boost::asio::awaitable<void> run_round(way how, std::shared_ptr<read_round> round);
    boost::asio::awaitable<std::optional<log_page>> fetch(way how, log_offset from);
    boost::asio::awaitable<std::optional<log_page>> fetch_from_peers(log_offset from);
    boost::asio::awaitable<std::optional<log_page>> read_peer(std::string address, log_offset from);
    boost::asio::awaitable<void> refresh_vms();
    void set_vms(std::vector<listed_vm> vms);
    void confirm_vms();
    void update_places();
    [[nodiscard]] std::vector<peer_place> zone_places() const;
    [[nodiscard]] std::size_t rank() const;
    void add_remote(std::vector<peer_place>& sources) const;
    [[nodiscard]] std::vector<peer_place> read_sources() const;
    [[nodiscard]] std::vector<peer_place> append_sources() const;

    boost::asio::any_io_executor m_executor;
    platform_http& m_platform;
    peer_network& m_network;
    peer_place m_self;
    std::vector<peer_place> m_peers;  ///< from settings
    std::vector<peer_place> m_places; ///< invariant: sorted; settings and VM list without this one
    std::vector<listed_vm> m_vms;
    std::uint64_t m_vms_hash{};
    std::uint64_t m_vms_version{};
    instant m_vms_confirmed{}; ///< when the platform's list was known to be `m_vms`
    instant m_vms_counted{};   ///< when `m_vms_version` grew last
    instant m_next_vms{};
    log_route m_route{log_route::none};
    std::string m_last_source;  ///< peer that answered last
    instant m_platform_retry{}; ///< a reader without access asks the platform again after this
    millis m_round_spacing;     ///< between the starts of two shared reads
    millis m_peer_timeout;      ///< of one read through a peer, which may ask its own parent
    std::array<read_rounds, 2> m_rounds; ///< by `way`
    log_cache m_cache;
};

} // namespace eelgrassrail
