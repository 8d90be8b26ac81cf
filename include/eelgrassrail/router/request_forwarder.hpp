/// Forwards callers' requests to workers and returns the workers' answers.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/http/caller_watch.hpp>
#include <eelgrassrail/requests/retry_budget.hpp>
#include <eelgrassrail/router/permit_client.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/stop_plan.hpp>
#include <eelgrassrail/router/worker_links.hpp>
#include <eelgrassrail/routing/admission.hpp>
#include <eelgrassrail/routing/split_chooser.hpp>
#include <eelgrassrail/routing/worker_choice.hpp>
#include <eelgrassrail/routing/worker_pauses.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace eelgrassrail
{

struct routed_request;
struct attempt_result;

/// Serves the callers of one process. A request is sent to one worker at a time. It is retried on
/// another worker only if the first one is known not to have run it, or if it is idempotent.
class request_forwarder
{
  public:
    request_forwarder(boost::asio::any_io_executor executor, router_state& state,
                      worker_links& links, permit_client& permits);

    /// @brief Serves one request, retries included.
    /// @return the worker's answer, or a refusal
    boost::asio::awaitable<http_reply> serve(http_call call, std::shared_ptr<caller_watch> watch);

    /// @brief What was observed since the last call, for the coordinator; resets the counts.
    [[nodiscard]] entry_report collect_report();

    /// @brief From now on requests that could be cut by the end of the process are refused.
    void begin_stop(const stop_plan& plan);

    /// @brief Number of requests being served.
    [[nodiscard]] std::size_t in_flight() const noexcept { return m_in_flight; }

  private:
    boost::asio::awaitable<http_reply> route(routed_request& request);
    boost::asio::awaitable<std::optional<http_reply>> try_once(routed_request& request);
    boost::asio::awaitable<std::optional<http_reply>> send(routed_request& request,
                                                           const known_worker& worker);
    boost::asio::awaitable<void> check_lost_worker(std::uint64_t fingerprint, worker_entry worker);

    [[nodiscard]] bool can_still_send(const routed_request& request,
                                      const worker_incarnation& worker) const;
    [[nodiscard]] bool may_pass_on(const routed_request& request, instant now) const;
    [[nodiscard]] bool accepts_requests(const worker_incarnation& worker, instant now) const;
    [[nodiscard]] static bool is_urgent(const routed_request& request);
    [[nodiscard]] const known_worker* select_worker(routed_request& request, double& wait_ms);
    [[nodiscard]] const known_worker* select_owner(routed_request& request, double& wait_ms);
    void count_arrival(const routed_request& request);
    [[nodiscard]] instant owner_wait_deadline(const routed_request& request) const;
    [[nodiscard]] double remaining_backoff_ms(const worker_entry& worker, instant now) const;
    void record_rate_limit(const std::string& worker, const http_reply& reply, bool is_run_answer,
                           instant sent_at);
    bool record_retry_after(const worker_incarnation& worker, const http_reply& reply, instant now);
    void record_result(const worker_entry& worker, worker_link& link, const attempt_result& result);
    [[nodiscard]] worker_option make_worker_option(const known_worker& worker, instant now) const;
    [[nodiscard]] admission_inputs make_admission_inputs(const routed_request& request,
                                                         const known_worker& worker,
                                                         instant now) const;
    [[nodiscard]] http_call make_call_to(const routed_request& request,
                                         const known_worker& worker) const;
    [[nodiscard]] bool may_retry(routed_request& request);
    [[nodiscard]] std::string request_log_fields(const routed_request& request) const;
    [[nodiscard]] std::string decision_log_fields(const routed_request& request) const;
    [[nodiscard]] http_reply refuse(routed_request& request, error_kind kind, double wait_ms);
    [[nodiscard]] retry_budget& retry_budget_of(const std::string& service);
    [[nodiscard]] double typical_ms(const std::string& service) const;

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    worker_links& m_links;
    permit_client& m_permits;
    split_chooser m_splits;
    std::map<std::string, retry_budget, std::less<>> m_budgets;   ///< by service
    std::map<std::string, double, std::less<>> m_typical_ms;      ///< by service; moving average
    std::map<std::string, key_sample, std::less<>> m_key_samples; ///< since the last report
    std::map<std::string, send_backoff, std::less<>> m_zone_backoffs; ///< by availability zone
    worker_pauses m_pauses;
    std::vector<crash_report> m_crash_reports; ///< since the last report
    std::mt19937 m_random;
    std::size_t m_in_flight{};
    instant m_last_idle_reset{}; ///< last reset of a reused idle connection
    std::uint64_t m_next_label{1};
    std::optional<stop_plan> m_stop; ///< set once the process is stopping
};

} // namespace eelgrassrail
