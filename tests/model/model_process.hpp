/// One process of the router in the ownership model: the real state, reader and coordinator, and
/// what `router_process` and `peer_link` do with pushes, reports and copies.
#pragma once

#include "model_clock.hpp"
#include "reply_slot.hpp"
#include <eelgrassrail/router/key_coordinator.hpp>
#include <eelgrassrail/router/report_collector.hpp>
#include <eelgrassrail/router/router_process.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/stream_reader.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

class model_world;

/// A push on its way through the relays.
struct relayed_push
{
    std::shared_ptr<const coordinator_push> push;
    std::string from;
    std::vector<std::string> behind;
    bool gathers{};
};

/// Place and size of a process.
struct process_place
{
    std::size_t index{};
    std::string address;
    std::string zone;
    double processor{};
    bool is_first_start{};
};

/// From a start to an end; the destructor is a kill.
class model_process
{
  public:
    using copy_slot = reply_slot<std::shared_ptr<const state_copy>>;

    model_process(const process_place& place, model_world& world);
    ~model_process();
    model_process(const model_process&) = delete;
    model_process& operator=(const model_process&) = delete;

    void start();

    /// @brief Runs all that is due; not called while the process is frozen.
    void poll();

    /// @brief Leaves a message that the process handles when it is polled. Some are lost if it is
    /// not polled for long.
    void post(std::function<void(model_process&)> message);

    /// @brief Starts a planned stop.
    /// @param on_end called when the process has ended by itself
    void begin_stop(std::function<void()> on_end);

    void receive_push(const relayed_push& message);
    void receive_report(entry_report report);
    void serve_copy(copy_versions required, std::size_t from, const std::weak_ptr<copy_slot>& to);

    [[nodiscard]] bool is_active() const { return m_coordinator.is_active(); }
    [[nodiscard]] const router_state& state() const { return m_state; }
    [[nodiscard]] const std::string& name() const { return m_name; }

  private:
    [[nodiscard]] coordinator_channels make_channels();
    [[nodiscard]] bool should_read_streams() const;
    void relay(const relayed_push& message);
    [[nodiscard]] entry_report make_report(bool is_orphan);
    void send_report_to(const std::string& address, entry_report report);
    boost::asio::awaitable<void> send_report();
    boost::asio::awaitable<void> run_maintenance();
    boost::asio::awaitable<void> stop(std::function<void()> on_end);
    boost::asio::awaitable<void> answer_copy(copy_versions required, std::size_t from,
                                             std::weak_ptr<copy_slot> to);
    boost::asio::awaitable<bool> fetch_copy(std::string address, copy_versions required);
    boost::asio::awaitable<http_exchange> call_worker(worker_entry worker, http_call call,
                                                      exchange_options options);
    boost::asio::awaitable<void> pause(boot_clock::duration time);

    const std::size_t m_index;
    model_world& m_world;
    const std::string m_name;
    /// Destroyed first, by hand, so that tasks end while all that they refer to exists.
    std::unique_ptr<boost::asio::io_context> m_context;
    router_state m_state;
    stream_reader m_reader;
    key_coordinator m_coordinator;
    report_collector m_collector;
    report_route m_report_route;
    std::vector<std::function<void(model_process&)>> m_inbox;
    std::shared_ptr<const state_copy> m_cached_copy;
    instant m_cached_at{};
    instant m_last_report{};
    instant m_demand_until{}; ///< requests until then are in a report
    bool m_report_pending{};
    bool m_fetching{};
    std::uint64_t m_copy_requests{};
};

} // namespace eelgrassrail::test
