/// The availability zones that the operator has evacuated, built from the operator's stream.
///
/// Answers the load after a zone is evacuated: all requests for its workers go to other zones
/// within a few seconds, while the keys that its workers own move one by one.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/zone_evacuation.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// Changes may arrive in any order and repeatedly; for each zone the one with the highest offset
/// counts.
class evacuated_zones
{
  public:
    /// @brief Applies one change.
    /// @return whether the evacuation of the zone has begun or ended
    bool apply(const zone_evacuation& change, instant now);

    /// @brief Applies a complete listing of the evacuations in force: others that are older than
    /// its end have ended. If the store was restored from a copy, the zones that were known before
    /// stay as they are until `listing_due`: the copy may be older.
    /// @param end offset before which the listing is complete
    /// @return the zones whose evacuation has begun or ended
    std::vector<std::string> apply_listing(std::span<const zone_evacuation> listing,
                                           std::uint64_t end, instant now);

    /// @brief When the operator has written again what a restored store lacked, so that the next
    /// listing counts for all zones; none: that is no open question.
    [[nodiscard]] std::optional<instant> listing_due() const noexcept { return m_listing_due; }

    /// @brief When this process learned of the evacuation of a zone; std::nullopt if it is not
    /// evacuated.
    [[nodiscard]] std::optional<instant> since(std::string_view zone) const;

    /// @brief Whether requests for keys may still go to their owners in a zone. They have to move
    /// to other workers first, which takes some time.
    /// @param move_time time after the evacuation in which they may
    [[nodiscard]] bool may_serve_keys(std::string_view zone, millis move_time, instant now) const;

    /// @brief The newest change of each zone, for other processes.
    [[nodiscard]] std::vector<zone_evacuation> changes() const;

    /// @brief Number of evacuated zones.
    [[nodiscard]] std::size_t count() const noexcept;

  private:
    struct known_zone
    {
        std::uint64_t offset{};
        bool is_evacuated{};
        instant changed{}; ///< when `is_evacuated` changed here
    };

    /// The operator writes again within two seconds what a restored store lacks.
    static constexpr millis rewriting_time{3'000};

    std::uint64_t m_era{}; ///< of the store, in the latest listing
    std::optional<instant> m_listing_due;
    std::map<std::string, known_zone, std::less<>> m_zones; ///< by zone
};

} // namespace eelgrassrail
