/// Identifiers shared by all components: processes, pools, slices, epochs and fencing tokens.
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

/// Number of an accepted ticket; 0 if no ticket is in force.
using ticket_number = std::uint64_t;

/// Epoch of a pool: the offset of the log record that appointed its lease holder, plus one.
/// 0 if the pool never had a holder.
using epoch_number = std::uint64_t;

/// One entry process. A restart on the same VM gets a new incarnation number.
struct process_id
{
    std::string vm;
    std::uint64_t incarnation{};
    std::string zone;
    std::string address; ///< host:port where peers reach it, for TCP and UDP

    auto operator<=>(const process_id&) const = default;
};
BOOST_DESCRIBE_STRUCT(process_id, (), (vm, incarnation, zone, address))

/// Identifies a pool: up to 16 backend servers of one service in one availability zone.
struct pool_id
{
    std::string service;
    std::string zone;
    std::uint32_t index{};

    auto operator<=>(const pool_id&) const = default;
};
BOOST_DESCRIBE_STRUCT(pool_id, (), (service, zone, index))

/// @brief Formats a pool as `service/zone/index`, the form used in logs and the operators' client.
[[nodiscard]] inline std::string to_text(const pool_id& id)
{
    return id.service + "/" + id.zone + "/" + std::to_string(id.index);
}

/// Fencing token: orders what the successive lease holders of a pool send to a backend server, so
/// that a server that checks tokens can reject messages of a former holder.
struct fencing_token
{
    epoch_number epoch{};    ///< epoch of the pool's lease holder
    std::uint64_t counter{}; ///< incremented by the holder within its epoch

    auto operator<=>(const fencing_token&) const = default;
};
BOOST_DESCRIBE_STRUCT(fencing_token, (), (epoch, counter))

/// Index of a slice, one of the equal hash ranges of a service's key space.
using slice_index = std::uint32_t;

/// @brief Hash of a key (XXH64, seed 0); the same on every machine.
[[nodiscard]] std::uint64_t hash_key(std::string_view key) noexcept;

/// @brief The slice that a key belongs to.
/// @param count number of slices of the service, at least 1
/// @complexity linear in the length of the key
[[nodiscard]] slice_index slice_of(std::string_view key, std::uint32_t count) noexcept;

} // namespace eelgrassrail
