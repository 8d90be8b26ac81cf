/// The coordinator role: assigns keys to workers and disseminates the cluster state.
///
/// One process holds the role, by a record in the ownership stream that supersedes the previous
/// holder's. Each change of ownership is a record in that stream. It is appended conditionally on
/// the stream end that this process last observed, and before the first grant that depends on it is
/// sent. A coordinator that was replaced and does not know it yet can therefore only renew the
/// recorded grants, with fencing tokens lower than its successor's.
///
/// Each record states how long leases of earlier epochs may last. A successor grants the keys of a
/// worker that it can not reach only after these leases, and those of the coordinator on record,
/// have ended.
#pragma once

#include <eelgrassrail/grants/admission_ratio_controller.hpp>
#include <eelgrassrail/grants/claim_policy.hpp>
#include <eelgrassrail/grants/coordinator_term.hpp>
#include <eelgrassrail/grants/grant_table.hpp>
#include <eelgrassrail/grants/key_balancer.hpp>
#include <eelgrassrail/grants/key_load.hpp>
#include <eelgrassrail/grants/worker_speed.hpp>
#include <eelgrassrail/limits/pace_controller.hpp>
#include <eelgrassrail/limits/permit_ledger.hpp>
#include <eelgrassrail/router/coordinator_channels.hpp>
#include <eelgrassrail/router/permit_message.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace eelgrassrail
{

/// Runs in each process; active only in the one that holds the coordinator role.
class key_coordinator
{
  public:
    key_coordinator(boost::asio::any_io_executor executor, router_state& state,
                    coordinator_channels channels);

    void start();

    /// @brief Resigns the coordinator role, so that another process claims it at once. Does nothing
    /// in a process that does not hold it.
    boost::asio::awaitable<void> resign();

    /// @brief Merges a report from another process; ignored while this process is not active.
    void handle_report(const entry_report& report, instant now);

    /// @brief Applies what a process has observed of a worker's rate limit, and decides on a permit
    /// if one is requested.
    /// @return nothing while this process is not active
    std::optional<permit_reply> handle_permit_request(const permit_request& request, instant now);

    /// @brief Marks workers that have said in an answer that they are leaving, moves their keys and
    /// notifies all processes; does nothing while this process is not active.
    void handle_leaving(std::span<const worker_incarnation> workers, instant now);

    /// @brief Applies crashes that processes report, this one included, and announces them.
    void handle_crashes(std::span<const crash_report> crashes, instant now);

    /// @brief Whether this process holds the coordinator role and knows of no successor.
    [[nodiscard]] bool is_active() const noexcept { return m_term.is_active(); }

  private:
    /// State of one process that reports here for itself and for the processes that it relays for.
    struct reporter
    {
        instant last_report{};
        std::map<std::string, std::uint32_t, std::less<>> in_flight; ///< by worker id
    };

    /// Aggregate of all reports on one worker.
    struct worker_record
    {
        worker_speed speed;
        double failure_rate{};
        std::uint64_t called_born_ms{}; ///< incarnation that the next three members are about
        instant last_answer{};          ///< last answer to a grant or release; none: no answer yet
        instant other_answered{}; ///< when a worker with another id last answered at its address
        std::size_t consecutive_refusals{};   ///< consecutive connections that it refused
        std::uint32_t in_flight{};            ///< sum over all reporters
        double admissible{1.0};               ///< part of the demand that its rate limit may admit
        double capacity{};                    ///< requests per second, as used by the last plan
        admission_ratio_controller admission; ///< admission ratio of the requests for its keys
        worker_load last_pushed;              ///< as last pushed
    };

    /// The pace of one incarnation of a worker.
    struct paced_worker
    {
        worker_incarnation life;
        pace_controller pace;
        instant presumed_at{}; ///< taken for cold without knowing; none: its entry says so
    };

    /// A permit, for requests that are repeated because the reply was lost or late.
    struct issued_permit
    {
        std::string sender;
        std::uint64_t id{};
        instant at{};
    };

    /// Transfer of one range of keys to a new owner.
    struct key_move
    {
        std::string service;
        key_slice slice; ///< owner and previous owner
        std::uint64_t fence{};
        std::uint64_t epoch{}; ///< the move is dropped once another epoch has begun
        bool is_balancing{};   ///< between live workers; others may wait for a lease to expire
    };

    /// How the previous owner of a moved range stopped holding it.
    struct released_source
    {
        std::string handover;    ///< in the answer to the release; empty if there is none
        const char* why{"none"}; ///< "released", "replaced" (another one answers at its
                                 ///< address), "expired", or "none": it held nothing
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> load_owners();
    boost::asio::awaitable<void> watch_stream();
    boost::asio::awaitable<void> claim();
    boost::asio::awaitable<void> append_claim(std::optional<recorded_ownership> base,
                                              std::uint64_t stream_end);
    boost::asio::awaitable<bool> append_record(ownership_record record, const char* why);
    boost::asio::awaitable<void> plan_all();
    boost::asio::awaitable<void> move_keys(key_move move);
    boost::asio::awaitable<released_source> release_source(const key_move& move);
    boost::asio::awaitable<bool> grant_to_target(const key_move& move, const std::string& handover);
    boost::asio::awaitable<void> renew(worker_entry worker, std::string service);
    boost::asio::awaitable<http_exchange> call_worker(const worker_entry& worker, http_call call,
                                                      exchange_options options,
                                                      std::function<bool(instant)> may_write);
    boost::asio::awaitable<void> verify_role();
    boost::asio::awaitable<append_outcome> append_resignation(ownership_record record);
    boost::asio::awaitable<void> delay(millis time);

    [[nodiscard]] std::vector<key_move> plan_moves(instant now);
    void start_move(key_move move);
    [[nodiscard]] std::optional<recorded_ownership> read_recorded(const stream_page& newest,
                                                                  bool& is_readable) const;
    void start_coordinating(const ownership_record& record, const coordinator_identity& before,
                            instant confirmed_at, instant earlier_leases_until,
                            instant grants_from = {});
    boost::asio::awaitable<void> record_after_restore(stream_page newest,
                                                      std::optional<recorded_ownership> base);
    [[nodiscard]] bool use_known_owners(std::optional<recorded_ownership>& base,
                                        std::uint64_t stream_end) const;
    [[nodiscard]] bool continue_own_claim(const recorded_ownership& base, const stream_page& newest,
                                          instant call_start);
    [[nodiscard]] bool states_old_lease_times(instant now) const;
    void step_down(const char* why);
    void on_recorded(const ownership_record& record);
    void renew_all(instant now);
    void push_state(instant now);
    void schedule_push();
    void restart_permits(instant now);
    permit_decision issue_permit(const permit_request& request, instant now);
    void announce_limits(instant now);
    void start_paces(instant now);
    void start_pace(const known_worker& worker, instant cold_until, instant now);
    void presume_cold(const known_worker& worker, instant now);
    void update_paces(instant now);
    void add_to_pace(const worker_report& report);
    void announce_paces(instant now);
    void update_evacuations(instant now);
    void announce_evacuations(instant now);
    [[nodiscard]] double usual_ms(std::string_view service) const;
    void announce_leaving(instant now);
    void announce_crashes(instant now);
    [[nodiscard]] std::vector<cluster_member> live_members(instant now) const;
    [[nodiscard]] cluster_member own_member() const;
    void resume_moves();
    void fetch_fresher_copy(const entry_report& report, instant now);
    void record_exchange(const worker_entry& worker, const http_exchange& exchange, instant now);
    [[nodiscard]] std::vector<worker_load> collect_worker_loads(std::uint64_t push_count,
                                                                instant now);
    void update_admission();
    void set_in_flight(reporter& sender, const std::vector<worker_report>& workers);
    [[nodiscard]] bool may_grant(instant now) const;
    [[nodiscard]] bool holds_role() const;
    [[nodiscard]] ownership_record make_record(const service_maps& owners, instant now) const;
    [[nodiscard]] bool is_current(const key_move& move) const;
    [[nodiscard]] bool is_registered_at(const worker_incarnation& worker,
                                        const std::string& address) const;
    [[nodiscard]] bool is_unchanged(const std::string& service, const key_slice& slice) const;
    [[nodiscard]] std::vector<key_worker> eligible_workers(const std::string& service, instant now);
    [[nodiscard]] coordinator_evidence evidence(instant now) const;
    [[nodiscard]] std::uint64_t epoch() const;
    void assign_slice(const std::string& service, const key_slice& slice);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    const coordinator_channels m_channels;
    grant_table m_grants;
    coordinator_term m_term;
    bool m_is_planning{};
    std::uint64_t m_stream_end{}; ///< of the ownership stream, as last observed
    millis m_recorded_earlier{};  ///< leases of earlier epochs, as the last record states them
    instant m_next_plan{};
    instant m_next_push{};
    instant m_last_push{};
    instant m_next_renewal{};
    instant m_next_claim{};
    instant m_next_copy{};
    instant m_last_move{};
    std::uint64_t m_recorded_version{}; ///< version of the last record
    std::uint64_t m_changed_version{};  ///< version of the last change of an owner
    std::uint64_t m_push_base{};        ///< version before the first change in `m_changes`
    std::deque<std::pair<instant, slice_change>>
        m_changes; ///< recent, repeated for processes that missed a push
    std::deque<std::pair<instant, std::uint64_t>>
        m_revisions; ///< registry revision at each recent push
    std::map<std::string, reporter, std::less<>> m_reporters; ///< by address
    member_table m_members;
    std::vector<cluster_member> m_pushed_members;                ///< as last pushed
    std::map<std::string, worker_record, std::less<>> m_workers; ///< by id
    std::map<std::string, double, std::less<>> m_usual_ms;       ///< median run times, by service
    std::map<std::string, key_load, std::less<>> m_loads;        ///< by service
    std::vector<std::pair<instant, crash_report>> m_crashes;
    std::size_t m_active_moves{};       ///< moves in progress
    std::size_t m_balancing_moves{};    ///< those in progress between live workers
    std::uint64_t m_push_count{};       ///< number of pushes sent
    permit_ledger m_permits;            ///< of workers with a rate limit
    std::deque<issued_permit> m_issued; ///< recent ones
    std::map<std::string, paced_worker, std::less<>> m_paces; ///< by id
    permit_ledger m_pace_permits;                             ///< of the workers in `m_paces`
    relay_choice m_paces_tree{relay_choice::gathering};       ///< of the last announcement
    std::vector<zone_evacuation> m_evacuations;               ///< as last announced
    relay_choice m_evacuations_tree{relay_choice::gathering}; ///< of the last announcement
    instant m_paces_changed{}; ///< when a worker was last added or removed
    instant m_coordinating_since{};
    instant m_limits_changed{};
    bool m_announces_now{}; ///< the limits are announced with the next push
    relay_choice m_limits_tree{relay_choice::gathering};  ///< of the last announcement
    bool m_announces_leaving{};                           ///< with the next push
    relay_choice m_leaving_tree{relay_choice::gathering}; ///< of the last announcement
    bool m_announces_crashes{};                           ///< with the next push
    relay_choice m_crashes_tree{relay_choice::gathering}; ///< of the last announcement
};

} // namespace eelgrassrail
