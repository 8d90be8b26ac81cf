/// Tracks until when each worker may hold a lease on the keys that it was granted.
///
/// An unanswered grant may still be applied, and its lease runs from its arrival. A worker may
/// therefore hold its keys from the first byte of a grant until the latest arrival plus the lease
/// duration, extended by the drift of the worker's clock. It holds nothing after that time, after a
/// release was answered, or after its process is known to have ended.
///
/// Only a process itself proves that another one has ended: it answers for another worker at the
/// address of that one. Entries alone prove nothing, since anyone may write them, and neither do
/// refused connections, since network partitions refuse them too.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/worker_entry.hpp>

#include <map>
#include <set>
#include <string>

namespace eelgrassrail
{

/// Timing bounds from which lease expiry is computed.
struct lease_bounds
{
    millis lease_duration{};  ///< of one grant
    millis latest_arrival{};  ///< a grant arrives at most this long after it was sent, or never
    double clock_drift{0.02}; ///< fraction by which a worker's clock may run slow
    millis margin{};          ///< for timer delays and rounding
};

/// Lease expiry by worker incarnation.
class grant_table
{
  public:
    explicit grant_table(lease_bounds bounds)
        : m_bounds(bounds)
    {
    }

    /// @brief Records that a grant is about to be sent.
    void on_grant_sent(const worker_incarnation& worker, instant now);

    /// @brief Records that the worker may hold leases granted by other processes until an instant.
    void on_earlier_leases(const worker_incarnation& worker, instant until);

    /// @brief Records that the worker has accepted a grant at an address.
    void on_grant_accepted(const worker_incarnation& worker, const std::string& address);

    /// @brief Records that a process with another id has answered at an address. The process of the
    /// incarnation has ended if that is the address at which it last accepted a grant.
    /// @param is_registered_there the address is also that of its own entry beyond doubt, which
    /// counts while it has accepted no grant of this coordinator
    /// @return whether it has ended
    bool on_answer_of_another(const worker_incarnation& worker, const std::string& address,
                              bool is_registered_there);

    /// @brief Whether the process of this incarnation is known to have ended.
    [[nodiscard]] bool has_ended(const worker_incarnation& worker) const;

    /// @brief Whether the worker may hold any key.
    [[nodiscard]] bool may_hold(const worker_incarnation& worker, instant now) const;

    /// @brief First instant at which the worker holds nothing if no more grants are sent;
    /// `instant::min()` for a worker without grants.
    [[nodiscard]] instant expires_at(const worker_incarnation& worker) const;

    /// @brief Longest time that a lease lasts after its grant was sent.
    [[nodiscard]] millis longest_lease() const;

    /// @brief Erases workers whose last lease expired at least two minutes ago.
    void forget(instant now);

    [[nodiscard]] const lease_bounds& bounds() const noexcept { return m_bounds; }

  private:
    lease_bounds m_bounds;
    /// Invariant: never decreases for an incarnation.
    std::map<worker_incarnation, instant> m_expiry;
    std::map<worker_incarnation, std::string> m_addresses; ///< of the last accepted grant
    std::set<worker_incarnation> m_ended;
};

} // namespace eelgrassrail
