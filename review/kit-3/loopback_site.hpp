/// A small deployment on loopback: the program of the deploy file, one process for each VM, with
/// the template of the settings filled in, and the stand-ins beside it.
#pragma once

#include "../../tests/harness/child_process.hpp"
#include <eelgrassrail/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail::review
{

/// Where programs and files are. Set from the arguments of a case.
struct case_paths
{
    std::string router;   ///< the program of the deploy file
    std::string stand_in; ///< folder of the stand-ins
    std::string scratch;  ///< folder for logs and settings
};

/// Settings that differ between cases.
struct site_settings
{
    std::string store;
    std::size_t routers{3};
    std::size_t zones{1};
    double cpu_share{0.2};
    int memory_mb{260};
    std::string max_hold{"10000ms"};
    std::string grace{"6s"};
};

/// One router process. Each has a loopback address of its own.
struct router_process_slot
{
    std::string name;
    std::string ip;
    std::string zone;
    int starts{};
    std::optional<harness::child_process> process;
};

/// Writes one line an event to the record of a case, with the time since its start.
class case_record
{
  public:
    explicit case_record(const std::string& file);
    void add(const std::string& text);
    [[nodiscard]] millis elapsed() const;

  private:
    std::ofstream m_out;
    instant m_start;
};

class loopback_site
{
  public:
    loopback_site(case_paths paths, site_settings settings);

    /// @brief Starts one router, or all of them.
    void start_router(std::size_t n, bool is_first_start);
    void start_routers(bool is_first_start);

    /// @brief Starts a stand-in; it ends with the object that is returned.
    [[nodiscard]] harness::child_process start_stand_in(const std::string& program,
                                                        const std::vector<std::string>& arguments,
                                                        const std::string& log) const;

    [[nodiscard]] std::string front_of(std::size_t n) const;
    [[nodiscard]] std::string ready_of(std::size_t n) const;
    [[nodiscard]] std::string log_of(std::size_t n) const;
    [[nodiscard]] std::vector<router_process_slot>& routers() { return m_routers; }
    [[nodiscard]] const case_paths& paths() const { return m_paths; }

  private:
    [[nodiscard]] std::string write_settings(const router_process_slot& router,
                                             bool is_first_start) const;

    case_paths m_paths;
    site_settings m_settings;
    std::uint16_t m_first_port;
    std::vector<router_process_slot> m_routers;
};

/// @brief First of so many consecutive ports that are free at an address.
[[nodiscard]] std::uint16_t find_free_ports(const std::string& ip, std::uint16_t count);

} // namespace eelgrassrail::review
