/// Names of the things that decisions speak about: processes, pools, slices, fencing tokens.
#pragma once

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Position of a record in the platform's log.
using log_offset = std::uint64_t;

/// Number of an accepted ticket; 0 means that no ticket is in force.
using ticket_number = std::uint64_t;

/// Epoch of a pool: the offset of the record that appointed its lease holder, plus one.
/// 0 means that the pool never had a holder.
using epoch_number = std::uint64_t;

/// One run of an entry process. The same VM with a new process has another incarnation.
struct process_id
{
    std::string vm;
    std::uint64_t incarnation{};
    std::string zone;
    std::string address; ///< host:port for peers, TCP and UDP

    auto operator<=>(const process_id&) const = default;
};
BOOST_DESCRIBE_STRUCT(process_id, (), (vm, incarnation, zone, address))

/// Up to 16 backend servers of one service in one availability zone.
struct pool_id
{
    std::string service;
    std::string zone;
    std::uint32_t index{};

    auto operator<=>(const pool_id&) const = default;
};
BOOST_DESCRIBE_STRUCT(pool_id, (), (service, zone, index))

/// @brief `service/zone/index`, as it stands in logs and in the operators' client.
[[nodiscard]] inline std::string to_text(const pool_id& id)
{
    return id.service + "/" + id.zone + "/" + std::to_string(id.index);
}

/// Totally ordered right to give orders to a backend server.
struct fencing_token
{
    epoch_number epoch{};    ///< epoch of the pool's lease holder
    std::uint64_t counter{}; ///< counts the holder's own decisions

    auto operator<=>(const fencing_token&) const = default;
};
BOOST_DESCRIBE_STRUCT(fencing_token, (), (epoch, counter))

/// Index of a slice of a service's key space.
using slice_index = std::uint32_t;

/// @brief Hash of a key; the same on every machine.
[[nodiscard]] std::uint64_t hash_key(std::string_view key) noexcept;

/// @brief The slice that holds a key.
/// @param count number of slices of the service, at least 1
/// @complexity linear in the length of the key
[[nodiscard]] slice_index slice_of(std::string_view key, std::uint32_t count) noexcept;

} // namespace eelgrassrail
