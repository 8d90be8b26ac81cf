/// The record of who may own keys. It is written before any grant that it allows is sent.
#pragma once

#include <eelgrassrail/dissemination/news_member.hpp>
#include <eelgrassrail/grants/key_map.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// The process that coordinates ownership.
struct coordinator_identity
{
    std::string address; ///< IP:PORT for peers; empty: nobody
    std::string zone;
    std::uint64_t born_ms{}; ///< Unix ms of the start of the process

    bool operator==(const coordinator_identity&) const = default;
};
BOOST_DESCRIBE_STRUCT(coordinator_identity, (), (address, zone, born_ms))

/// The slices of one service.
struct service_slices
{
    std::string service;
    std::vector<key_slice> slices; ///< in the order of keys; the rest belongs to nobody
};
BOOST_DESCRIBE_STRUCT(service_slices, (), (service, slices))

/// The whole ownership at one version.
struct ownership_record
{
    coordinator_identity coordinator;
    std::uint64_t version{}; ///< epoch in the upper half, changes of the epoch in the lower one
    std::vector<service_slices> services;
    std::vector<news_member> members; ///< processes that a successor tells at once; not all of very
                                      ///< many

    /// @brief Replaces the state of a range of keys.
    void paint(const std::string& service, const key_slice& slice);
};
BOOST_DESCRIBE_STRUCT(ownership_record, (), (coordinator, version, services, members))

/// Bits of the version that count the changes within an epoch.
constexpr unsigned epoch_shift = 32;

/// @brief The first version of the epoch after a version.
[[nodiscard]] constexpr std::uint64_t next_epoch(std::uint64_t version) noexcept
{
    return ((version >> epoch_shift) + 1) << epoch_shift;
}

} // namespace eelgrassrail
