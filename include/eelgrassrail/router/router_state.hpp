/// Local view of the cluster state in one process of the router, with its age.
#pragma once

#include <eelgrassrail/grants/key_map.hpp>
#include <eelgrassrail/limits/limit_table.hpp>
#include <eelgrassrail/observe/metrics.hpp>
#include <eelgrassrail/registry/evacuated_zones.hpp>
#include <eelgrassrail/registry/worker_feed.hpp>
#include <eelgrassrail/requests/quarantine.hpp>
#include <eelgrassrail/router/change_signal.hpp>
#include <eelgrassrail/router/crash_message.hpp>
#include <eelgrassrail/router/platform_calls.hpp>
#include <eelgrassrail/router/router_message.hpp>
#include <eelgrassrail/router/router_settings.hpp>
#include <eelgrassrail/router/wire_format.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

using service_maps = std::map<std::string, key_map, std::less<>>; ///< by service

/// Routes, workers and ownership as known to this process. Used by one thread only.
class router_state
{
  public:
    router_state(const boost::asio::any_io_executor& executor, router_settings settings,
                 platform_calls calls, wire_format format);

    /// @brief Applies a desired state if it is newer than the one in force.
    /// @param text as the platform's store holds it; if it can not be decoded, an error is logged
    /// @return whether this version is in force now; false if it is older or can not be decoded
    bool apply_routes(const std::string& text);

    /// @brief Applies an ownership record if its version is newer.
    void apply_ownership(const ownership_record& record);

    /// @brief Applies the newest record of the stream, even if later changes of its epoch were
    /// received, or a later epoch that is not on record (from an earlier version of the program).
    /// The version may decrease.
    void adopt_record(const ownership_record& record);

    /// @brief Assigns one slice and raises the version to the given one if that is higher.
    void apply_slice(const slice_change& change);

    /// @brief Sets the version of `maps`.
    void set_ownership_version(std::uint64_t version);

    /// @brief Applies a push of the coordinator; one of an earlier coordinator is ignored.
    /// @return false if changes are missing and a full copy is needed
    bool apply_push(const coordinator_push& push, instant now);

    /// @brief Records that this process has read the workers' stream up to `workers.end_offset()`.
    void on_workers_read();

    /// @brief Merges a full copy of another process's state; newer versions win.
    void merge_copy(const state_copy& copy, instant now);

    /// @brief Marks a worker as leaving if its answer says so.
    void observe_leaving(const worker_incarnation& worker, const http_reply& answer, instant now);

    /// @brief Marks the workers that the coordinator has announced as leaving.
    void apply_leaving(std::span<const worker_incarnation> announced, instant now);

    /// @brief Applies the crashes that the coordinator has announced.
    void apply_crashes(std::span<const aged_crash> announced, instant now);

    /// @brief Applies changes of evacuations that were read or announced.
    void apply_evacuations(std::span<const zone_evacuation> changes, instant now);

    /// @brief Applies a complete listing of the evacuations in force.
    /// @param end offset before which the listing is complete
    void apply_evacuation_listing(std::span<const zone_evacuation> listing, std::uint64_t end,
                                  instant now);

    /// @brief Whether a worker may get requests: it accepts work and its zone is not evacuated.
    /// Requests for keys that it owns may follow for some time while these move.
    [[nodiscard]] bool may_use(const known_worker& worker, bool is_sharded, instant now) const;

    /// @brief The rate limit or pace of a worker, the lower one; std::nullopt if it has neither.
    [[nodiscard]] std::optional<double> rate_limit_of(std::string_view worker) const;

    /// @brief The later end of the last denials of a permit for the worker's limit and its pace.
    [[nodiscard]] permit_decision last_denial(std::string_view worker, instant now) const;

    /// @brief Paces a worker of a service that states a rate for cold workers, until the
    /// coordinator announces its pace.
    void presume_pace(const std::string& worker, const service_settings& service, instant now);

    /// @brief A full copy of this state, for another process.
    [[nodiscard]] state_copy make_copy(instant now) const;
    /// @brief An ownership record of the current coordinator and version, with the given owners.
    [[nodiscard]] ownership_record make_record(const service_maps& owners) const;

    /// @brief The live processes that fit into an ownership record.
    [[nodiscard]] std::vector<cluster_member> recorded_members() const;

    /// @brief Whether routes are known and the streams were recently read to their ends, here or in
    /// the process that the state came from.
    [[nodiscard]] bool is_fresh(instant now) const;

    /// @brief Time since the streams were last read to their ends, in ms.
    [[nodiscard]] std::uint32_t age_ms(instant now) const;

    /// @brief Whether the latest known ownership record names this process as coordinator.
    [[nodiscard]] bool is_coordinator() const { return coordinator == self; }

    /// @brief Whether this is one of the processes that read the store for their availability zone
    /// while the coordinator can not. If hundreds of processes all read it, the load is too high.
    /// True if this process is not among the known members.
    [[nodiscard]] bool reads_for_zone() const;

    /// @brief Whether routes and workers are known, so that requests can be served.
    [[nodiscard]] bool can_serve() const { return routes != nullptr && !workers_unknown; }

  private:
    void assign(const slice_change& change);
    void on_evacuation_changed(const std::string& zone, instant now);

  public:
    router_settings settings;
    const platform_calls calls;
    const wire_format format;
    const coordinator_identity self;
    const instant started;

    std::shared_ptr<const route_table> routes; ///< null: none known; versions only increase
    std::string routes_text;                   ///< of `routes`, as the store holds it
    worker_registry workers;
    worker_feed feed; ///< of this process's own reads of the workers' stream
    evacuated_zones evacuations;
    bool workers_unknown{true}; ///< no read of the workers' stream or copy yet
    service_maps maps;          ///< owners of the keys
    /// Of `maps`; epoch in the upper bits. Invariant: the epoch is on record, with `coordinator`;
    /// a claim or resignation changes nothing here before it is on record.
    std::uint64_t ownership_version{};
    std::uint64_t max_ownership_version{}; ///< highest value of `ownership_version` so far
    coordinator_identity coordinator;      ///< named in the latest known record
    instant coordinator_since{};           ///< when this process learned of `coordinator`
    instant fresh_at{};                    ///< when the streams were last read to their ends
    instant last_push{};                   ///< when the last push of `coordinator` arrived
    instant store_lost_since{};  ///< since when `coordinator` can not reach the store; none: it can
    instant store_answered_at{}; ///< when the store last answered this process
    instant store_unreachable_since{}; ///< since when it has not answered; none: it answers
    std::uint64_t push_revision{};     ///< last applied registry revision of `push_sender`
    coordinator_identity push_sender;  ///< process whose registry `push_revision` refers to
    /// End of what `workers` has beyond the coordinator's registry, from reads of other processes
    /// or of an earlier coordinator; 0: nothing. It may contain workers that the coordinator has
    /// never known, if the store has deleted both their entries and their removals. So once the
    /// coordinator has read as far, a copy of its registry is needed; its pushes do not tell.
    std::uint64_t unconfirmed_end{};
    std::vector<cluster_member> members;                          ///< live processes in claim order
    std::map<std::string, worker_load, std::less<>> worker_loads; ///< by worker id
    limit_table limits;                                           ///< rate limits that workers name
    quarantine crashes;                                           ///< of workers, by request
    limit_table paces; ///< of workers that have started or recovered lately
    bool is_leaving{};
    change_signal changed; ///< notified when routes, workers or ownership change
    metrics counters;
};

} // namespace eelgrassrail
