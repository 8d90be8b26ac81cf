/// Reads arrivals and limits from the log of a worker and counts them in sliding windows.
#include "limit_check.hpp"

#include "limit_window.hpp"
#include <eelgrassrail/limits/rate_limit.hpp>

#include <algorithm>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

namespace eelgrassrail::soak
{
namespace
{

/// A request at the worker.
struct arrival
{
    std::int64_t at_us{};
    std::optional<std::size_t> router;
};

/// A time in which the worker named the same limit.
struct named_limit
{
    double per_s{};
    std::int64_t from_us{};
    std::int64_t to_us{std::numeric_limits<std::int64_t>::max()};
};

bool had_fault(const limit_evidence& evidence, std::size_t router, std::int64_t at_us)
{
    const auto from_us = at_us - test::limit_window_us - test::limit_contact_us;
    return std::ranges::any_of(
        evidence.faults, [&](const router_fault& it)
        { return it.router == router && it.from_us <= at_us && it.to_us >= from_us; });
}

/// The largest number of counted arrivals in a window.
std::size_t max_counted(const std::vector<arrival>& arrivals, const named_limit& limit,
                        const limit_evidence& evidence)
{
    std::size_t most = 0;
    const auto from_us = limit.from_us + test::limit_contact_us;
    for (const auto& last : arrivals)
    {
        if (last.at_us < from_us || last.at_us >= limit.to_us)
            continue;
        const auto counted =
            std::ranges::count_if(arrivals,
                                  [&](const arrival& it)
                                  {
                                      return it.at_us >= from_us &&
                                             it.at_us > last.at_us - test::limit_window_us &&
                                             it.at_us <= last.at_us && it.router &&
                                             !had_fault(evidence, *it.router, last.at_us);
                                  });
        most = std::max(most, static_cast<std::size_t>(counted));
    }
    return most;
}

} // namespace

std::vector<std::string> check_limits(const std::string& file, const limit_evidence& evidence)
{
    std::vector<arrival> arrivals;
    std::vector<named_limit> limits;
    std::ifstream in(file);
    for (std::string text; std::getline(in, text);)
    {
        std::istringstream line(text);
        std::string word;
        line >> word;
        if (word == "arrival")
        {
            std::string attempt;
            arrival item;
            line >> attempt >> item.at_us;
            if (const auto it = evidence.routers.find(attempt); it != evidence.routers.end())
                item.router = it->second;
            arrivals.push_back(item);
        }
        else if (word == "limit")
        {
            std::int64_t at_us = 0;
            std::string value;
            line >> at_us >> value;
            const auto per_s = parse_rate_limit(value);
            // A malformed limit leaves the last one in force, but is not checked.
            if (!limits.empty())
                limits.back().to_us = std::min(limits.back().to_us, at_us);
            if (per_s)
                limits.push_back({*per_s, at_us});
        }
    }
    std::vector<std::string> violations;
    for (const auto& limit : limits)
    {
        const auto most = max_counted(arrivals, limit, evidence);
        if (static_cast<double>(most) > test::allowed_in_window(limit.per_s))
            violations.push_back("limit: " + file + " named " + std::to_string(limit.per_s) +
                                 " a second from " + std::to_string(limit.from_us) + " and got " +
                                 std::to_string(most) + " requests in 4 s");
    }
    return violations;
}

} // namespace eelgrassrail::soak
