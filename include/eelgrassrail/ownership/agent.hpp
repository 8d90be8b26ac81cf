/// The ownership logic of one entry process.
///
/// It folds the log, holds leases, watches holders as a standby, claims pools, relinquishes and
/// hands over. It has no sockets and no clock: reads, messages and time come in as arguments, and
/// orders go out through `take_outputs`.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/ownership/held_pool.hpp>
#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/ownership/standby_duty.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Lengths that the agent works with.
struct agent_timing
{
    millis heartbeat{100};       ///< between two heartbeats to a standby
    millis hello{500};           ///< between two hellos to the neighbours
    millis silence{400};         ///< silence of a holder after which the first standby claims
    millis stagger{400};         ///< added for each further standby or claimer
    millis standby_silence{800}; ///< silence of a standby after which it is replaced
    millis append_retry{700};    ///< between two appends of one record
    millis vm_list_lag{5000};    ///< absence after which a VM never seen listed counts as gone
    millis vm_list_age{3000};    ///< age after which the list is no evidence
    millis isolation_patience{
        10'000};               ///< unreachable holder after which an isolation claim is made
    std::size_t standbys{2};   ///< standbys wanted for each pool
    std::size_t neighbours{8}; ///< processes that get hellos
};

/// One event for the audit trail.
struct audit_event
{
    std::string text;
};

/// Orders of the agent since the last call of `take_outputs`.
struct agent_outputs
{
    std::vector<outgoing_message> messages;
    std::vector<append_order> appends;
    std::vector<sync_order> syncs;
    std::vector<audit_event> events;
};

/// Ownership logic of one process; see the head of the file.
class ownership_agent
{
  public:
    ownership_agent(process_id self, agent_timing timing);

    /// @brief Folds one answer of the log.
    /// @param sent when the question was sent by this process
    /// @return false if records before the page are missing: a snapshot or a peer's state is needed
    bool on_log_page(const log_page& page, instant sent, instant now);

    /// @brief Takes over a state from a snapshot or a peer if it is newer than the own.
    void install(deployment_state state, instant now);

    void on_message(const lease_message& message, instant now);
    void on_vm_list(std::span<const listed_vm> vms, instant now);
    void on_append_result(const std::string& id, append_result result, instant now);

    /// @brief The candidate of a sync order is up to date, or could not be brought up to date.
    void on_synced(const sync_order& order, bool succeeded, instant now);

    /// @brief A standby misses a part of the pool's history: it must not claim by silence.
    void on_standby_failed(const pool_id& pool, const process_id& standby);

    /// @brief A request could or could not reach the holder of a pool.
    void on_holder_contact(const pool_id& pool, bool reached, instant now);

    /// @brief Time has passed; call at least every 50 ms.
    void tick(instant now);

    /// @brief The instant up to which this process may send work for the pool; in the past if not.
    [[nodiscard]] instant acts_until(const pool_id& pool) const;

    /// @brief Whether this process may send work for the pool now.
    [[nodiscard]] bool may_act(const pool_id& pool, instant now) const;

    /// @brief Tells that no work runs for the slices that tickets took from a held pool up to
    /// `as_of`; appends the release.
    void release_slices(const pool_id& pool, log_offset as_of, instant now);

    /// @brief Stops acting for the pool for good and names a standby as successor.
    /// @return false if there is no standby to hand over to; the pool is kept then
    bool hand_over(const pool_id& pool, instant now);

    /// @brief From now on the process takes no new roles.
    void stop_taking_roles() noexcept { m_stopping = true; }

    /// @brief Forgets every right to act: the process was paused for too long.
    void drop_leases();

    [[nodiscard]] agent_outputs take_outputs();
    [[nodiscard]] const deployment_state& state() const noexcept { return m_state; }
    [[nodiscard]] const process_id& self() const noexcept { return m_self; }
    [[nodiscard]] const std::map<pool_id, held_pool>& held() const noexcept { return m_held; }

    /// @brief Makes a snapshot record due now; the caller decides how often.
    void append_snapshot(instant now);

  private:
    struct open_append
    {
        append_order order;
        instant sent;
        std::optional<pool_id> claimed_pool;     ///< set for claims
        std::optional<pool_id> appointment_pool; ///< set for appointments
    };

    void reconcile(instant now);
    void begin_holding(const pool_state& pool, instant now);
    void update_duty(const pool_state& pool, instant now);
    void resolve(const std::string& id, instant now);
    std::string append(log_record::body_type body, instant now);
    void append_claim(const pool_state& pool, claim_evidence evidence, instant now);
    void retry_appends(instant now);

    void tick_held(held_pool& held, instant now);
    void keep_standbys(held_pool& held, const pool_state& pool, instant now);
    std::optional<process_id> choose_candidate(const held_pool& held, const pool_state& pool,
                                               instant now) const;
    void tick_standby(const pool_id& pool, standby_duty& duty, instant now);
    void tick_zone(instant now);
    void claim_unheld(instant now);
    void claim_abandoned(const pool_state& pool, instant now);
    void release_evacuated(instant now);
    void send_hellos(instant now);
    [[nodiscard]] bool is_gone(const std::string& vm, instant now) const;
    [[nodiscard]] int rank_in_zone(const pool_id& pool) const;
    [[nodiscard]] std::vector<std::string> zone_vms() const;
    [[nodiscard]] bool has_open_claim(const pool_id& pool) const;

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
    bool m_have_read{}; ///< at least one clean read or installed state

    std::map<pool_id, held_pool> m_held;       ///< invariant: holder in `m_state` is this process
    std::map<pool_id, standby_duty> m_duties;  ///< invariant: of the pools' current epochs
    std::map<std::string, open_append> m_open; ///< records that are not met yet, by id
    std::map<pool_id, instant> m_unheld;       ///< when a pool was first seen without a holder
    std::map<pool_id, instant> m_unreachable;  ///< since when a holder could not be reached
    std::map<pool_id, instant> m_abandoned;    ///< since when a holder is known to be gone
    std::map<std::uint64_t, instant> m_evacuations; ///< ticket offset to the end of the wait

    struct neighbour
    {
        process_id id;
        instant heard;
        bool stopping{};
    };
    std::map<std::string, neighbour> m_neighbours; ///< by vm
    std::vector<listed_vm> m_vms;
    instant m_listed_at{};                         ///< when `m_vms` was read
    std::map<std::string, bool> m_seen_listed;     ///< vms that the platform's list has shown
    std::map<std::string, instant> m_absent_since; ///< vms that the list does not show
    instant m_next_hello{};
    instant m_next_beat{};
    bool m_beat_now{};
};

} // namespace eelgrassrail
