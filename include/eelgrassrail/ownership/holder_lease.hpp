/// The lease of a pool's holder, as computed by the holder itself.
///
/// A clean read is a read that reaches the head of the log and shows the holder's epoch as current.
/// With the log: a clean read sent at t extends the lease to t + lease duration. Without the log:
/// the lease stays valid while every process that may claim has relinquished its claim for this
/// epoch, but at most until the isolation grace has passed since the last clean read.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/core/identity.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Durations of the lease, from the ticket in force.
struct lease_terms
{
    millis lease{};           ///< duration after a clean read
    millis isolation_grace{}; ///< maximum duration without the log
    millis margin{};          ///< subtracted from the isolation grace
};

/// Lease state of one held pool in one epoch. The time is passed in.
class holder_lease
{
  public:
    holder_lease(lease_terms terms, std::span<const process_id> standbys);

    /// @brief Replaces the durations. They apply at once, counted from the last clean read.
    void set_terms(lease_terms terms) noexcept { m_terms = terms; }

    /// @brief Extends the lease after a clean read.
    /// @param sent when the read request was sent
    /// @return number of the relinquishments that a resumption record must end, if the holder was
    ///         operating without the log
    std::optional<std::uint64_t> on_clean_read(instant sent);

    /// @brief Sets the processes that may claim by silence according to the log.
    void set_standbys(std::span<const process_id> standbys);

    /// @brief Counts the processes named by a pending appointment as standbys, since it may be
    /// appended at any time, until `clear_candidates`.
    void add_candidates(std::span<const process_id> candidates);

    /// @brief The pending appointment was read back from the log, or was certainly never sent.
    void clear_candidates() noexcept { m_candidates.clear(); }

    /// @brief Enters operation without the log once half of the lease has passed since the last
    /// clean read.
    /// @return number for relinquish requests; empty if the log is up to date, there was no clean
    ///         read or all processes have relinquished
    std::optional<std::uint64_t> relinquish_number(instant now);

    /// @brief The processes that may claim and have not relinquished.
    [[nodiscard]] std::vector<process_id> unrelinquished() const;

    /// @brief Records the relinquishment of a process; ignored if `number` is not the current one.
    void on_relinquished(const process_id& from, std::uint64_t number);

    /// @brief Time until which the holder may act; `instant::min()` before the first clean read.
    [[nodiscard]] instant lease_expiry() const;

    /// @brief Invalidates the lease until the next clean read.
    void drop() noexcept;

    /// @brief Whether the holder requests or uses relinquishments because it cannot read the log.
    [[nodiscard]] bool is_without_log() const noexcept { return m_without_log; }

  private:
    [[nodiscard]] std::set<process_id> claimants() const;

    lease_terms m_terms;
    std::optional<instant> m_last_clean_read; ///< when its request was sent
    std::set<process_id> m_standbys;          ///< according to the log
    std::set<process_id> m_candidates;        ///< named by a pending appointment
    bool m_without_log{};                     ///< relinquishments are being requested or used
    std::uint64_t m_number{};                 ///< invariant: grows each time `m_without_log` is set
    std::set<process_id> m_relinquished;      ///< invariant: all given under `m_number`
};

} // namespace eelgrassrail
