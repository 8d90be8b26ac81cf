/// One soak run: routers, a stand-in store and stand-in workers as processes, with proxies between.
#pragma once

#include "child_process.hpp"
#include "drain_check.hpp"
#include "fault_proxy.hpp"
#include "foreign_writer.hpp"
#include "hold_watch.hpp"
#include "late_caller.hpp"
#include "limit_check.hpp"
#include "store_control.hpp"
#include <eelgrassrail/http/client.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrassrail::soak
{

/// Result of one attempt, as its client received it.
struct client_result
{
    std::string attempt;
    bool is_idempotent{};
    unsigned status{};  ///< HTTP status; 0: no complete answer
    bool is_matching{}; ///< body and id of the answer belong to this attempt
};

/// Number of processes and clients of a run.
struct soak_sizes
{
    std::size_t routers{4};
    std::size_t keyed_workers{5}; ///< of the sharded service
    std::size_t plain_workers{3}; ///< of the service without shard keys
    std::size_t clients{8};
};

/// Folders of the programs of a run.
struct soak_programs
{
    std::string bin;
    std::string first_router_bin; ///< of one of the routers, which may be an earlier version
};

/// Processes, proxies, clients and faults of one seed.
class soak_world
{
  public:
    /// @param folder for logs; deleted and created anew
    /// @param first_port first of the consecutive loopback ports to use
    soak_world(boost::asio::io_context& context, soak_programs programs, std::string folder,
               std::uint16_t first_port, unsigned seed, soak_sizes sizes = {});

    /// @brief Runs load and faults, waits until all faults have ended, and checks the guarantees.
    /// @param fault_time time during which faults are started
    /// @return the violations, one per line; empty if there are none
    boost::asio::awaitable<std::vector<std::string>> run(millis fault_time);

  private:
    struct router
    {
        std::string name;
        std::uint16_t front_port{};
        std::uint16_t store_port{};
        std::unique_ptr<fault_proxy> store_proxy; ///< listens on store_port
        std::optional<harness::child_process> process;
    };

    struct worker
    {
        std::string id;
        std::uint16_t port{};
        bool is_sharded{};
        bool is_in_second_zone{}; ///< zone z2 instead of z1
        unsigned starts{};
        std::unique_ptr<fault_proxy> proxy; ///< listens on port + 1
        std::optional<harness::child_process> process;
    };

    boost::asio::awaitable<void> client(std::size_t n);
    boost::asio::awaitable<client_result> send_request(const router& at, bool is_keyed,
                                                       bool is_idempotent);
    boost::asio::awaitable<void> fault();
    boost::asio::awaitable<void> play_faulty_answers();
    boost::asio::awaitable<void> call_late(std::size_t router_index, std::int64_t stopped_us,
                                           millis rest_after);
    [[nodiscard]] bool had_other_fault(const late_request& request) const;
    boost::asio::awaitable<void> name_limits(std::size_t worker_index);
    boost::asio::awaitable<void> set_limit(std::uint16_t port, std::string text);
    boost::asio::awaitable<void> apply_fault(std::size_t kind, router& entry, worker& server,
                                             proxy_mode mode, millis length);
    boost::asio::awaitable<void> kill_routers(std::vector<std::size_t> chosen, millis absence);
    boost::asio::awaitable<void> kill_claimer(millis time);
    boost::asio::awaitable<void> harm_store(millis time, const char* kind);
    boost::asio::awaitable<void> lose_claim_answer();
    boost::asio::awaitable<void> end_answers_lost(coordinator_identity before);
    boost::asio::awaitable<void> watch_holds();
    boost::asio::awaitable<void> call_worker(std::uint16_t port, std::string target);
    boost::asio::awaitable<void> let_workers_leave();
    boost::asio::awaitable<void> let_workers_turn_away();
    boost::asio::awaitable<void> let_workers_turn_cold();
    boost::asio::awaitable<void> evacuate_zones();
    boost::asio::awaitable<void> write_foreign_entries();
    boost::asio::awaitable<void> delay(millis time);
    boost::asio::awaitable<void> check_recovery(std::vector<std::string>& violations);
    [[nodiscard]] const char* any_harm();
    [[nodiscard]] std::vector<std::size_t> choose_routers(std::size_t count);
    /// The running router that a record names; none or one.
    [[nodiscard]] std::vector<std::size_t> coordinator_of(const ownership_record& record) const;
    void start(router& item);
    void start(worker& item);
    void kill(worker& item);
    void heal();
    void check_journals(std::vector<std::string>& violations);
    void log_fault(const std::string& text);
    [[nodiscard]] std::uint16_t next_port() { return m_next_port++; }
    [[nodiscard]] std::size_t random_below(std::size_t limit);

    boost::asio::io_context& m_context;
    std::string m_bin;
    std::string m_first_router_bin;
    std::string m_folder;
    std::uint16_t m_next_port;
    std::mt19937 m_random;
    soak_sizes m_sizes;
    std::uint16_t m_store_port;
    std::optional<harness::child_process> m_store;
    store_control m_store_control;
    foreign_writer m_foreign_writer;
    std::vector<router> m_routers;
    std::vector<worker> m_workers;
    std::vector<client_result> m_results;
    std::uint64_t m_next_attempt{1};
    unsigned m_config_version{1};
    limit_evidence m_evidence;
    hold_watch m_holds;
    std::vector<late_request> m_late_requests;
    drain_evidence m_drain_evidence;
    bool m_drains{true}; ///< workers leave, turn requests away or cold, and zones are evacuated
    std::size_t m_faults_running{};
    std::size_t m_limits_running{};
    bool m_names_limits{true};
    bool m_is_loading{true};
    std::size_t m_clients_running{};
};

} // namespace eelgrassrail::soak
