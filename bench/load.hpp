/// Open-loop load generator for entry daemons or workers, with a latency histogram per class.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/observe/histogram.hpp>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace eelgrassrail::harness
{

/// One kind of request in a load.
struct load_class
{
    std::string service;
    std::string method;
    double weight{1.0}; ///< relative share of all requests
    millis deadline{2000};
    std::string prefix{"/v1"};   ///< of the path; empty: a direct call to a worker
    std::string request_class{}; ///< empty: the first class of the service
};

/// Rate, duration and mix of the requests to send.
struct load_plan
{
    std::vector<std::string> addresses; ///< IP:PORT, used round-robin
    double rate{100.0};                 ///< mean requests per second; arrivals are Poisson
    millis length{1000};
    std::uint64_t seed{1};
    std::vector<load_class> mix;
    std::size_t keys{1000};
    std::size_t hot_keys{}; ///< number of hot keys, which get `hot_share` of the requests
    double hot_share{};
    bool retry_refused{};         ///< retries at the next address if the connection is refused
    std::size_t connections{512}; ///< to each address
};

/// Counts and latencies of the answers.
struct load_report
{
    std::uint64_t sent{};
    std::uint64_t answered{};                      ///< complete answers, whatever their outcome
    std::map<std::string, std::uint64_t> outcomes; ///< `done`, or the error kind
    std::map<std::string, histogram> latencies; ///< of done requests since they were due, by class
    std::map<std::string, std::uint64_t> done;  ///< done within the deadline, by class
    std::map<std::string, std::uint64_t> sent_by_class; ///< key: SERVICE or SERVICE/CLASS
    std::map<std::string, std::uint64_t> owners;        ///< done requests by worker
    histogram all;                                      ///< latencies of all done requests
    double seconds{};                                   ///< from the start to the last sent request
    millis max_time_between_done{};                     ///< longest time without a done request
};

/// @brief Sends the load from the calling thread and waits for all answers.
/// @param excluded addresses that get no new requests; may change while the load runs; null: none
/// @param mutex protects `excluded`; not null if `excluded` is not
load_report run_load(const load_plan& plan, const std::set<std::string>* excluded = nullptr,
                     std::mutex* mutex = nullptr);

/// A load that runs in a background thread.
class background_load
{
  public:
    explicit background_load(load_plan plan);

    /// @brief Stops sending to an address, as a load balancer does for a VM that is taken out.
    void exclude(const std::string& address);
    /// @brief Resumes sending to an address.
    void include(const std::string& address);

    /// @brief Waits until the load has ended.
    load_report finish();

  private:
    std::mutex m_mutex;
    std::set<std::string> m_excluded;
    std::future<load_report> m_report;
};

/// One blocking call in a background thread.
class background_call
{
  public:
    template <class Call>
    explicit background_call(Call call)
        : m_result(std::async(std::launch::async, std::move(call)))
    {
    }

    /// @brief Waits for the call and returns its result.
    std::string result() { return m_result.get(); }

  private:
    std::future<std::string> m_result;
};

} // namespace eelgrassrail::harness
