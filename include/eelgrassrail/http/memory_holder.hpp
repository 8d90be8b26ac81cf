/// Memory that one message, or the responses of one connection, take from a budget.
#pragma once

#include <boost/intrusive/list_hook.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace eelgrassrail
{

class receive_budget;

/// Reserves memory for its owner and releases it on destruction. While it can be ended, a holder
/// that needs memory more may end it: of all holders of a budget the one with most gives way, so a
/// crowd of large messages ends its own and not those of ordinary peers.
class memory_holder : public boost::intrusive::list_base_hook<
                          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  public:
    /// @param budget none: everything is allowed
    /// @param free_bytes memory that does not count
    /// @param abort called if the owner is to release its memory; empty: it is never ended
    memory_holder(std::shared_ptr<receive_budget> budget, std::size_t free_bytes,
                  std::function<void()> abort);
    ~memory_holder();
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;

    /// @brief Sets the memory that the owner takes. Others that hold more are ended if needed.
    /// @return false if the owner itself is to end
    [[nodiscard]] bool hold(std::size_t bytes);

    /// @brief As above, for memory that is not refused. It may then hold less than it takes.
    void hold_always(std::size_t bytes);

    /// @brief From now on this holder is not ended.
    void keep() noexcept { m_abort = {}; }

    /// @brief Releases the memory and calls the owner's function.
    void abort();

    [[nodiscard]] bool can_end() const noexcept { return static_cast<bool>(m_abort); }

    /// @brief Reserved bytes.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

  private:
    [[nodiscard]] bool reserve(std::size_t bytes);

    std::shared_ptr<receive_budget> m_budget;
    std::size_t m_free_bytes;
    std::function<void()> m_abort; ///< empty once it is kept or was ended
    std::size_t m_bytes{};         ///< invariant: reserved from `m_budget`
    bool m_was_ended{};
};

} // namespace eelgrassrail
