/// The persistent record of key ownership. It is written before any grant that it permits is sent.
#pragma once

#include <eelgrassrail/dissemination/cluster_member.hpp>
#include <eelgrassrail/grants/key_map.hpp>
#include <eelgrassrail/grants/lease_times.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Identifies the process that holds the coordinator role.
struct coordinator_identity
{
    std::string address; ///< IP:PORT for peers; empty: no coordinator
    std::string zone;
    std::uint64_t born_ms{}; ///< start time of the process, Unix ms

    bool operator==(const coordinator_identity&) const = default;
};
BOOST_DESCRIBE_STRUCT(coordinator_identity, (), (address, zone, born_ms))

/// The slices of one service.
struct service_slices
{
    std::string service;
    std::vector<key_slice> slices; ///< sorted by key; other keys have no owner
};
BOOST_DESCRIBE_STRUCT(service_slices, (), (service, slices))

/// The complete ownership state at one version.
struct ownership_record
{
    coordinator_identity coordinator;
    std::uint64_t version{}; ///< epoch in the upper 32 bits, changes within it in the lower 32
    std::vector<service_slices> services;
    std::vector<cluster_member> members; ///< processes that a successor notifies at once; in a very
                                         ///< large deployment only a part of them

    /// @brief Assigns the state of a slice to its range of keys, adding the service if needed.
    void assign_slice(const std::string& service, const key_slice& slice);

    /// @brief Replaces the lease times. They are kept as a service without slices: earlier versions
    /// reject a record with further members, but skip such a service.
    void set_lease_times(const lease_times& times);

    /// @brief The lease times; empty in a record of an earlier version.
    [[nodiscard]] std::optional<lease_times> find_lease_times() const;
};
BOOST_DESCRIBE_STRUCT(ownership_record, (), (coordinator, version, services, members))

/// Number of bits of the version that count the changes within an epoch.
constexpr unsigned epoch_shift = 32;

/// @brief The first version of the epoch that follows that of `version`.
[[nodiscard]] constexpr std::uint64_t next_epoch(std::uint64_t version) noexcept
{
    return ((version >> epoch_shift) + 1) << epoch_shift;
}

} // namespace eelgrassrail
