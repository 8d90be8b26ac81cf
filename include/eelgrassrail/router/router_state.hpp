/// What one process of the router believes, and how old it is.
#pragma once

#include <eelgrassrail/grants/key_map.hpp>
#include <eelgrassrail/observe/metrics.hpp>
#include <eelgrassrail/registry/worker_registry.hpp>
#include <eelgrassrail/router/change_signal.hpp>
#include <eelgrassrail/router/platform_calls.hpp>
#include <eelgrassrail/router/router_message.hpp>
#include <eelgrassrail/router/router_settings.hpp>
#include <eelgrassrail/router/wire_format.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassrail
{

using service_maps = std::map<std::string, key_map, std::less<>>; ///< by service

/// The beliefs of one process; one thread reads and changes them.
class router_state
{
  public:
    router_state(const boost::asio::any_io_executor& executor, router_settings settings,
                 platform_calls calls, wire_format format);

    /// @brief Takes a desired state if it is newer than the one in force.
    /// @return whether it is in force now; false also if it can not be read
    bool take_routes(const std::string& text);

    /// @brief Takes an ownership record if it is newer.
    void take_ownership(const ownership_record& record);

    /// @brief Takes an ownership record also if later changes were heard, unless its epoch is
    /// older.
    void adopt_record(const ownership_record& record);

    /// @brief Paints one slice and counts the version up to the given one.
    void take_slice(const slice_change& change);

    /// @brief Takes the coordinator's news.
    /// @return false if changes are missing and a whole copy is needed
    bool take_push(const coordinator_push& push, instant now);

    /// @brief Takes a whole copy of another process's state.
    void take_copy(const state_copy& copy, instant now);

    [[nodiscard]] state_copy make_copy(instant now) const;
    /// @brief The record of the duty as it is, with the given owners.
    [[nodiscard]] ownership_record make_record(const service_maps& given) const;

    /// @brief Whether the streams were read to their ends lately, here or at the coordinator.
    [[nodiscard]] bool is_fresh(instant now) const;

    /// @brief Age of the state in ms.
    [[nodiscard]] std::uint32_t age_ms(instant now) const;

    /// @brief Whether this process is the coordinator on record.
    [[nodiscard]] bool is_coordinator() const { return coordinator == self; }

    /// @brief Whether this is one of the processes that read the store for their availability zone
    /// while the coordinator can not. With hundreds of processes all of them are too many.
    [[nodiscard]] bool reads_for_zone() const;

    /// @brief The state allows requests to be served.
    [[nodiscard]] bool can_serve() const { return routes != nullptr && !workers_unknown; }

  private:
    void paint(const slice_change& change);

  public:
    router_settings settings;
    const platform_calls calls;
    const wire_format format;
    const coordinator_identity self;
    const instant started;

    std::shared_ptr<const route_table> routes; ///< empty: none is known; versions only rise
    std::string routes_text;                   ///< of `routes`, as the store holds it
    worker_registry workers;
    bool workers_unknown{true};        ///< the workers' stream was never read
    service_maps maps;                 ///< who owns which keys
    std::uint64_t ownership_version{}; ///< of `maps`; never falls
    coordinator_identity coordinator;  ///< on record
    instant coordinator_since{};       ///< it is on record here since then
    instant fresh_at{};                ///< the streams were read to their ends
    instant last_push{};               ///< from the coordinator on record
    instant successor_wanted{}; ///< the coordinator lacks the store since then; none: it does not
    instant store_served_at{};  ///< the store last answered this process
    instant store_lost_at{};    ///< it has not answered since then; none: it does
    std::uint64_t push_revision{};    ///< workers' revision of the coordinator that was applied
    coordinator_identity push_sender; ///< whose revisions are counted
    std::vector<news_member> members; ///< all processes that live, in the order of their claims
    std::map<std::string, worker_use, std::less<>> use; ///< by worker id
    bool is_leaving{};
    change_signal changed; ///< routes, workers or ownership have changed
    metrics counters;
};

} // namespace eelgrassrail
