/// Reads the platform's streams while this process has to read them itself.
#pragma once

#include <eelgrassrail/router/router_state.hpp>

#include <functional>
#include <vector>

namespace eelgrassrail
{

/// The coordinator reads for all processes. A process that hears nothing of it reads for itself.
class stream_reader
{
  public:
    stream_reader(boost::asio::any_io_executor executor, router_state& state);

    /// @brief Starts the reading tasks.
    /// @param is_wanted asked before each read
    void start(std::function<bool()> is_wanted);
    void stop() { m_stopped = true; }

    /// @brief Whether the platform's store answers this process.
    [[nodiscard]] bool is_connected() const noexcept { return m_failures == 0; }

  private:
    boost::asio::awaitable<void> read_workers();
    boost::asio::awaitable<void> read_routes();
    boost::asio::awaitable<bool> read_newest_workers();
    boost::asio::awaitable<bool> read_newest_routes();
    boost::asio::awaitable<bool> read_more_workers();
    boost::asio::awaitable<void> pause(millis time);
    boost::asio::awaitable<void> pause_after(std::size_t failures);
    [[nodiscard]] std::vector<worker_change> decode(const std::vector<stream_record>& records);
    void apply(const std::vector<worker_change>& changes, instant now);
    void on_result(bool is_good, instant asked);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    std::function<bool()> m_is_wanted;
    bool m_stopped{};
    std::uint64_t m_routes_from{}; ///< next offset of the routes' stream
    instant m_routes_at{};         ///< the routes' stream was read to its end
    instant m_workers_at{};
    std::size_t m_failures{};             ///< failed reads of the workers' stream in a row
    instant m_back_at{};                  ///< the store answered again after an outage
    std::vector<worker_change> m_delayed; ///< removals that may be an effect of the outage
};

} // namespace eelgrassrail
