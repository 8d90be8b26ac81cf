/// Obtains permits for requests to workers with a rate limit or a pace.
#pragma once

#include <eelgrassrail/limits/permit_decision.hpp>
#include <eelgrassrail/router/permit_message.hpp>
#include <eelgrassrail/router/router_state.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace eelgrassrail
{

/// Asks the coordinator, or decides alone while the coordinator does not answer.
class permit_client
{
  public:
    /// Where requests for permits go.
    struct channels
    {
        /// Sends a message to a process; it may be lost.
        std::function<void(const std::string& address, const permit_request&)> send;
        /// Decides in this process if it holds the coordinator role; otherwise returns nothing.
        std::function<std::optional<permit_reply>(const permit_request&)> decide_here;
    };

    permit_client(boost::asio::any_io_executor executor, router_state& state);

    void start(channels to);

    /// @brief Obtains a permit for one request. Granted at once if the worker has no limit.
    /// @param until deadline of the request
    boost::asio::awaitable<permit_decision> acquire(std::string worker, bool is_urgent,
                                                    instant until);

    /// @brief Notifies the coordinator of the limit of a worker if it differs from what the
    /// coordinator announced.
    void notify(const std::string& worker);

    /// @brief Applies a reply of the coordinator.
    void handle_reply(const permit_reply& reply);

    /// @brief Applies an update of the coordinator; one of an earlier coordinator is ignored.
    void handle_update(const limit_update& update);
    void handle_update(const pace_update& update);

  private:
    /// A request for a permit that has no reply yet.
    struct pending_request
    {
        boost::asio::steady_timer* timer{}; ///< canceled by the reply
        std::optional<permit_reply> reply;
    };

    boost::asio::awaitable<std::optional<permit_reply>> ask(permit_request request, instant until);
    [[nodiscard]] permit_request make_request(const std::string& worker) const;
    permit_decision take_alone(const std::string& worker);
    [[nodiscard]] process_position position() const;
    void send_notice(const std::string& worker);

    boost::asio::any_io_executor m_executor;
    router_state& m_state;
    channels m_channels;
    std::map<std::uint64_t, pending_request> m_pending; ///< by id
    std::uint64_t m_next_id{1};
    instant m_alone_until{}; ///< the coordinator is not asked before
};

} // namespace eelgrassrail
