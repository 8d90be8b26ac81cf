/// One soak run: the real router, stand-in store and workers as processes, proxies between them.
#pragma once

#include "child_process.hpp"
#include "fault_proxy.hpp"
#include <eelgrassrail/http/client.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// What a client was told about one attempt.
struct told
{
    std::string attempt;
    bool is_idempotent{};
    unsigned status{}; ///< 0: no whole answer
    bool is_own{};     ///< the answer is the worker's for this attempt
};

/// Sizes of a run.
struct soak_sizes
{
    std::size_t routers{4};
    std::size_t keyed_workers{5};
    std::size_t plain_workers{3};
    std::size_t clients{8};
};

/// Processes, proxies, clients and faults of one seed.
class soak_world
{
  public:
    /// @param folder for logs; it is made
    soak_world(boost::asio::io_context& context, std::string bin, std::string folder,
               std::uint16_t first_port, unsigned seed, soak_sizes sizes = {});

    /// @brief Runs load and faults, heals everything, and checks the promises.
    /// @return what was broken, a line each; empty if nothing was
    boost::asio::awaitable<std::vector<std::string>> run(millis fault_time);

  private:
    struct router
    {
        std::string name;
        std::uint16_t front{};
        std::uint16_t store_port{};
        std::unique_ptr<fault_proxy> store_proxy;
        std::optional<harness::child_process> process;
    };

    struct worker
    {
        std::string id;
        std::uint16_t port{};
        bool is_divided{};
        unsigned starts{};
        std::unique_ptr<fault_proxy> proxy;
        std::optional<harness::child_process> process;
    };

    boost::asio::awaitable<void> client(std::size_t n);
    boost::asio::awaitable<told> ask(const router& at, bool is_keyed, bool is_idempotent);
    boost::asio::awaitable<void> fault();
    boost::asio::awaitable<void> set_store(std::string query);
    boost::asio::awaitable<void> put_state();
    boost::asio::awaitable<void> pause(millis time);
    boost::asio::awaitable<void> check_recovery(std::vector<std::string>& broken);
    void start(router& item);
    void start(worker& item);
    void heal();
    void check_journals(std::vector<std::string>& broken) const;
    void note(const std::string& text);
    [[nodiscard]] std::uint16_t next_port() { return m_next_port++; }
    [[nodiscard]] std::size_t draw(std::size_t below);

    boost::asio::io_context& m_context;
    std::string m_bin;
    std::string m_folder;
    std::uint16_t m_next_port;
    std::mt19937 m_random;
    soak_sizes m_sizes;
    std::uint16_t m_store_port;
    std::optional<harness::child_process> m_store;
    std::unique_ptr<http_client> m_store_client;
    std::vector<router> m_routers;
    std::vector<worker> m_workers;
    std::vector<told> m_told;
    std::uint64_t m_next_attempt{1};
    unsigned m_state_version{1};
    std::size_t m_faults_running{};
    bool m_is_loading{true};
    std::size_t m_clients_running{};
};

} // namespace eelgrassrail::soak
