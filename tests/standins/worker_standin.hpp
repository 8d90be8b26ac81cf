/// Stand-in of a backend server that checks fences: grants, releases, requests, a journal of runs.
#pragma once

#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/describe/class.hpp>

#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// How a stand-in worker behaves.
struct worker_settings
{
    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    bool is_divided{};
    int slots{3};
    int run_ms{10};
    std::uint64_t born_ms{};
    bool prints_runs{};     ///< to standard output, a line at the begin and one at the end
    std::string advertised; ///< address that the entry names; empty: its own
};

/// One run of a request, for the checks of ownership and of at most once.
struct run_entry
{
    std::string attempt;
    std::uint32_t key{};
    std::uint64_t fence{};
    std::int64_t began_us{}; ///< on the machine's boot clock, which all processes share
    std::int64_t ended_us{};
};
BOOST_DESCRIBE_STRUCT(run_entry, (), (attempt, key, fence, began_us, ended_us))

/// Serves one address. GET /journal returns all runs as JSON.
class worker_standin
{
  public:
    worker_standin(boost::asio::io_context& context, worker_settings settings);

    /// @brief What the worker writes into the store, under its id.
    [[nodiscard]] std::string entry(bool is_leaving) const;

    [[nodiscard]] const std::vector<run_entry>& journal() const { return m_journal; }
    [[nodiscard]] const worker_settings& settings() const { return m_settings; }

  private:
    /// The newest grant or release of a key.
    struct key_state
    {
        std::uint64_t fence{};
        instant held_until{};
    };

    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> run(const http_call& call);
    boost::asio::awaitable<http_reply> release(const http_call& call);
    http_reply grant(const http_call& call);
    [[nodiscard]] http_reply not_executed(unsigned status) const;

    boost::asio::io_context& m_context;
    worker_settings m_settings;
    std::vector<key_state> m_keys;
    std::multimap<std::uint32_t, int> m_running; ///< keys of running requests
    int m_waiting{};
    int m_busy{};
    std::vector<run_entry> m_journal;
    http_listener m_listener;
};

} // namespace eelgrassrail::test
