/// A budget for retries: a share of the recent first attempts.
#pragma once

#include <algorithm>

namespace eelgrassrail
{

/// Token bucket that each first attempt fills by a share and each retry empties by one.
class retry_budget
{
  public:
    /// @param share tokens added by one first attempt, 0 to 1
    /// @param capacity most tokens that can be saved
    explicit retry_budget(double share = 0.1, double capacity = 20.0)
        : m_share(share)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    /// @brief Replaces the limits; what was saved beyond the new capacity is lost.
    void set_limits(double share, double capacity) noexcept
    {
        m_share = share;
        m_capacity = capacity;
        m_tokens = std::min(m_tokens, capacity);
    }

    /// @brief A first attempt was made.
    void on_attempt() noexcept { m_tokens = std::min(m_capacity, m_tokens + m_share); }

    /// @brief Takes one retry out of the budget.
    /// @return false if the budget is empty
    [[nodiscard]] bool take() noexcept
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

  private:
    double m_share;
    double m_capacity;
    double m_tokens; ///< invariant: 0 to `m_capacity`
};

} // namespace eelgrassrail
