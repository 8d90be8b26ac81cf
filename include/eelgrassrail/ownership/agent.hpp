/// The ownership logic of one entry process.
///
/// It folds the log, holds leases, monitors lease holders as a standby, claims pools, relinquishes
/// claims and hands pools over. It has no sockets and no clock: log pages, messages and the time
/// are passed in, and the resulting messages, appends and syncs are returned by `take_outputs`.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/ownership/held_pool.hpp>
#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/ownership/standby_role.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Intervals, timeouts and limits of the agent.
struct agent_timing
{
    millis heartbeat_interval{100}; ///< interval of heartbeats to standbys and relinquish requests
    millis hello_interval{500};     ///< interval of hellos to the neighbours
    millis holder_timeout{400};     ///< time without contact after which the first standby claims
    millis claim_stagger{400};      ///< added delay for each further standby or claimer
    millis standby_timeout{800};    ///< time without a reply after which a standby is dropped
    millis append_retry_interval{700}; ///< interval of retries until a record is read back
    millis vm_list_lag{5000};     ///< absence after which a VM that was never listed counts as gone
    millis max_vm_list_age{3000}; ///< an older list is not used as evidence
    millis isolation_timeout{10'000}; ///< time without contact before an isolation claim
    std::size_t standby_count{2};     ///< target number of standbys for each pool
    std::size_t hello_targets{8};     ///< maximum number of processes that receive hellos
};

/// One entry of the audit trail.
struct audit_event
{
    std::string text;
};

/// Actions requested by the agent since the last call of `take_outputs`.
struct agent_outputs
{
    std::vector<outgoing_message> messages;
    std::vector<append_request> appends;
    std::vector<sync_request> syncs;
    std::vector<audit_event> events;
};

/// Ownership logic of one process; see the head of the file.
class ownership_agent
{
  public:
    ownership_agent(process_id self, agent_timing timing);

    /// @brief Folds one page of the log.
    /// @param sent when this process sent the read request
    /// @return false if records before the page are missing: a snapshot or a peer's state is needed
    bool on_log_page(const log_page& page, instant sent, instant now);

    /// @brief Installs the state of a snapshot or a peer if it is newer, and drops all leases.
    void install(deployment_state state, instant now);

    void on_message(const lease_message& message, instant now);
    void on_vm_list(std::span<const listed_vm> vms, instant now);
    void on_append_result(const std::string& id, append_result result, instant now);

    /// @brief Reports the result of a sync request.
    /// @param succeeded whether the candidate is now up to date
    void on_synced(const sync_request& request, bool succeeded, instant now);

    /// @brief Reports that a standby lacks part of the pool's history, so that it is dropped.
    void on_standby_failed(const pool_id& pool, const process_id& standby);

    /// @brief Reports whether a request reached the holder of a pool.
    void on_holder_contact(const pool_id& pool, bool reached, instant now);

    /// @brief Runs everything that is due; must be called at least every 50 ms.
    void tick(instant now);

    /// @brief Time until which this process may send work for the pool; `instant::min()` if it does
    /// not hold the pool, still waits or is handing it over.
    [[nodiscard]] instant lease_expiry(const pool_id& pool) const;

    /// @brief Whether this process may send work for the pool now.
    [[nodiscard]] bool has_valid_lease(const pool_id& pool, instant now) const;

    /// @brief Appends the release of the slices that tickets moved away from a held pool before
    /// `as_of`. No work may be running for them. Does nothing for a pool that is not held.
    void release_slices(const pool_id& pool, log_offset as_of, instant now);

    /// @brief Stops acting for the pool for the rest of the epoch and names a standby as successor.
    /// @return false if the pool is not held and active, has no standby or is being handed over
    ///         already; nothing changes then
    bool hand_over(const pool_id& pool, instant now);

    /// @brief Makes the process claim no further pools and announce this to its neighbours.
    void stop_accepting_roles() noexcept { m_stopping = true; }

    /// @brief Invalidates all leases until the next clean read, e.g. after a long process pause.
    void drop_leases();

    /// @brief Returns and clears the pending actions.
    [[nodiscard]] agent_outputs take_outputs();
    [[nodiscard]] const deployment_state& state() const noexcept { return m_state; }
    [[nodiscard]] const process_id& self() const noexcept { return m_self; }
    [[nodiscard]] const std::map<pool_id, held_pool>& held() const noexcept { return m_held; }

    /// @brief Appends a snapshot record of the current state; the caller decides how often.
    void append_snapshot(instant now);

  private:
    struct pending_append
    {
        append_request request;
        instant sent;
        std::optional<pool_id> claimed_pool;     ///< set for claims
        std::optional<pool_id> appointment_pool; ///< set for appointments
        bool may_be_appended{};                  ///< the outcome of an attempt is unknown
    };

    void reconcile(instant now);
    void begin_holding(const pool_state& pool, instant now);
    void update_standby_role(const pool_state& pool, instant now);
    void resolve(const std::string& id, instant now);
    std::string append(log_record::body_type body, instant now);
    void append_claim(const pool_state& pool, claim_evidence evidence, instant now);
    void retry_appends(instant now);

    void tick_held(held_pool& held, instant now);
    void maintain_standbys(held_pool& held, const pool_state& pool, instant now);
    std::optional<process_id> choose_candidate(const held_pool& held, const pool_state& pool,
                                               instant now) const;
    void tick_standby(const pool_id& pool, standby_role& role, instant now);
    void tick_zone(instant now);
    void claim_unheld(instant now);
    void claim_abandoned(const pool_state& pool, instant now);
    void release_evacuated(instant now);
    void send_hellos(instant now);
    [[nodiscard]] bool is_gone(const std::string& vm, instant now) const;
    [[nodiscard]] int rank_in_zone(const pool_id& pool) const;
    [[nodiscard]] std::vector<std::string> zone_vms() const;
    [[nodiscard]] bool has_pending_claim(const pool_id& pool) const;

    void receive(const hello& message, instant now);
    void receive(const heartbeat& message, instant now);
    void receive(const heartbeat_reply& message, instant now);
    void receive(const relinquish_request& message, instant now);
    void receive(const relinquish_reply& message, instant now);

    process_id m_self;
    agent_timing m_timing;
    deployment_state m_state;
    agent_outputs m_outputs;
    std::uint64_t m_record_count{}; ///< makes record ids unique within this incarnation
    bool m_stopping{};
    bool m_has_read_log{}; ///< a read has reached the head of the log

    std::map<pool_id, held_pool> m_held; ///< invariant: holder in `m_state` is this process
    std::map<pool_id, standby_role> m_standby_roles; ///< invariant: of the pools' current epochs
    std::map<std::string, pending_append> m_pending_appends; ///< records not yet read back, by id
    std::map<pool_id, instant> m_unheld_since;               ///< first seen without a holder
    std::map<pool_id, instant> m_unreachable_since;          ///< holder unreachable since
    std::map<pool_id, instant> m_abandoned_since;            ///< holder and standbys gone since
    std::map<std::uint64_t, instant> m_evacuation_deadlines; ///< end of the wait, by ticket offset

    struct neighbour
    {
        process_id id;
        instant last_seen;
        bool stopping{};
    };
    std::map<std::string, neighbour> m_neighbours; ///< by vm
    std::vector<listed_vm> m_vms;
    instant m_listed_at{};                         ///< when `m_vms` was read
    std::map<std::string, bool> m_ever_listed;     ///< VMs that were in the platform's list once
    std::map<std::string, instant> m_absent_since; ///< unlisted VMs of holders and standbys
    instant m_next_hello{};
    instant m_next_heartbeat{};
    bool m_heartbeat_due{};
};

} // namespace eelgrassrail
