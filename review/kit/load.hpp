/// Requests at a steady rate from callers that wait for their answers.
#pragma once

#include "deployment.hpp"

#include <functional>

namespace review
{

/// Sends requests to all routers until it is stopped.
class load
{
  public:
    /// @param next the next request of a caller at a router
    load(boost::asio::io_context& context, deployment& world,
         std::function<question(std::size_t router)> next);

    /// @param callers for each router
    /// @param interval between the answer to a request and the next one
    void start(std::size_t callers, eelgrassrail::millis interval);

    /// @brief Waits until all callers have their answers.
    boost::asio::awaitable<void> stop();

    [[nodiscard]] std::uint64_t served() const { return m_served; }

  private:
    boost::asio::awaitable<void> caller(std::size_t router, eelgrassrail::millis interval);

    boost::asio::io_context& m_context;
    deployment& m_world;
    std::function<question(std::size_t)> m_next;
    bool m_is_running{};
    std::size_t m_callers{};
    std::uint64_t m_served{};
};

} // namespace review
