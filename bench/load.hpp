/// Open-loop load on entry daemons or workers, with histograms for each class.
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

/// One kind of request of a load.
struct load_class
{
    std::string service;
    std::string method;
    double weight{1.0}; ///< share of all requests, relative
    millis deadline{2000};
    std::string prefix{"/v1"};   ///< empty: a direct call to a worker
    std::string request_class{}; ///< empty: the first class of the service
};

/// What to send.
struct load_plan
{
    std::vector<std::string> addresses; ///< chosen in turn
    double rate{100.0};                 ///< requests a second
    millis length{1000};
    std::uint64_t seed{1};
    std::vector<load_class> mix;
    std::size_t keys{1000};
    std::size_t hot_keys{}; ///< keys 0..hot_keys-1 get `hot_share` of the requests
    double hot_share{};
    bool skip_stopped{};          ///< a refused connection is tried at the next address
    std::size_t connections{512}; ///< to each address
};

/// What came back.
struct load_report
{
    std::uint64_t sent{};
    std::uint64_t answered{};                      ///< whole answers of any outcome
    std::map<std::string, std::uint64_t> outcomes; ///< `done`, or the error kind
    std::map<std::string, histogram> latencies;    ///< of done requests, by service
    std::map<std::string, std::uint64_t> done;     ///< done within the deadline, by service
    std::map<std::string, std::uint64_t> sent_to;  ///< by service
    std::map<std::string, std::uint64_t> owners;   ///< done requests by worker
    histogram all;
    double seconds{};     ///< from the first to the last sending
    millis longest_gap{}; ///< longest time without a done request
};

/// @brief Sends the load from one thread and waits for all answers.
/// @param left_out addresses that get no new requests; may change while the load runs
load_report run_load(const load_plan& plan, const std::set<std::string>* left_out = nullptr,
                     std::mutex* guard = nullptr);

/// A load that runs in a thread of its own.
class background_load
{
  public:
    explicit background_load(load_plan plan);

    /// @brief The balancer no longer sends to this address.
    void leave_out(const std::string& address);
    void take_in(const std::string& address);

    /// @brief Waits for the end.
    load_report finish();

  private:
    std::mutex m_guard;
    std::set<std::string> m_left_out;
    std::future<load_report> m_report;
};

/// One blocking call in a thread of its own.
class background_call
{
  public:
    template <class Call>
    explicit background_call(Call call)
        : m_result(std::async(std::launch::async, std::move(call)))
    {
    }

    std::string result() { return m_result.get(); }

  private:
    std::future<std::string> m_result;
};

} // namespace eelgrassrail::harness
