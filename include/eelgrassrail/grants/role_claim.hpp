/// A claim of the coordinator role: the record to append, and until when leases of earlier
/// coordinators may last.
#pragma once

#include <eelgrassrail/grants/ownership_record.hpp>

#include <optional>

namespace eelgrassrail
{

/// A coordinator sends no grant if it last confirmed longer ago than this that it has no successor.
/// Successors rely on it.
constexpr millis role_lease{8'000};

/// The newest ownership record, as read from the stream.
struct recorded_ownership
{
    ownership_record record;
    instant read_at{}; ///< when the answer to the read arrived
};

/// The process that claims.
struct claimant
{
    coordinator_identity self;
    instant started{};           ///< start of the process; an earlier one at its address had ended
    std::uint64_t max_version{}; ///< highest ownership version that it has seen, on record or not
    millis lease{};              ///< longest time that a lease lasts after its grant was sent
    std::vector<cluster_member> members; ///< for the record; empty: those on record
    std::uint64_t era{};                 ///< of the store, in which the claim is recorded
    bool is_restored{}; ///< records of the latest grants may be gone, since the store was restored
};

/// A claim that is not on record yet. Nothing of it is shared with other processes before it is.
class role_claim
{
  public:
    /// @brief Plans a claim that continues the record.
    /// @param base the newest record; empty if the stream has none
    role_claim(const std::optional<recorded_ownership>& base, const claimant& who, instant now);

    /// @brief The record to append: the owners on record, with the claimant as coordinator and the
    /// lease times.
    [[nodiscard]] const ownership_record& record() const noexcept { return m_record; }

    /// @brief The coordinator that the claim supersedes; no address: none.
    [[nodiscard]] const coordinator_identity& before() const noexcept { return m_before; }

    /// @brief When all leases granted by earlier coordinators have ended.
    /// @param recorded_by instant by which the claim was on record
    [[nodiscard]] instant leases_until(instant recorded_by) const noexcept;

    /// @brief Until when nothing may be granted; none: the owners on record are the latest.
    [[nodiscard]] instant grants_from() const noexcept { return m_grants_from; }

  private:
    ownership_record m_record;
    coordinator_identity m_before;
    instant m_grants_from{};
    instant m_known_until{}; ///< end of the leases of coordinators that send no grants any more
    /// Lease of a coordinator that may send grants until `role_lease` after the claim is on record;
    /// zero: there is none.
    millis m_live_lease{};
};

} // namespace eelgrassrail
