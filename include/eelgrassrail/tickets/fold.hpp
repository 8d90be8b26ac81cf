/// The deterministic fold of the platform's log.
///
/// Every process folds the same records in offset order and so reaches the same state. A record
/// takes effect only if the version that it is based on (a ticket number or an epoch) is still
/// current at its offset; otherwise it is rejected.
#pragma once

#include <eelgrassrail/tickets/deployment_state.hpp>

#include <span>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// Result of folding one record.
struct fold_result
{
    bool applied{};
    std::string id;     ///< id of the record; empty if it could not be read
    std::string reason; ///< why it was not applied; empty if it was
};

/// @brief Folds the record at `offset` into the state.
///
/// Truncated, oversized, unknown and outdated records are not applied. They only advance `next`;
/// a rejected ticket is also added to `results`.
/// @param offset must be `state.next`
/// @throws std::logic_error if `offset` is not `state.next`
/// @complexity linear in the size of the record and of the services it names
fold_result fold(deployment_state& state, log_offset offset, std::string_view text);

/// @brief Applies an accepted ticket: services, pools and the assignment of slices to pools.
/// Slices that stay with a pool that has enough capacity do not move.
void apply_ticket(deployment_state& state, log_offset offset, const ticket& value);

/// Weight of one pool in the assignment of slices.
struct pool_share
{
    std::uint32_t index{};
    std::uint64_t weight{}; ///< relative capacity; 0: the pool gets no slices
};

/// @brief Assigns slices to pools in proportion to their weights, with as few moves as possible.
/// @param current index of the owning pool for each slice
/// @return index of the new owning pool for each slice
/// @pre at least one weight is above 0
/// @complexity O(slices + pools log pools)
[[nodiscard]] std::vector<std::uint32_t> assign_slices(std::span<const std::uint32_t> current,
                                                       std::span<const pool_share> shares);

} // namespace eelgrassrail
