/// Copies of the histories and server maps of pools that this process is a standby of.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/requests/dispatch_orders.hpp>
#include <eelgrassrail/requests/history.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// What a standby hands to the dispatcher when it becomes the holder.
struct standby_copy
{
    std::vector<history_entry> entries;
    std::vector<slice_owner> owners;
};

/// Copies by pool. A copy is complete from a whole delta on, as long as no delta is missing.
class standby_store
{
  public:
    explicit standby_store(history_limits limits = {})
        : m_limits(limits)
    {
    }

    /// @brief Applies a delta.
    /// @return false if a delta before this one is missing
    bool apply(const pool_delta& delta, instant now);

    /// @brief Takes the copy of a pool out, if there is a complete one.
    [[nodiscard]] std::optional<standby_copy> take(const pool_id& pool);

    /// @brief Drops copies of pools of which this process is no longer a standby.
    void keep_only(const deployment_state& state, const process_id& self);

  private:
    struct copy_record
    {
        epoch_number epoch{};
        std::uint64_t number{};
        history entries;
        std::map<slice_index, std::string> owners;
    };

    history_limits m_limits;
    std::map<pool_id, copy_record> m_copies;
};

} // namespace eelgrassrail
