/// Checks at the workers of the ownership model: who holds which key, and with which token.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/grants/key_slice.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Rules that a grant may break.
enum class violation_kind : std::uint8_t
{
    two_holders,   ///< another worker that is up holds the key
    running_work,  ///< another worker was released, but still works on the key
    low_token,     ///< another worker had the key with this token or a higher one
    low_life_token ///< the same for an earlier life of the same worker
};
constexpr std::size_t violation_kinds = 4;

[[nodiscard]] const char* describe(violation_kind kind) noexcept;

/// A grant that was taken.
struct taken_grant
{
    std::size_t life{}; ///< of the worker
    std::uint32_t first{};
    std::uint32_t last{};
    std::uint64_t fence{};
    instant until{};   ///< end of the lease by the worker's clock
    bool is_excused{}; ///< it does not count, by the rules
    bool is_late{};    ///< it arrived beyond 0.5 s after it was written
};

/// A rule that was broken.
struct key_violation
{
    violation_kind kind{};
    std::uint32_t key{};  ///< first one
    std::size_t taker{};  ///< life of a worker
    std::size_t holder{}; ///< life of the other worker
    bool is_late{};       ///< one of the two grants arrived late
};

/// Times for which keys were without a holder.
class gap_times
{
  public:
    void add(boot_clock::duration gap, bool has_ended);
    void merge(const gap_times& other);

    [[nodiscard]] double mean_ms() const;
    [[nodiscard]] double max_ms() const { return m_max_ms; }
    /// @brief The time that the given part of the gaps does not exceed.
    [[nodiscard]] double quantile_ms(double part) const;
    [[nodiscard]] double sum_s() const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] std::uint64_t open_count() const { return m_open; }

  private:
    static constexpr std::size_t buckets = 600; ///< of 100 ms; the last one is open

    std::array<std::uint64_t, buckets> m_counts{};
    std::uint64_t m_count{};
    std::uint64_t m_open{}; ///< gaps that had not ended at the end of the run
    double m_sum_ms{};
    double m_max_ms{};
};

/// Exact state of all keys of one service.
class hold_check
{
  public:
    /// Facts about lives of workers.
    struct lives
    {
        std::function<instant(std::size_t)> ended_at;              ///< far in the future: it is up
        std::function<bool(std::size_t, std::size_t)> same_worker; ///< two lives of one worker
    };

    explicit hold_check(lives known);

    /// @brief Records a grant that a worker took.
    /// @return the rules that it broke, one of each kind and pair of workers
    std::vector<key_violation> take(const taken_grant& grant, instant now);

    /// @brief Records a release.
    /// @param work_until until then work on the keys runs
    /// @return whether the worker held any of the keys
    bool release(std::size_t life, std::uint32_t first, std::uint32_t last, instant now,
                 instant work_until);

    /// @brief End of the last hold of the worker on these keys.
    [[nodiscard]] instant held_until(std::size_t life, std::uint32_t first,
                                     std::uint32_t last) const;

    /// @brief The times without a holder, with those that have not ended.
    [[nodiscard]] gap_times gaps(instant now) const;

  private:
    static constexpr std::size_t none = ~std::size_t(0);

    /// Invariant: `counted_until` <= `until`.
    struct hold
    {
        std::size_t life{none}; ///< last one that took the key
        instant until{};
        instant counted_until{}; ///< without the grants that do not count
        bool was_released{};
        bool was_late{};            ///< the last grant
        std::size_t top_life{none}; ///< had the highest token
        std::uint64_t top_token{};
        std::uint64_t other_token{}; ///< highest one of other lives
        std::size_t other_life{none};
    };

    [[nodiscard]] instant end_of(const hold& key) const;
    static void raise_token(hold& key, std::size_t life, std::uint64_t token);

    lives m_lives;
    std::vector<hold> m_keys;
    gap_times m_gaps;
};

} // namespace eelgrassrail::test
