/// One process of the router: its tasks, from start to planned stop.
#pragma once

#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>
#include <eelgrassrail/router/peer_link.hpp>
#include <eelgrassrail/router/report_collector.hpp>
#include <eelgrassrail/router/request_path.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/stream_reader.hpp>
#include <eelgrassrail/router/worker_links.hpp>

#include <boost/asio/io_context.hpp>

namespace eelgrassrail
{

/// Where reports go.
struct report_way
{
    std::string to;             ///< address
    std::size_t relay_levels{}; ///< levels of processes that report through this one
    instant told{};             ///< when a push came from there
};

/// Puts the parts together. Everything runs on the thread of the context.
class router_process
{
  public:
    /// @throws boost::system::system_error if an address can not be bound
    router_process(boost::asio::io_context& context, router_settings settings, platform_calls calls,
                   wire_format format);

    void start();

    /// @brief Takes settings that have changed. Addresses and limits of the machine stay until the
    /// process is started again.
    /// @param why what has caused it, for the log
    void reload(const router_settings& next, const char* why);

    /// @brief Planned stop: no new connections after a while, nothing that runs is cut. The context
    /// is stopped at its end.
    void begin_stop();

  private:
    boost::asio::awaitable<void> keep_up();
    boost::asio::awaitable<void> answer_push();
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<void> pause(millis time);
    boost::asio::awaitable<void> fetch_copy(std::string from, copy_versions least);
    void take_push(const received_push& message);
    void take_report(entry_report report);
    [[nodiscard]] entry_report make_report(bool is_orphan);
    void report_directly(instant now);
    void apply_limits();
    [[nodiscard]] bool reads_streams() const;
    [[nodiscard]] http_reply readiness() const;
    void set_gauges();

    boost::asio::io_context& m_context;
    router_state m_state;
    worker_links m_links;
    request_path m_path;
    peer_link m_peers;
    stream_reader m_reader;
    key_coordinator m_coordinator;
    http_listener m_callers;
    http_listener m_ready;
    std::unique_ptr<http_listener> m_metrics; ///< empty: no address of its own
    std::uint64_t m_limits_version{};
    report_collector m_collector; ///< reports of the processes behind this one
    report_way m_report_way;
    instant m_last_report{};
    bool m_is_reporting{};          ///< a report waits for those behind this process
    std::uint64_t m_copies_asked{}; ///< in a row, without being up to date
};

} // namespace eelgrassrail
