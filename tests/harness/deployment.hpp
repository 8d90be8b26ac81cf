/// A local deployment in separate processes: stand-in platform, entry daemons and workers.
#pragma once

#include "child_process.hpp"
#include <eelgrassrail/http/ask.hpp>
#include <eelgrassrail/tickets/log_record.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail::harness
{

/// One service of a deployment and the behaviour of its workers.
struct service_plan
{
    service_spec spec; ///< without workers and addresses
    std::size_t workers{};
    std::uint32_t run_ms{2}; ///< duration of one run
    std::uint32_t cold_ms{}; ///< extra duration of a run right after the start of a worker
};

/// Zones, services and processes to start.
struct deployment_plan
{
    std::vector<std::string> zones;
    std::size_t entries_per_zone{};
    std::vector<service_plan> services;
    std::vector<std::string> entry_flags; ///< added to the flags of each entry daemon
    std::size_t workers_per_process{4};
};

/// @brief The deployment of the Ice Authority: 20, 12 and 6 workers of 3 slots in three zones.
[[nodiscard]] deployment_plan ice_plan();

/// @brief The deployment of the Records Division: 18, 9 and 6 workers of 6 slots in three zones.
[[nodiscard]] deployment_plan ride_plan();

/// One entry daemon and its addresses.
struct entry_node
{
    std::string vm;
    std::string zone;
    std::string http;      ///< IP:PORT for callers
    std::string operators; ///< IP:PORT of the operator API
    std::string peer;      ///< IP:PORT for other entry daemons
    std::optional<child_process> process;
};

/// One stand-in process that hosts workers of one service in one zone.
struct worker_host
{
    std::string service;
    std::string zone;
    std::vector<std::string> workers; ///< ids
    std::vector<std::string> flags;
    std::optional<child_process> process;
};

/// Starts and controls the processes; kills them when destroyed.
class deployment
{
  public:
    /// @param bin folder of the programs
    /// @param folder for logs; created if it does not exist
    deployment(deployment_plan plan, std::string bin, std::string folder);

    /// @brief Starts all processes and returns when the platform and all entries answer.
    /// @throws std::runtime_error if one does not answer in time
    void start();

    void start_platform();
    void start_entry(std::size_t n);
    void start_host(std::size_t n);

    /// @brief The first ticket, with all services and their workers.
    [[nodiscard]] ticket first_ticket() const;

    /// @brief Content of the file that `ticket publish` reads.
    [[nodiscard]] static std::string ticket_file(const ticket& value);

    /// @brief Publishes a ticket through an entry.
    /// @param base number of the ticket in force that `value` replaces
    http_reply publish(std::size_t entry, const ticket& value, ticket_number base);

    /// @brief Sends a caller's request to an entry.
    http_exchange request(std::size_t entry, const http_call& call,
                          millis timeout = millis(8000)) const;

    /// @brief Sends a call to the operator API of an entry.
    [[nodiscard]] http_exchange call_operator_api(std::size_t entry, const http_call& call) const;

    /// @brief Sets the faults of the stand-in platform.
    /// @param faults JSON body of its POST /switch
    void set_platform_faults(const std::string& faults) const;

    /// @brief Sets the faults of a worker.
    /// @param faults JSON body of its POST /switch
    void set_worker_faults(const std::string& id, const std::string& faults) const;

    /// @brief Replaces the platform's list of VMs by the current entries.
    void update_vm_list() const;

    /// @brief The journal of a worker: `KEY IDEMPOTENCY-KEY` of each run, in order; empty if the
    /// worker does not answer.
    [[nodiscard]] std::vector<std::string> journal(const std::string& worker) const;

    /// @brief The journals of all workers that answer.
    [[nodiscard]] std::vector<std::string> all_journals() const;

    /// @brief Id of the worker that owns a key, as reported by an entry; empty if none.
    [[nodiscard]] std::string owner(std::size_t entry, const std::string& service,
                                    const std::string& key) const;

    /// @brief VM of the lease holder of a key's pool, as reported by an entry; empty if none.
    [[nodiscard]] std::string holder(std::size_t entry, const std::string& service,
                                     const std::string& key) const;

    /// @brief Whether an entry reports an active lease holder with two standbys for every pool; in
    /// zones of fewer than three entries, with all other entries as standbys.
    [[nodiscard]] bool is_settled(std::size_t entry) const;

    /// @brief Polls `predicate` until it returns true.
    /// @return false if `timeout` passed first
    static bool wait_until(const std::function<bool()>& predicate, millis timeout = millis(15'000));

    /// @brief Index in `entries` of the entry on a VM.
    /// @throws std::runtime_error if there is none
    [[nodiscard]] std::size_t entry_index(const std::string& vm) const;

    /// @brief The process that hosts a worker.
    /// @throws std::runtime_error if there is none
    [[nodiscard]] worker_host& host_of(const std::string& worker);

    std::vector<entry_node> entries;
    std::vector<worker_host> hosts;
    std::string platform_address;
    std::optional<child_process> platform;
    std::map<std::string, std::string> worker_addresses;

  private:
    [[nodiscard]] std::string vm_list() const;

    deployment_plan m_plan;
    std::string m_bin;
    std::string m_folder;
};

/// @brief Distinct loopback addresses whose ports are free for both TCP and UDP.
[[nodiscard]] std::vector<std::string> free_addresses(std::size_t count);

} // namespace eelgrassrail::harness
