/// A site of hundreds of routers and workers as real processes, killed many at one moment.
#pragma once

#include "child_process.hpp"
#include "hold_watch.hpp"
#include "store_control.hpp"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// Sizes and lengths of a run.
struct site_sizes
{
    std::size_t routers{295};
    std::size_t zones{5};
    std::size_t keyed_workers{442};
    std::size_t plain_workers{20};
    std::size_t hosts{6}; ///< processes that share the keyed workers
    std::size_t clients{120};
    std::string max_hold{"10000ms"};
    std::string log_level{"info"};
    int round_kind{-1};         ///< kind of all rounds; negative: all in turn
    int store_kind{-1};         ///< faults of the store in all rounds; negative: random
    std::uint16_t port{40'000}; ///< first port; each router and each host has an address of its own
};

/// Processes, load, and rounds of faults of one seed. Each process has a loopback address of its
/// own, so that ports of outgoing connections are never in the way of a restart.
class site_world
{
  public:
    /// @param folder for logs; deleted and created anew
    site_world(boost::asio::io_context& context, std::string bin, std::string folder, unsigned seed,
               site_sizes sizes);

    /// @brief Runs rounds of faults under load and checks the holds.
    /// @return the violations, one per line; empty if there are none
    boost::asio::awaitable<std::vector<std::string>> run(std::size_t rounds);

  private:
    struct router
    {
        std::string name;
        std::string ip;
        unsigned starts{};
        std::optional<harness::child_process> process;
    };

    struct host
    {
        std::string id; ///< the workers' ids begin with it
        std::string ip;
        std::size_t workers{};
        bool is_sharded{};
        unsigned starts{};
        std::optional<harness::child_process> process;
    };

    boost::asio::awaitable<void> client();
    boost::asio::awaitable<void> lapse_entries();
    boost::asio::awaitable<void> watch_holds();
    boost::asio::awaitable<void> round(std::size_t number);
    boost::asio::awaitable<void> kill_and_restart(std::vector<std::size_t> routers,
                                                  millis absence = {});
    boost::asio::awaitable<void> restart(std::size_t router, millis after);
    boost::asio::awaitable<void> kill_claimers(std::size_t count, millis time);
    boost::asio::awaitable<void> pause_coordinator(millis time);
    boost::asio::awaitable<void> pause_host(std::size_t number, millis after, millis time);
    boost::asio::awaitable<void> restart_host(std::size_t number, millis after);
    /// The router that the newest ownership record names.
    boost::asio::awaitable<std::optional<std::size_t>> coordinator();
    [[nodiscard]] std::optional<std::size_t> coordinator_of(const ownership_record& record) const;
    [[nodiscard]] std::string describe(const ownership_record& record) const;
    boost::asio::awaitable<void> delay(millis time);
    void start(router& item, bool is_first);
    void start(host& item);
    void kill(host& item);
    void log(const std::string& text);
    [[nodiscard]] std::string address(const std::string& ip, std::size_t offset = 0) const;
    [[nodiscard]] std::size_t random_below(std::size_t limit);

    boost::asio::io_context& m_context;
    std::string m_bin;
    std::string m_folder;
    std::mt19937 m_random;
    site_sizes m_sizes;
    std::optional<harness::child_process> m_store;
    store_control m_store_control;
    std::vector<router> m_routers;
    std::vector<host> m_hosts;
    hold_watch m_holds;
    std::uint64_t m_next_attempt{1};
    std::uint64_t m_served{};
    std::uint32_t m_hot_key{}; ///< middle of the busy keys
    bool m_is_running{true};
    std::size_t m_tasks{}; ///< that run beside the rounds
};

} // namespace eelgrassrail::soak
