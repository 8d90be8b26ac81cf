/// Reads arrivals and answers from the log of a worker and compares them per router.
#include "drain_check.hpp"

#include <eelgrassrail/core/decimal.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace eelgrassrail::soak
{
namespace
{

constexpr std::int64_t drain_us = 2'000'000;   ///< the default of the routers
constexpr std::int64_t contact_us = 500'000;   ///< after a 503, for requests under way
constexpr std::int64_t max_way_us = 2'000'000; ///< of an answer or a request in a network fault
constexpr double us_in_s = 1e6;
constexpr std::ptrdiff_t allowed_arrivals = 2;

/// A line of the log about a request of a known router.
struct log_event
{
    sent_request request;
    std::int64_t at_us{};
    double retry_after_s{};
};

/// The log of one worker process.
struct worker_log
{
    std::vector<log_event> arrivals;
    std::vector<log_event> leaving_answers;
    std::vector<log_event> turned_away; ///< those that name a time
};

worker_log read_log(const std::string& file, const drain_evidence& evidence)
{
    worker_log log;
    std::ifstream in(file);
    for (std::string text; std::getline(in, text);)
    {
        std::istringstream line(text);
        std::string word;
        std::string attempt;
        std::string retry_after;
        log_event event;
        line >> word >> attempt >> event.at_us >> retry_after;
        const auto it = evidence.requests.find(attempt);
        if (it == evidence.requests.end())
            continue;
        event.request = it->second;
        event.retry_after_s = parse_decimal(retry_after).value_or(0.0);
        if (word == "arrival")
            log.arrivals.push_back(event);
        else if (word == "said_leaving" && event.request.leaving_us > 0)
            log.leaving_answers.push_back(event);
        else if (word == "turned_away" && event.retry_after_s > 0)
            log.turned_away.push_back(event);
    }
    return log;
}

bool had_fault(const std::vector<router_fault>& faults, std::size_t router, std::int64_t from_us,
               std::int64_t to_us)
{
    return std::ranges::any_of(
        faults, [&](const router_fault& it)
        { return it.router == router && it.from_us <= to_us && it.to_us >= from_us; });
}

bool was_cut(const std::string& file, const drain_evidence& evidence, std::int64_t from_us,
             std::int64_t to_us)
{
    return std::ranges::any_of(evidence.cuts,
                               [&](const worker_cut& it)
                               {
                                   return file.find("worker-" + it.worker + "-") !=
                                              std::string::npos &&
                                          it.from_us <= to_us && it.to_us >= from_us;
                               });
}

} // namespace

std::vector<std::string> check_drain(const std::string& file, const drain_evidence& evidence,
                                     const std::vector<router_fault>& faults)
{
    const auto log = read_log(file, evidence);
    std::map<std::size_t, std::string> late; ///< by router
    for (const auto& arrival : log.arrivals)
        for (const auto& answer : log.leaving_answers)
            if (arrival.request.router == answer.request.router &&
                arrival.request.sent_us > answer.request.leaving_us + drain_us &&
                !had_fault(faults, arrival.request.router, answer.request.leaving_us,
                           arrival.at_us))
                late.try_emplace(arrival.request.router,
                                 "drain: " + file + " told the router at " +
                                     std::to_string(answer.request.leaving_us) +
                                     " that it is leaving and got a request of r" +
                                     std::to_string(arrival.request.router) + " at " +
                                     std::to_string(arrival.at_us));
    std::map<std::size_t, std::string> excess; ///< by router
    for (const auto& away : log.turned_away)
    {
        const auto from_us = away.at_us + contact_us;
        const auto to_us = away.at_us + static_cast<std::int64_t>(away.retry_after_s * us_in_s);
        const auto n = std::ranges::count_if(log.arrivals,
                                             [&](const log_event& it) {
                                                 return it.request.router == away.request.router &&
                                                        it.at_us > from_us && it.at_us < to_us;
                                             });
        if (n > allowed_arrivals &&
            !had_fault(faults, away.request.router, away.at_us - max_way_us, to_us) &&
            !was_cut(file, evidence, away.at_us - max_way_us, to_us))
            excess.try_emplace(away.request.router,
                               "budget: " + file + " named " + std::to_string(away.retry_after_s) +
                                   " s at " + std::to_string(away.at_us) + " and got " +
                                   std::to_string(n) + " requests of r" +
                                   std::to_string(away.request.router));
    }
    std::vector<std::string> violations;
    for (const auto* found : {&late, &excess})
        for (const auto& [router, text] : *found)
            violations.push_back(text);
    return violations;
}

} // namespace eelgrassrail::soak
