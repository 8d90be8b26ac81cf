/// Retry budget: limits retries to a ratio of the first attempts.
#pragma once

#include <algorithm>

namespace eelgrassrail
{

/// Token bucket: each first attempt adds `ratio` tokens and each retry consumes one.
class retry_budget
{
  public:
    /// @param ratio tokens added by each first attempt, 0 to 1
    /// @param capacity maximum number of tokens; the bucket starts full
    explicit retry_budget(double ratio = 0.1, double capacity = 20.0)
        : m_ratio(ratio)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    /// @brief Replaces the limits; tokens beyond the new capacity are dropped.
    void set_limits(double ratio, double capacity) noexcept
    {
        m_ratio = ratio;
        m_capacity = capacity;
        m_tokens = std::min(m_tokens, capacity);
    }

    /// @brief Adds tokens for a first attempt.
    void on_attempt() noexcept { m_tokens = std::min(m_capacity, m_tokens + m_ratio); }

    /// @brief Consumes one token for a retry.
    /// @return false if less than one token is left; the retry must not be sent
    [[nodiscard]] bool try_consume() noexcept
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

  private:
    double m_ratio;
    double m_capacity;
    double m_tokens; ///< invariant: 0 to `m_capacity`
};

} // namespace eelgrassrail
