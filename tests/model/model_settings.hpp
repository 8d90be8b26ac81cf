/// Size of one run of the ownership model, and the conditions that its faults change.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace eelgrassrail::test
{

/// Name of the only service.
constexpr const char* model_service = "s";

/// Size of a run.
struct model_settings
{
    std::uint64_t seed{1};
    std::size_t processes{12};
    std::size_t workers{16};
    std::chrono::seconds time{90};
    millis step{5};                ///< between two polls of a process
    std::set<std::string> without; ///< kinds of fault that do not happen
    std::set<std::string> only;    ///< if not empty, only these happen
    std::size_t max_violations{3}; ///< the run ends after these
};

/// Conditions of the store and the network.
struct model_conditions
{
    double slow_calls{0.01};       ///< part of the calls to the store that take 300 to 900 ms
    double lost_requests{0.002};   ///< part of the calls that are never executed and not answered
    double lost_answers{0.005};    ///< part of the calls that are executed but not answered
    double late_appends{0.005};    ///< part of the appends that are executed seconds later
    double refused_calls{0.002};   ///< part of the calls that are refused at once
    bool is_store_down{};          ///< nothing is executed
    bool is_refusing{};            ///< while it is down: it refuses instead of being silent
    bool has_lost_claims{true};    ///< claims too are executed without an answer, or late
    std::set<std::size_t> cut_off; ///< processes that the store does not answer
    double lost_datagrams{0.005};
    double slow_worker_calls{0.02}; ///< part of the calls to workers that are held up on their way
    double late_grants{0.0};        ///< part that arrive beyond 0.5 s after they were written
};

/// Links between two nodes that do not work for a time.
class link_cuts
{
  public:
    using node = std::size_t;

    /// @brief Node number of a worker; those of processes are their indexes.
    [[nodiscard]] static constexpr node worker(std::size_t index) { return 1'000'000 + index; }

    void cut(node a, node b, instant until)
    {
        auto& end = m_cuts[std::minmax(a, b)];
        end = std::max(end, until);
    }
    [[nodiscard]] bool is_cut(node a, node b, instant now) const
    {
        const auto it = m_cuts.find(std::minmax(a, b));
        return it != m_cuts.end() && now < it->second;
    }
    /// @brief Whether the link healed at most `time` ago.
    [[nodiscard]] bool has_just_healed(node a, node b, instant now, millis time) const
    {
        const auto it = m_cuts.find(std::minmax(a, b));
        return it != m_cuts.end() && now >= it->second && now < it->second + time;
    }

  private:
    std::map<std::pair<node, node>, instant> m_cuts; ///< ends
};

} // namespace eelgrassrail::test
