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

    /// @brief Sets the time for which nothing may be granted, since owners may be missing here.
    /// Kept in the same way; 0 removes it.
    void set_grant_hold(millis time);

    /// @brief The time from the reading of the record for which nothing may be granted.
    [[nodiscard]] millis find_grant_hold() const;

    /// @brief The lease times; empty in a record of an earlier version.
    [[nodiscard]] std::optional<lease_times> find_lease_times() const;
};
BOOST_DESCRIBE_STRUCT(ownership_record, (), (coordinator, version, services, members))

/// Number of bits of the version that count the changes within an epoch.
constexpr unsigned epoch_shift = 32;

/// Bits of an epoch that count the epochs within an era of the store; the era is in the bits above.
constexpr unsigned epoch_era_shift = 20;

/// @brief The era of the store in which a version was recorded.
[[nodiscard]] constexpr std::uint64_t epoch_era(std::uint64_t version) noexcept
{
    return version >> (epoch_shift + epoch_era_shift);
}

/// @brief The first version of the epoch that follows that of `version`.
[[nodiscard]] constexpr std::uint64_t next_epoch(std::uint64_t version) noexcept
{
    return ((version >> epoch_shift) + 1) << epoch_shift;
}

/// @brief The first version of an epoch that follows that of `version` and all epochs of earlier
/// eras: records of some of them may be gone.
[[nodiscard]] constexpr std::uint64_t first_version_of(std::uint64_t era,
                                                       std::uint64_t version) noexcept
{
    const auto first = era << (epoch_shift + epoch_era_shift);
    return next_epoch(version) < first ? first : next_epoch(version);
}

} // namespace eelgrassrail
