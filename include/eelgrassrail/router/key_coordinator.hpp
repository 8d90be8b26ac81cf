/// The duty to coordinate: who owns which keys, and what all processes know.
///
/// One process has it, by a record in the ownership stream that ends the one before. Each change of
/// ownership is a record there, appended under the condition that the stream ends where this
/// process last met it, before the first grant that it allows is sent. So a process that was
/// replaced without knowing it can renew what is on record, with fences below its successor's, and
/// nothing else.
#pragma once

#include <eelgrassrail/grants/claim_policy.hpp>
#include <eelgrassrail/grants/grant_book.hpp>
#include <eelgrassrail/grants/key_balancer.hpp>
#include <eelgrassrail/grants/key_load.hpp>
#include <eelgrassrail/grants/room_control.hpp>
#include <eelgrassrail/grants/worker_speed.hpp>
#include <eelgrassrail/router/peer_link.hpp>
#include <eelgrassrail/router/router_state.hpp>
#include <eelgrassrail/router/worker_links.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace eelgrassrail
{

/// Runs in each process; acts in the one that has the duty.
class key_coordinator
{
  public:
    key_coordinator(boost::asio::any_io_executor executor, router_state& state, worker_links& links,
                    peer_link& peers);

    void start();

    /// @brief Gives the duty up, so that another process claims it at once.
    boost::asio::awaitable<void> resign();

    /// @brief A process has reported.
    void take_report(const entry_report& report, instant now);

    /// @brief Whether this process has the duty and knows of no successor.
    [[nodiscard]] bool is_active() const noexcept { return m_is_active; }

  private:
    /// What is known of one process that reports here, for itself and those behind it.
    struct reporter
    {
        instant last_heard{};
        std::map<std::string, std::uint32_t, std::less<>> in_flight; ///< by worker id
    };

    /// What all reports say of one worker.
    struct worker_record
    {
        worker_speed speed;
        double failing{};
        instant last_answered{};   ///< it answered a grant
        std::size_t refusals{};    ///< connections that it refused in a row
        std::uint32_t in_flight{}; ///< sum over all reporters
        double capacity{};         ///< requests a second, as last planned with
        room_control control;      ///< part of the demand for its keys that it can run
        worker_use pushed;         ///< what the processes were told last
    };

    /// One range of keys on its way to a new owner.
    struct key_move
    {
        std::string service;
        key_slice slice; ///< owner and previous owner
        std::uint64_t fence{};
        std::uint64_t epoch{}; ///< the move is dropped if another epoch has begun
        bool is_balancing{};   ///< between live workers; others may wait until a hold runs out
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> learn_owners();
    boost::asio::awaitable<void> follow_stream();
    boost::asio::awaitable<void> claim();
    boost::asio::awaitable<bool> write_record(ownership_record record, const char* why);
    boost::asio::awaitable<void> plan_all();
    boost::asio::awaitable<void> move_keys(key_move move);
    boost::asio::awaitable<std::string> free_source(const key_move& move);
    boost::asio::awaitable<bool> give_to_target(const key_move& move, const std::string& handover);
    boost::asio::awaitable<void> renew(worker_entry worker, std::string service);
    boost::asio::awaitable<http_exchange> call_worker(const worker_entry& worker, http_call call,
                                                      millis timeout, bool is_grant);
    boost::asio::awaitable<void> pause(millis time);

    [[nodiscard]] std::vector<key_move> plan_moves(instant now);
    void begin_move(key_move move);
    void take_duty(const coordinator_identity& before, instant last_grants);
    void step_down(const char* why);
    void renew_all(instant now);
    void push_news(instant now);
    void push_soon();
    [[nodiscard]] std::vector<news_member> living_members(instant now) const;
    [[nodiscard]] news_member own_member() const;
    void resume_moves();
    void ask_for_copy(const entry_report& report, instant now);
    void note_exchange(const worker_entry& worker, const http_exchange& exchange, instant now);
    [[nodiscard]] std::vector<worker_use> changed_use(std::uint64_t turn);
    void measure_room();
    void set_in_flight(reporter& sender, const std::vector<worker_sight>& sights);
    [[nodiscard]] bool may_grant(instant now) const;
    [[nodiscard]] bool is_current(const key_move& move) const;
    [[nodiscard]] std::vector<key_worker> usable_workers(const std::string& service, instant now);
    [[nodiscard]] coordinator_evidence evidence(instant now) const;
    [[nodiscard]] std::uint64_t epoch() const;
    void paint(const std::string& service, const key_slice& slice);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    worker_links& m_links;
    peer_link& m_peers;
    grant_book m_book;
    bool m_is_active{};
    bool m_is_planning{};
    bool m_has_stream_end{};
    std::uint64_t m_stream_end{}; ///< of the ownership stream, as last met
    instant m_confirmed_at{};     ///< the stream showed no successor
    instant m_next_plan{};
    instant m_next_push{};
    instant m_last_push{};
    instant m_next_renewal{};
    instant m_next_claim{};
    instant m_next_copy{};
    instant m_last_move{};
    std::uint64_t m_written{};   ///< version of the last record
    std::uint64_t m_push_base{}; ///< version before the first change in `m_changes`
    std::deque<std::pair<instant, slice_change>>
        m_changes; ///< recent, for processes that miss a push
    std::deque<std::pair<instant, std::uint64_t>> m_revisions; ///< of the registry at each push
    std::map<std::string, reporter, std::less<>> m_reporters;  ///< by address
    member_table m_members;
    std::vector<news_member> m_told_members;                     ///< as pushed last
    std::map<std::string, worker_record, std::less<>> m_workers; ///< by id
    std::map<std::string, key_load, std::less<>> m_loads;        ///< by service
    std::vector<std::pair<instant, crash_sight>> m_crashes;
    std::size_t m_moving{};      ///< moves on their way
    std::size_t m_balancing{};   ///< those of them that are between live workers
    std::uint64_t m_push_turn{}; ///< counts pushes
};

} // namespace eelgrassrail
