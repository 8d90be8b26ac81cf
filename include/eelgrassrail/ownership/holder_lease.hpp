/// The lease of a pool's holder, as the holder itself counts it.
///
/// With the log: a read of the log that was sent at t and shows no claim lets the holder act until
/// t + lease. Without the log: the holder goes on while every process that may claim has given a
/// standing relinquishment for this epoch, at most until the isolation grace has passed since the
/// last clean read.
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

/// Lengths that the lease is counted with; from the ticket in force.
struct lease_terms
{
    millis lease{};
    millis isolation_grace{};
    millis margin{};
};

/// Lease state of one held pool in one epoch. Time is passed in.
class holder_lease
{
  public:
    holder_lease(lease_terms terms, std::span<const process_id> standbys);

    /// @brief Takes over changed lengths. A longer lease counts from the next clean read on.
    void set_terms(lease_terms terms) noexcept { m_terms = terms; }

    /// @brief A read of the log, sent at `sent`, reached the head and showed this epoch as current.
    /// @return number of the relinquishments that have to be ended by a resumption record, if the
    ///         holder was acting without the log
    std::optional<std::uint64_t> on_clean_read(instant sent);

    /// @brief The set of processes that may claim by silence, as the log says now.
    void set_standbys(std::span<const process_id> standbys);

    /// @brief An appointment that may land at any time names these processes; they count as
    /// standbys until it is resolved.
    void add_candidates(std::span<const process_id> candidates);

    /// @brief The open appointment was met in the log, or certainly never sent.
    void clear_candidates() noexcept { m_candidates.clear(); }

    /// @brief Starts to ask for relinquishments once the last clean read is too old.
    /// @return the number to ask with, while at least one process has not relinquished
    std::optional<std::uint64_t> relinquish_number(instant now);

    /// @brief The processes that still have to be asked.
    [[nodiscard]] std::vector<process_id> unrelinquished() const;

    /// @brief A process has relinquished under `number`.
    void on_relinquished(const process_id& from, std::uint64_t number);

    /// @brief The instant up to which the holder may act; in the past if it may not.
    [[nodiscard]] instant acts_until() const;

    /// @brief Drops every right to act until the next clean read.
    void drop() noexcept;

    /// @brief True while the holder acts on relinquishments instead of reads of the log.
    [[nodiscard]] bool is_without_log() const noexcept { return m_asking; }

  private:
    [[nodiscard]] std::set<process_id> claimants() const;

    lease_terms m_terms;
    std::optional<instant> m_clean;      ///< when the last clean read was sent
    std::set<process_id> m_standbys;     ///< as folded from the log
    std::set<process_id> m_candidates;   ///< of an appointment that is not resolved
    bool m_asking{};                     ///< relinquishments are being asked for or in use
    std::uint64_t m_number{};            ///< invariant: grows each time the asking starts
    std::set<process_id> m_relinquished; ///< invariant: all given under `m_number`
};

} // namespace eelgrassrail
