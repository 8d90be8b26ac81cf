/// The deterministic fold of the platform's log.
///
/// Every process folds the same records in offset order with this pure function and so reaches the
/// same state. A proposal takes effect only if the version that it names as its base (a ticket
/// number, an epoch) is still current at its offset; otherwise it falls through.
#pragma once

#include <eelgrassrail/tickets/deployment_state.hpp>

#include <span>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// What the fold did with one record.
struct fold_result
{
    bool applied{};
    std::string id;     ///< id of the record; empty if it could not be read
    std::string reason; ///< why it was not applied; empty if it was
};

/// @brief Folds the record at `offset` into the state.
///
/// Torn, over-long, foreign and outdated records are refused and leave everything but `next` as it
/// was.
/// @param offset must be `state.next`
/// @throws std::logic_error if `offset` is not `state.next`
/// @complexity linear in the size of the record and of the services it names
fold_result fold(deployment_state& state, log_offset offset, std::string_view text);

/// @brief Applies an accepted ticket: services, pools and the assignment of slices to pools.
/// Slices that stay with a pool that has enough capacity do not move.
void apply_ticket(deployment_state& state, log_offset offset, const ticket& value);

/// One pool's share in the assignment of slices.
struct pool_share
{
    std::uint32_t index{};
    std::uint64_t weight{}; ///< 0: the pool must not own slices
};

/// @brief Assigns slices to pools in proportion to their weights and moves as few as possible.
/// @param current index of the owning pool for each slice
/// @return the new owners, same length
/// @pre at least one share has a weight
/// @complexity O(slices + pools log pools)
[[nodiscard]] std::vector<std::uint32_t> assign_slices(std::span<const std::uint32_t> current,
                                                       std::span<const pool_share> shares);

} // namespace eelgrassrail
