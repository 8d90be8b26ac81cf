/// A small deployment on loopback addresses: the program of the deploy file as separate processes,
/// and the store and the workers as stand-ins in the process of the case.
#pragma once

#include "../../tests/harness/child_process.hpp"
#include "../../tests/standins/store_standin.hpp"
#include "scripted_worker.hpp"
#include <eelgrassrail/http/client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail::review
{

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// A router, which is the program of the deploy file with its filled-in settings.
struct router
{
    std::string name;
    std::string ip;
    std::string front;
    std::string peer;
    std::string settings; ///< filled in, but for `bootstrap`
    std::string settings_file;
    std::optional<harness::child_process> process;
};

/// What a caller got.
struct call_result
{
    unsigned status{}; ///< 0: the connection ended without an answer
    std::string error_kind;
    bool is_own{}; ///< the answer names the attempt and is whole
};

class small_deployment
{
  public:
    /// @param folder of the case, for record.txt
    /// @param settings replace values of the settings, by their names in the template
    small_deployment(boost::asio::io_context& context, const std::string& folder,
                     std::map<std::string, std::string> settings = {});
    ~small_deployment();
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    /// @brief Whether the disruption is to be played (TROUBLE is not 0).
    [[nodiscard]] static bool has_trouble();

    /// @brief Adds a worker that does not run yet.
    scripted_worker& add_worker(worker_options options);

    /// @brief Starts a worker; from now on it writes its entry at each heartbeat while it runs.
    void start_worker(scripted_worker& worker);

    /// @brief Writes the desired state.
    void configure(const std::string& document);

    void start_routers(std::size_t count);
    void start(router& item);

    /// @brief A free address on a router's or a worker's IP number.
    [[nodiscard]] std::string free_address(const std::string& ip);

    /// @brief Sends a request as a caller does, on a new connection.
    boost::asio::awaitable<call_result> call(const router& at, std::string method,
                                             std::string target, std::string attempt,
                                             std::optional<std::uint32_t> key, millis limit);

    boost::asio::awaitable<void> delay(millis time);

    /// @brief Writes a line with the time since the start to record.txt.
    void record(const std::string& line);

    [[nodiscard]] double seconds(instant at) const;

    std::vector<router> routers;
    std::vector<std::unique_ptr<scripted_worker>> workers;
    std::unique_ptr<test::store_standin> store;
    std::string store_address;

  private:
    boost::asio::awaitable<void> write_entries(scripted_worker& worker, std::uint64_t start);

    boost::asio::io_context& m_context;
    std::filesystem::path m_temporary;
    std::map<std::string, std::string> m_settings;
    std::ofstream m_record;
    instant m_began;
    std::uint64_t m_born_ms;
    std::map<std::string, std::uint64_t> m_starts; ///< of workers, by id
    std::map<std::string, std::uint64_t> m_seq;
};

/// @brief Runs the case until it returns an exit code, or until the time is over.
int run_case(const std::function<boost::asio::awaitable<int>(boost::asio::io_context&)>& body,
             millis limit);

/// @brief One rule of a route.
std::string rule_text(const std::string& name, bool is_safe, const std::string& service,
                      const std::string& timeout);

/// @brief A desired state with the host `case.example`.
std::string config_text(unsigned version, const std::string& rules, const std::string& clusters);

} // namespace eelgrassrail::review
