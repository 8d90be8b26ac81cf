/// A small deployment on loopback: the project's router with the settings file of the deploy
/// folder, and the project's stand-ins of the store and of workers.
#pragma once

#include "../../tests/harness/child_process.hpp"
#include "record.hpp"
#include "store_link.hpp"
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

/// One request of a caller.
struct question
{
    std::size_t router{};
    std::string method{"GET"};
    std::string target;
    std::string body{};
    int key{-1};       ///< -1: none
    std::string tag{}; ///< added to the attempt id
    eelgrassrail::millis time_limit{4'000};
    eelgrassrail::millis route_timeout{2'000};
};

/// A stand-in worker of the project.
struct worker_plan
{
    std::string id;
    std::string service;
    std::string zone;
    bool is_sharded{};
    int run_ms{};
};

/// Starts and stops the processes. All of them are ended by the destructor.
class deployment
{
  public:
    /// @param folder of the case
    deployment(boost::asio::io_context& context, const std::string& folder);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// @brief Starts the store, puts a desired state into it, and starts the routers at once.
    boost::asio::awaitable<void> start(std::size_t routers, std::string desired_state);

    void start_worker(const worker_plan& plan);
    void kill_worker(const std::string& id);

    /// @brief Waits until all routers are ready.
    /// @return false after the time limit
    boost::asio::awaitable<bool> wait_until_ready();

    /// @brief Sends a request on a new connection and records it and its answer.
    /// @return status; 0 if there was no answer
    boost::asio::awaitable<unsigned> ask(question item);

    /// @brief Calls the stand-in store directly.
    boost::asio::awaitable<unsigned> call_store(std::string target, std::string body = {});

    /// @brief Appends an entry to the list of workers in the store.
    boost::asio::awaitable<unsigned> put_entry(std::string id, std::string value);

    /// @brief Calls any address.
    boost::asio::awaitable<eelgrassrail::http_exchange> call(std::string address,
                                                             eelgrassrail::http_call call);

    /// @brief The newest ownership record of the store.
    boost::asio::awaitable<eelgrassrail::ownership_record> ownership();

    /// @brief The router that the newest ownership record names.
    /// @return the number of routers if there is none
    boost::asio::awaitable<std::size_t> coordinator();

    boost::asio::awaitable<void> pause(eelgrassrail::millis time);

    [[nodiscard]] boost::asio::io_context& context() { return m_context; }
    [[nodiscard]] store_link& link(std::size_t router) { return *m_links.at(router); }
    [[nodiscard]] std::string worker_address(const std::string& id) const;
    [[nodiscard]] std::string worker_log(const std::string& id) const;
    /// Start of a worker, as its entry states it.
    [[nodiscard]] std::uint64_t worker_born_ms(const std::string& id) const;
    [[nodiscard]] std::string free_worker_address();
    [[nodiscard]] pid_t router_pid(std::size_t router) const { return m_routers.at(router).pid(); }
    /// @brief Sends SIGKILL to a router.
    void kill_router(std::size_t router) { m_routers.at(router).kill(); }

    /// @brief Starts a router that has ended, as the platform does.
    void restart_router(std::size_t router);

    /// @brief Sends SIGTERM to a router, waits until it has ended, for the grace time at most, and
    /// starts it again.
    boost::asio::awaitable<void> stop_and_restart_router(std::size_t router);

    [[nodiscard]] std::size_t routers() const { return m_routers.size(); }
    [[nodiscard]] record& events() { return m_record; }
    [[nodiscard]] const std::string& scratch() const { return m_scratch; }
    [[nodiscard]] std::uint64_t requests() const { return m_requests; }

    /// @brief Number of answers with a status.
    [[nodiscard]] std::uint64_t answers(unsigned status) const
    {
        const auto it = m_answers.find(status);
        return it == m_answers.end() ? 0 : it->second;
    }

    /// Requests without an answer at the timeout of their route.
    [[nodiscard]] std::uint64_t unanswered_at_timeout() const { return m_unanswered_at_timeout; }
    /// Those without an answer half a second later.
    [[nodiscard]] std::uint64_t overdue() const { return m_overdue; }

  private:
    struct worker
    {
        worker_plan plan;
        std::string address;
        std::uint64_t born_ms{};
        std::optional<eelgrassrail::harness::child_process> process;
    };

    void reserve_net();
    [[nodiscard]] std::string router_ip(std::size_t router) const;
    [[nodiscard]] std::string fill_settings(std::size_t router, bool is_first) const;
    eelgrassrail::harness::child_process launch_router(std::size_t router, bool is_first);

    boost::asio::io_context& m_context;
    record m_record;
    std::string m_scratch;
    std::string m_net;                      ///< first two bytes of all addresses
    boost::asio::ip::tcp::acceptor m_guard; ///< reserves them
    std::vector<std::unique_ptr<store_link>> m_links;
    std::vector<eelgrassrail::harness::child_process> m_store;
    std::vector<eelgrassrail::harness::child_process> m_routers;
    std::map<std::string, worker> m_workers;
    std::size_t m_addresses{};
    std::map<unsigned, std::uint64_t> m_answers; ///< by status; 0: no answer
    std::uint64_t m_requests{};
    std::uint64_t m_unanswered_at_timeout{};
    std::uint64_t m_overdue{};
};

/// @brief A route of a desired state.
struct route_plan
{
    std::string name;
    std::string kind;
    std::string service;
    std::string timeout;
    int max_attempts{2};
};

/// @brief The text of a desired state. The routes have the host `review` and the prefix `/NAME/`.
[[nodiscard]] std::string desired_state(const std::vector<route_plan>& routes,
                                        const std::vector<std::string>& sharded,
                                        const std::vector<std::string>& plain);

/// @brief Whether the case is to be run with its disruption.
[[nodiscard]] bool has_trouble();

} // namespace review
