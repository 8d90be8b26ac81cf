/// The way of a caller's request to a worker and of the answer back.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/http/caller_watch.hpp>
#include <eelgrassrail/requests/quarantine.hpp>
#include <eelgrassrail/requests/retry_budget.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/worker_links.hpp>
#include <eelgrassrail/routing/admission.hpp>
#include <eelgrassrail/routing/split_chooser.hpp>
#include <eelgrassrail/routing/worker_choice.hpp>

#include <memory>
#include <random>
#include <string>

namespace eelgrassrail
{

struct routed_request;
struct sent_request;

/// Serves callers of one process. A request is sent to one worker at a time; it goes to another one
/// only if the first is known not to have run it, or if it is idempotent.
class request_path
{
  public:
    request_path(boost::asio::any_io_executor executor, router_state& state, worker_links& links);

    /// @brief Answers one request.
    boost::asio::awaitable<http_reply> serve(http_call call, std::shared_ptr<caller_watch> watch);

    /// @brief What the coordinator is to be told; starts a new period.
    [[nodiscard]] entry_report take_report();

    /// @brief Another process has seen requests that were running when workers were lost.
    void take_crashes(const std::vector<crash_sight>& crashes, instant now);

    /// @brief Requests that are being served.
    [[nodiscard]] std::size_t in_flight() const noexcept { return m_in_flight; }

  private:
    boost::asio::awaitable<http_reply> route(routed_request& request);
    boost::asio::awaitable<std::optional<http_reply>> try_once(routed_request& request);
    boost::asio::awaitable<std::optional<http_reply>> send(routed_request& request,
                                                           const known_worker& worker);
    boost::asio::awaitable<void> check_lost_worker(std::uint64_t fingerprint, worker_entry worker);

    [[nodiscard]] const known_worker* pick(routed_request& request, double& wait_ms);
    [[nodiscard]] const known_worker* pick_owner(routed_request& request, double& wait_ms) const;
    void count_arrival(const routed_request& request);
    [[nodiscard]] instant owner_expected_by(const routed_request& request) const;
    [[nodiscard]] double closed_for_ms(const worker_entry& worker, instant now) const;
    void note_end(const worker_entry& worker, worker_link& link, const sent_request& sent);
    [[nodiscard]] worker_option describe_worker(const known_worker& worker, instant now) const;
    [[nodiscard]] admission_terms terms_of(const routed_request& request,
                                           const known_worker& worker, instant now) const;
    [[nodiscard]] http_call to_worker(const routed_request& request,
                                      const known_worker& worker) const;
    [[nodiscard]] bool may_retry(routed_request& request);
    [[nodiscard]] std::string facts(const routed_request& request) const;
    [[nodiscard]] std::string evidence(const routed_request& request) const;
    [[nodiscard]] http_reply refuse(routed_request& request, error_kind kind, double wait_ms);
    [[nodiscard]] retry_budget& budget(const std::string& service);
    [[nodiscard]] double typical_ms(const std::string& service) const;

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    worker_links& m_links;
    split_chooser m_splits;
    quarantine m_quarantine;
    std::map<std::string, retry_budget, std::less<>> m_budgets; ///< by service
    std::map<std::string, double, std::less<>> m_typical_ms;    ///< by service, of answers
    std::map<std::string, key_sight, std::less<>> m_keys;       ///< since the last report
    std::map<std::string, send_window, std::less<>> m_zones;    ///< by availability zone
    std::vector<crash_sight> m_crashes;                         ///< since the last report
    std::mt19937 m_random;
    std::size_t m_in_flight{};
    instant m_idle_reset{}; ///< a kept connection was reset when it was used again
    std::uint64_t m_next_label{1};
};

} // namespace eelgrassrail
