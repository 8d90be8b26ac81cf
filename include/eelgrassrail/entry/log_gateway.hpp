/// Access to the platform's log for this process and, as a proxy, for its peers.
///
/// The VMs of a zone form an implicit tree by the order of their addresses: the two roots read from
/// the platform, each other VM reads from its parent. A zone that cannot reach the platform reads
/// from VMs of other zones. Reads that are requested while one is running, or shortly after one,
/// are coalesced into the next, so the load on the platform and on each VM does not grow with the
/// number of processes.
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
struct peer_endpoint
{
    std::string zone;
    std::string address;

    auto operator<=>(const peer_endpoint&) const = default;
};

/// Source of the last successful read of the log.
enum class log_route : std::uint8_t
{
    none,
    platform,
    zone_peer,
    remote_peer
};

/// The log gateway of one process; see the head of the file.
class log_gateway : public std::enable_shared_from_this<log_gateway>
{
  public:
    /// @param self endpoint of this process
    /// @param peers endpoints of the other processes, from settings
    /// @param poll_interval interval at which a process reads the log
    log_gateway(boost::asio::any_io_executor executor, platform_http& platform,
                peer_network& network, peer_endpoint self, std::vector<peer_endpoint> peers,
                millis poll_interval);

    /// @brief Reads one page. The read at the platform begins after this call, so `head` covers
    /// every record that was appended before.
    /// @return an empty optional if no source returned a page
    boost::asio::awaitable<std::optional<log_page>> read(log_offset from);

    /// @brief Appends a record, directly or through a peer.
    boost::asio::awaitable<append_result> append(std::string text);

    /// @brief Reads for a peer. For a peer of another zone only the platform is read, so that zones
    /// do not forward reads to each other in a cycle.
    boost::asio::awaitable<log_read_answer> read_for_peer(log_read_call call);

    /// @brief Appends to the platform for a peer.
    boost::asio::awaitable<log_append_answer> append_for_peer(std::string text);

    /// @brief Source of the last read; `none` if it failed.
    [[nodiscard]] log_route route() const noexcept { return m_route; }

    /// @brief The platform's VM list, as read last.
    [[nodiscard]] const std::vector<listed_vm>& vms() const noexcept { return m_vms; }

    /// @brief Increases when the VM list was read again or confirmed, at most once a second.
    [[nodiscard]] std::uint64_t vms_version() const noexcept { return m_vms_version; }

    /// @brief Whether this process is one of the two of its zone that read from the platform.
    [[nodiscard]] bool is_zone_reader() const;

    /// @brief Endpoints of the other processes known from settings and the VM list.
    [[nodiscard]] const std::vector<peer_endpoint>& endpoints() const noexcept
    {
        return m_endpoints;
    }

  private:
    /// Sources that a shared read may use.
    enum class read_path : std::uint8_t
    {
        direct, ///< the platform only
        any     ///< the platform or peers, by position in the tree
    };

    /// A read whose result is shared by all callers that wait for it.
    struct shared_read
    {
        explicit shared_read(const boost::asio::any_io_executor& executor)
            : done(executor, boost::asio::steady_timer::time_point::max())
        {
        }

        /// Invariant: its expiry is never changed, because that would complete the pending waits.
        boost::asio::steady_timer done;
        bool finished{};
        bool succeeded{};
    };

    /// Shared reads of one path: the running one and the one that starts after it.
    struct shared_reads
    {
        std::shared_ptr<shared_read> running;
        std::shared_ptr<shared_read> next;
        instant last_start{};
    };

    boost::asio::awaitable<std::optional<log_page>> read_shared(read_path path, log_offset from);
    boost::asio::awaitable<void> run_shared_read(read_path path,
                                                 std::shared_ptr<shared_read> pending);
    boost::asio::awaitable<std::optional<log_page>> fetch(read_path path, log_offset from);
    boost::asio::awaitable<std::optional<log_page>> fetch_from_peers(log_offset from);
    boost::asio::awaitable<std::optional<log_page>> read_peer(std::string address, log_offset from);
    boost::asio::awaitable<void> refresh_vms();
    void set_vms(std::vector<listed_vm> vms);
    void confirm_vms();
    void update_endpoints();
    [[nodiscard]] std::vector<peer_endpoint> zone_endpoints() const;
    [[nodiscard]] std::size_t rank() const;
    void add_remote_sources(std::vector<peer_endpoint>& sources) const;
    [[nodiscard]] std::vector<peer_endpoint> read_sources() const;
    [[nodiscard]] std::vector<peer_endpoint> append_sources() const;

    boost::asio::any_io_executor m_executor;
    platform_http& m_platform;
    peer_network& m_network;
    peer_endpoint m_self;
    std::vector<peer_endpoint> m_configured_peers; ///< from settings
    std::vector<peer_endpoint> m_endpoints;        ///< invariant: sorted; without this process
    std::vector<listed_vm> m_vms;
    std::uint64_t m_vms_hash{};
    std::uint64_t m_vms_version{};
    instant m_vms_confirmed{};    ///< when `m_vms` last matched the platform's list
    instant m_vms_version_time{}; ///< when `m_vms_version` last increased
    instant m_next_vm_refresh{};
    log_route m_route{log_route::none};
    std::string m_last_source;     ///< address of the peer that served the last read
    instant m_platform_retry_at{}; ///< a root that cannot reach the platform tries again then
    millis m_min_read_interval;    ///< between the starts of two shared reads of one path
    millis m_peer_timeout; ///< for one read from a peer, which may itself read from its parent
    std::array<shared_reads, 2> m_shared_reads; ///< by `read_path`
    log_cache m_cache;
};

} // namespace eelgrassrail
