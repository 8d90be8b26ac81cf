/// Reads the routes' and workers' streams from the platform's store.
#pragma once

#include <eelgrassrail/router/router_state.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// The coordinator reads for all processes. Other processes read while they get no pushes from it.
class stream_reader
{
  public:
    stream_reader(boost::asio::any_io_executor executor, router_state& state);

    /// @brief Starts the reading tasks.
    /// @param is_active called before each read; false: the task skips the read
    void start(std::function<bool()> is_active);
    void stop() { m_stopped = true; }

    /// @brief Whether the store answered the last read of the workers' stream.
    [[nodiscard]] bool is_connected() const noexcept { return m_failures == 0; }

  private:
    boost::asio::awaitable<void> read_workers();
    boost::asio::awaitable<void> read_routes();
    void apply_operator_records(const stream_page& page, bool is_listing);
    boost::asio::awaitable<bool> read_newest_workers();
    boost::asio::awaitable<bool> read_newest_routes();
    boost::asio::awaitable<bool> read_new_workers();
    boost::asio::awaitable<void> pause(millis time);
    boost::asio::awaitable<void> back_off(std::size_t failures);
    [[nodiscard]] millis next_read_interval() const;
    /// Entries of workers, and of others.
    struct decoded_entries
    {
        std::vector<worker_change> changes;
        std::vector<worker_change> overwritten; ///< removals of the ids of entries of other writers
    };

    [[nodiscard]] decoded_entries decode(const std::vector<stream_record>& records);
    [[nodiscard]] std::string find_defect(const worker_entry& entry);
    [[nodiscard]] bool needs_listing() const;
    void on_result(bool is_good, instant sent_at);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    std::function<bool()> m_is_active;
    bool m_stopped{};
    std::uint64_t m_routes_offset{}; ///< next offset of the routes' stream
    /// Version of the routes by which an entry was ignored, as they do not name its service; later
    /// ones may. None: no entry was.
    std::optional<std::uint64_t> m_ignored_by_version;
    instant m_routes_read_at{}; ///< when the routes' stream was last read to its end
    instant m_workers_read_at{};
    std::size_t m_failures{}; ///< consecutive failed reads of the workers' stream
};

} // namespace eelgrassrail
