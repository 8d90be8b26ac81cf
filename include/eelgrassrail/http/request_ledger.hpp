/// Memory of the requests that a listener receives and serves.
///
/// Answers a crowd of clients whose bodies are large and do not end: together they would exhaust
/// the memory of a small VM. When the budget is short, the incomplete request that holds most is
/// ended, so a crowd of large bodies ends its own requests and not those of ordinary callers.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/http/memory_holder.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace eelgrassrail
{

class receive_budget;

/// Requests by number, in the order in which they began. The caller passes the time.
class request_ledger
{
  public:
    using number = std::uint64_t;

    /// @param budget shared with the answers; none: everything is allowed
    explicit request_ledger(std::shared_ptr<receive_budget> budget);
    ~request_ledger() = default;
    request_ledger(const request_ledger&) = delete;
    request_ledger& operator=(const request_ledger&) = delete;

    /// @brief Adds a request of which the first bytes have arrived.
    /// @param abort called if the request is to be ended before it is complete
    number begin(instant now, std::function<void()> abort);

    /// @brief Sets the memory that a request holds. Other holders of the budget that have more are
    /// ended if that is needed.
    /// @return false if the request itself is to be ended
    [[nodiscard]] bool hold(number id, std::size_t bytes);

    /// @brief The request was received whole; it is not ended any more.
    void complete(number id);

    /// @brief Sets the memory of an answer that is being sent, which is never refused.
    void hold_answer(number id, std::size_t bytes);

    /// @brief Removes a request and releases its memory.
    void end(number id);

    /// @brief Ends the request that has been incomplete for longest.
    /// @param before only one that began before this instant
    /// @return false if there is none
    bool abort_oldest(instant before);

    /// @brief Number of incomplete requests that were ended.
    [[nodiscard]] std::uint64_t aborted() const noexcept { return m_aborted; }

    /// Memory of a request that does not count; most requests need no more.
    static constexpr std::size_t free_bytes = 16UL * 1024;

  private:
    struct request
    {
        request(instant at, std::shared_ptr<receive_budget> budget, std::function<void()> abort)
            : began(at)
            , memory(std::move(budget), free_bytes, std::move(abort))
        {
        }

        instant began;
        memory_holder memory; ///< can be ended until the request is complete
    };

    std::shared_ptr<receive_budget> m_budget;
    std::map<number, request> m_requests;
    number m_next{1};
    std::uint64_t m_aborted{};
};

} // namespace eelgrassrail
