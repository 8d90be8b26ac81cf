/// Request dispatcher of one pool, run by the pool's lease holder.
///
/// Refuses each request, answers it from the history, queues it or sends it to the server that owns
/// its slice; moves slices between the pool's servers; keeps the at-most-once table. A pure state
/// machine without I/O: the caller passes the current time and carries out the returned commands.
#pragma once

#include <eelgrassrail/requests/dispatch_commands.hpp>
#include <eelgrassrail/requests/quarantine.hpp>
#include <eelgrassrail/requests/retry_budget.hpp>
#include <eelgrassrail/requests/worker_view.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassrail
{

/// Initial state of the dispatcher of a new epoch.
struct dispatcher_state
{
    pool_id pool;
    epoch_number epoch{};
    bool history_complete{}; ///< `entries` holds every intent of earlier epochs
    std::vector<history_entry> entries;
    std::vector<slice_owner> owners;
    history_limits limits;
};

/// Cumulative counters of one dispatcher.
struct dispatch_counters
{
    std::uint64_t started{};
    std::uint64_t retried{};
    std::uint64_t moved_slices{};
    std::uint64_t lost_servers{};
    std::uint64_t late_answers{};
};

/// State machine that dispatches the requests of one pool.
class dispatcher
{
  public:
    dispatcher(dispatcher_state start, instant now);

    /// @brief Applies the service in force and the set of slices that the pool owns.
    /// @param workers ids of the pool's workers
    /// @param owned slices that the pool may serve from now on
    /// @param release_offset log offset to report in `dispatch_outputs::released` once the slices
    ///        that the pool lost have drained; empty if there is nothing to report
    void configure(const service_spec& spec, std::span<const std::string> workers,
                   std::span<const slice_index> owned, std::optional<log_offset> release_offset,
                   instant now);

    /// @brief Accepts a request; its answer follows as an `answer_command`, immediately or later.
    void submit(request_number id, const request& value, instant now);

    /// @brief Handles a complete answer of a server.
    void on_answer(request_number id, answer result, instant now);

    void on_failure(request_number id, run_failure failure, instant now);

    /// @brief Handles the disconnect of a request's caller.
    void cancel(request_number id, instant now);

    void on_probe(const std::string& server, probe_result result, instant now);
    void on_grant(const grant_command& grant, bool acknowledged, instant sent, instant now);

    /// @brief Handles the acknowledgement of all deltas up to `number` by all standbys.
    void on_replicated(std::uint64_t number, instant now);

    /// @brief Marks a server as leaving: it gets no new work and its slices move to other servers.
    void set_leaving(const std::string& server, instant now);

    /// @brief Refuses requests with a fingerprint that another process quarantined.
    void add_quarantine(std::uint64_t value, instant now) { m_quarantine.add(value, now); }

    /// @brief Starts the move of a slice to another server; it ends when the slice has drained.
    /// @param reason text for the audit trail; empty: no entry
    void begin_move(slice_index slice, const std::string& server, const std::string& reason,
                    instant now);

    /// @brief Handles timeouts, moves, probes and grants that are due; call periodically.
    /// @param lease_expiry end of the lease: no request of the pool is sent at or after this
    /// instant
    void tick(instant lease_expiry, instant now);

    /// @brief Refuses all requests not yet sent to a server and sends no more.
    void stop(instant now);

    /// @brief Whether no request is queued or running.
    [[nodiscard]] bool is_idle() const noexcept { return m_requests.empty(); }

    /// @brief Returns and clears the pending outputs.
    [[nodiscard]] dispatch_outputs take_outputs();

    /// @brief Full state for a new standby.
    [[nodiscard]] pool_delta full_state(instant now) const;

    /// @brief The server of a slice; empty if the pool does not own it or it has no server.
    [[nodiscard]] std::optional<std::string> owner_of(slice_index slice) const;
    [[nodiscard]] const std::map<std::string, worker_view>& workers() const { return m_workers; }
    [[nodiscard]] const dispatch_counters& counters() const noexcept { return m_counters; }

    /// Run time of one owned slice since the last call of `collect_loads`.
    struct slice_load
    {
        slice_index slice{};
        std::string server;
        double work_ms{};
    };
    /// @brief Returns the loads of all owned slices and resets them.
    [[nodiscard]] std::vector<slice_load> collect_loads();

  private:
    enum class progress : std::uint8_t
    {
        queued,
        held_back,   ///< waits until its slice has moved
        replicating, ///< its intent is being replicated to the standbys
        running
    };

    struct pending_request
    {
        request_number id{};
        std::string request_class;
        std::string tenant; ///< tenant and class, joined by a newline
        std::string scope;  ///< empty for idempotent classes
        std::uint64_t fingerprint{};
        std::uint32_t priority{};
        bool idempotent{};
        std::uint32_t max_run_ms{};
        slice_index slice{};
        std::string server;
        progress state{progress::queued};
        queue_position position;
        instant deadline;    ///< the caller's deadline
        instant queue_until; ///< end of the time allowed in a queue
        instant run_until;   ///< set while running
        instant started;
        unsigned attempts{};
        std::vector<request_number> duplicates; ///< retries that get the same answer
    };

    struct slice_record
    {
        bool owned{};
        bool leaving_pool{};          ///< lost to another pool, not yet reported as released
        std::string server;           ///< empty if not assigned
        std::string moving_to;        ///< target of a move; empty if not moving
        std::uint64_t commit_delta{}; ///< number of the delta that commits the move; 0: none
        std::size_t active{};         ///< requests queued, held back or running
        std::size_t running{};
        instant busy_until{}; ///< abandoned requests may still run until then
        double work_ms{};
    };

    // dispatcher.cpp: admission, queues, starts; dispatcher_results.cpp: answers and failures
    [[nodiscard]] std::optional<answer> answer_without_run(const pending_request& item,
                                                           const request& value, instant now);
    void enqueue(pending_request& item, instant now);
    void start_queued(worker_view& worker, instant now);
    void reserve(pending_request& item, worker_view& worker, instant now);
    void start(pending_request& item, instant now);
    void finish(request_number id, answer result, instant now);
    void release_slot(pending_request& item, instant now);
    void withdraw(pending_request& item);
    bool retry(pending_request& item, bool needs_budget, instant now);
    void expire_requests(instant now);
    void schedule(instant at, request_number id) { m_timers.emplace(at, id); }
    void refuse_waiting(error_kind kind, instant now);
    void record_incident(const pending_request& item, instant now);

    // dispatcher_slices.cpp: slices, replication; dispatcher_workers.cpp: servers, grants
    void update_workers(const service_spec& spec, std::span<const std::string> workers,
                        instant now);
    void assign_slices(instant now);
    void evacuate(const std::string& server, const std::string& reason, instant now);
    std::string least_loaded(const std::string& except) const;
    std::string assign_server(slice_record& slice);
    void advance_moves(instant now);
    [[nodiscard]] bool is_drained(slice_index index, const slice_record& slice, instant now) const;
    void finish_move(slice_index index, slice_record& slice, instant now);
    void report_released(instant now);
    void mark_suspect(worker_view& worker, instant now);
    void mark_lost(worker_view& worker, instant now);
    void send_grants(instant now);
    void send_probes(instant now);
    void flush_delta();

    pool_id m_pool;
    epoch_number m_epoch;
    bool m_history_complete;
    instant m_epoch_start; ///< retries within one history window may be of earlier epochs
    instant m_predecessor_busy_until{}; ///< latest end of the previous holder's unrecorded runs
    bool m_stopped{};
    instant m_lease_expiry{};
    service_spec m_spec;
    std::map<std::string, worker_view> m_workers;
    std::vector<slice_record> m_slices;
    std::vector<slice_index> m_moving; ///< slices with `moving_to` or `leaving_pool` set
    std::optional<log_offset> m_release_offset;

    std::unordered_map<request_number, pending_request> m_requests;
    std::unordered_map<request_number, request_number> m_duplicates; ///< duplicate to first request
    std::unordered_map<std::string, request_number> m_scopes;        ///< pending requests by scope
    std::map<slice_index, std::vector<request_number>> m_held_back;
    std::multimap<instant, request_number> m_timers;
    std::unordered_map<std::string, std::size_t> m_tenants; ///< in flight, by tenant and class

    history m_history;
    quarantine m_quarantine;
    retry_budget m_budget;
    pool_delta m_delta; ///< changes not yet sent
    bool m_delta_needs_ack{};
    std::uint64_t m_delta_number{};
    std::uint64_t m_grant_count{};
    std::uint64_t m_assignments{}; ///< number of calls of `assign_server` that found a server
    std::map<std::uint64_t, std::vector<request_number>> m_replicating; ///< by delta number
    std::vector<slice_owner> m_previous_owners; ///< slice map of the previous holder
    dispatch_outputs m_outputs;
    dispatch_counters m_counters;
    millis m_history_window;
};

} // namespace eelgrassrail
