/// Dispatch of one pool by its lease holder.
///
/// Decides for each request whether it is refused, answered from the history, queued or sent to the
/// server that owns its slice; moves slices between the pool's servers; keeps the at-most-once
/// table. It has no sockets and no clock.
#pragma once

#include <eelgrassrail/requests/dispatch_orders.hpp>
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

/// What the dispatcher of a new epoch starts from.
struct dispatch_start
{
    pool_id pool;
    epoch_number epoch{};
    bool history_complete{}; ///< every intent of earlier epochs is in `entries`
    std::vector<history_entry> entries;
    std::vector<slice_owner> owners;
    history_limits limits;
};

/// Counters of one dispatcher, for metrics and reports.
struct dispatch_counters
{
    std::uint64_t started{};
    std::uint64_t retried{};
    std::uint64_t moved_slices{};
    std::uint64_t lost_servers{};
    std::uint64_t late_answers{};
};

/// Decisions of one pool; see the head of the file.
class dispatcher
{
  public:
    dispatcher(dispatch_start start, instant now);

    /// @brief Takes over the ticket in force and the slices that the pool owns.
    /// @param workers ids of the pool's workers
    /// @param owned slices that the pool may serve now
    /// @param lost_as_of offset up to which lost slices shall be reported as released, if any are
    ///        pending
    void configure(const service_spec& spec, std::span<const std::string> workers,
                   std::span<const slice_index> owned, std::optional<log_offset> lost_as_of,
                   instant now);

    /// @brief A request arrives; its answer comes as an `answer_order`, at once or later.
    void submit(request_number id, const request& value, instant now);

    /// @brief A server gave a whole answer.
    void on_answer(request_number id, answer result, instant now);

    void on_failure(request_number id, run_failure failure, instant now);

    /// @brief The caller is gone.
    void cancel(request_number id, instant now);

    void on_probe(const std::string& server, probe_result result, instant now);
    void on_grant(const grant_order& grant, bool acknowledged, instant sent, instant now);

    /// @brief All standbys have the delta.
    void on_replicated(std::uint64_t number, instant now);

    /// @brief The platform's list or a peer says that a server is leaving.
    void set_leaving(const std::string& server, instant now);

    /// @brief Another process has put a request into quarantine.
    void add_quarantine(std::uint64_t value, instant now) { m_quarantine.add(value, now); }

    /// @brief Moves a slice to another server of the pool once its work has drained.
    void begin_move(slice_index slice, const std::string& server, const std::string& reason,
                    instant now);

    /// @brief Time has passed.
    /// @param acts_until end of the right to send work for this pool
    void tick(instant acts_until, instant now);

    /// @brief Refuses everything that has not been sent to a server; nothing new is sent.
    void stop(instant now);

    /// @brief Whether no request is queued or running.
    [[nodiscard]] bool is_idle() const noexcept { return m_requests.empty(); }

    [[nodiscard]] dispatch_outputs take_outputs();

    /// @brief Everything a new standby needs.
    [[nodiscard]] pool_delta whole_state(instant now) const;

    [[nodiscard]] std::optional<std::string> owner_of(slice_index slice) const;
    [[nodiscard]] const std::map<std::string, worker_view>& workers() const { return m_workers; }
    [[nodiscard]] const dispatch_counters& counters() const noexcept { return m_counters; }

    /// @brief Work time of each owned slice since the last call, in ms, with its server.
    struct slice_load
    {
        slice_index slice{};
        std::string server;
        double work_ms{};
    };
    [[nodiscard]] std::vector<slice_load> take_loads();

  private:
    enum class progress : std::uint8_t
    {
        queued,
        held_back,   ///< its slice is moving
        replicating, ///< its intent is on the way to the standbys
        running
    };

    struct pending_request
    {
        request_number id{};
        std::string request_class;
        std::string tenant;
        std::string scope; ///< empty for idempotent classes
        std::uint64_t fingerprint{};
        std::uint32_t priority{};
        bool idempotent{};
        std::uint32_t max_run_ms{};
        slice_index slice{};
        std::string server;
        progress state{progress::queued};
        queue_position place;
        instant deadline;    ///< of the caller
        instant queue_until; ///< no longer in a queue than this
        instant run_until;   ///< set while running
        instant started;
        unsigned attempts{};
        std::vector<request_number> followers; ///< repeats that get the same answer
    };

    struct slice_record
    {
        bool owned{};
        bool leaving_pool{}; ///< lost to another pool; not yet reported as released
        std::string server;  ///< empty: none yet
        std::string moving_to;
        std::uint64_t committing{}; ///< number of the delta that carries the move; 0: none
        std::size_t active{};       ///< requests queued, held back or running
        std::size_t running{};
        instant busy_until{}; ///< work that was given up may run until then
        double work_ms{};
    };

    // dispatcher.cpp: admission, queues, starts; dispatcher_results.cpp: how runs end
    [[nodiscard]] std::optional<answer> answer_without_run(const pending_request& item,
                                                           const request& value, instant now);
    void enqueue(pending_request& item, instant now);
    void pump(worker_view& worker, instant now);
    void reserve(pending_request& item, worker_view& worker, instant now);
    void start(pending_request& item, instant now);
    void finish(request_number id, answer result, instant now);
    void leave_server(pending_request& item, instant now);
    void withdraw(pending_request& item);
    bool retry(pending_request& item, bool needs_budget, instant now);
    void expire_requests(instant now);
    void schedule(instant at, request_number id) { m_timers.emplace(at, id); }
    void refuse_waiting(error_kind kind, instant now);
    void strike(const pending_request& item, instant now);

    // dispatcher_slices.cpp: slices, replication; dispatcher_workers.cpp: servers, grants
    void update_workers(const service_spec& spec, std::span<const std::string> workers,
                        instant now);
    void spread_slices(instant now);
    void evacuate(const std::string& server, const std::string& reason, instant now);
    std::string least_loaded(const std::string& except) const;
    std::string bind(slice_record& slice);
    void advance_moves(instant now);
    [[nodiscard]] bool is_drained(slice_index index, const slice_record& slice, instant now) const;
    void finish_move(slice_index index, slice_record& slice, instant now);
    void report_released(instant now);
    void suspect(worker_view& worker, instant now);
    void lose(worker_view& worker, instant now);
    void send_grants(instant now);
    void send_probes(instant now);
    void flush_delta();

    pool_id m_pool;
    epoch_number m_epoch;
    bool m_history_complete;
    instant m_history_known_from; ///< a repeat can not be older than the window after this
    instant m_hold_until{};       ///< unrecorded work of the former holder may run until then
    bool m_stopped{};
    instant m_acts_until{};
    service_spec m_spec;
    std::map<std::string, worker_view> m_workers;
    std::vector<slice_record> m_slices;
    std::vector<slice_index> m_moving; ///< slices with `moving_to` or `leaving_pool`
    std::optional<log_offset> m_lost_as_of;

    std::unordered_map<request_number, pending_request> m_requests;
    std::unordered_map<request_number, request_number> m_followers; ///< follower to first
    std::unordered_map<std::string, request_number> m_scopes;       ///< pending requests by scope
    std::map<slice_index, std::vector<request_number>> m_held_back;
    std::multimap<instant, request_number> m_timers;
    std::unordered_map<std::string, std::size_t> m_tenants; ///< in flight, by tenant and class

    history m_history;
    quarantine m_quarantine;
    retry_budget m_budget;
    pool_delta m_delta; ///< changes since the last delta
    bool m_delta_needs_ack{};
    std::uint64_t m_delta_number{};
    std::uint64_t m_grant_count{};
    std::uint64_t m_bindings{}; ///< choices of a server for an idle slice
    std::map<std::uint64_t, std::vector<request_number>> m_replicating; ///< by delta number
    std::vector<slice_owner> m_inherited; ///< server map of the former holder
    dispatch_outputs m_outputs;
    dispatch_counters m_counters;
    millis m_history_window;
};

} // namespace eelgrassrail
