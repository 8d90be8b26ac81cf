/// Checks from the leases of all workers that no key is held by two of them (rule OWNER).
#pragma once

#include "hold_event.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Two workers that held the same keys, or a token that was not above all earlier ones.
struct hold_case
{
    bool is_overlap{};    ///< false: the token
    std::string excluded; ///< why rule OWNER does not count it; empty: it counts
    std::uint32_t first{};
    std::uint32_t last{};
    hold_event earlier;     ///< last grant or renewal of the worker that had the keys before
    hold_event later;       ///< the grant to the other one
    std::int64_t from_us{}; ///< begin of the overlap
    std::int64_t to_us{};   ///< end of the overlap
};

/// @brief One line with workers, tokens, times and length of a case.
[[nodiscard]] std::string to_text(const hold_case& item);

/// Follows the holds of each key over the lives of all workers. A hold ends at the end of its
/// lease, at the answer to a release that arrived after its last grant, and with the process.
class hold_check
{
  public:
    /// Names why rule OWNER does not count a grant or renewal, e.g. since it was held up on its
    /// way; empty: it counts. Grants that a worker took late are recognized without it.
    using exclusion = std::function<std::string(const hold_event&)>;

    explicit hold_check(exclusion why_excluded = {});

    /// @brief Adds an event; events must be added in the order of `at_us`.
    void add(const hold_event& event);

    [[nodiscard]] const std::vector<hold_case>& cases() const { return m_cases; }

    /// @brief Texts of the cases that count, at most one per pair of workers and grant.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// @brief Texts of the cases that rule OWNER does not count.
    [[nodiscard]] std::vector<std::string> excluded() const;

  private:
    /// What one life of a worker had of a range.
    struct hold
    {
        hold_event last;           ///< its last grant or renewal
        std::int64_t until_us{};   ///< end of the hold
        std::int64_t counted_us{}; ///< its end if only grants that count are considered
        std::uint64_t max_fence{}; ///< highest token that it had on these keys
    };

    /// Holds of the keys from the map's key to the next one, by life.
    using range = std::map<std::string, hold>;

    void split(std::uint32_t at);
    void apply_grant(const hold_event& event, const std::string& why, std::uint32_t first,
                     std::uint32_t last, range& holds);
    void add_overlap(hold_case item);

    exclusion m_why_excluded;
    std::map<std::uint32_t, range> m_ranges{{0, {}}}; ///< by first key; covers all keys
    std::vector<hold_case> m_cases;
    std::map<std::pair<std::string, std::string>, std::size_t> m_last_case; ///< of two lives
};

/// @brief Checks all events of a journal.
/// @return the violations, one per line; empty if there are none
[[nodiscard]] std::string check_holds(hold_journal events);

} // namespace eelgrassrail::test
