/// Copies of the request histories and server maps of the pools that this process is a standby of.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/requests/dispatch_commands.hpp>
#include <eelgrassrail/requests/history.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// State from which a standby that becomes the holder starts its dispatcher.
struct standby_copy
{
    std::vector<history_entry> entries;
    std::vector<slice_owner> owners;
};

/// Copies by pool. Each starts with a full delta (`pool_delta::whole`) and accepts only the delta
/// that follows the last one in the same epoch, so no delta is missing.
class standby_store
{
  public:
    explicit standby_store(history_limits limits = {})
        : m_limits(limits)
    {
    }

    /// @brief Applies a delta.
    /// @return false if a preceding delta is missing or the copy is of another epoch
    bool apply(const pool_delta& delta, instant now);

    /// @brief Removes and returns the copy of a pool; an empty optional if there is none.
    [[nodiscard]] std::optional<standby_copy> extract(const pool_id& pool);

    /// @brief Removes copies of pools of which this process is no longer standby, candidate or
    /// holder.
    void keep_only(const deployment_state& state, const process_id& self);

  private:
    struct copy_record
    {
        epoch_number epoch{};
        std::uint64_t number{}; ///< of the last delta applied
        history entries;
        std::map<slice_index, std::string> owners;
    };

    history_limits m_limits;
    std::map<pool_id, copy_record> m_copies;
};

} // namespace eelgrassrail
