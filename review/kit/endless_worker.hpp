/// Stand-in worker whose answers may come without end.
#pragma once

#include "deployment.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <string>

namespace review
{

/// Limits the bytes that a router receives, as its network link does.
class router_links
{
  public:
    /// @param bytes_per_s of each router
    explicit router_links(double bytes_per_s)
        : m_bytes_per_s(bytes_per_s)
    {
    }

    /// @brief Reserves time on the link of a router.
    /// @return when the piece may be sent
    eelgrassrail::instant reserve(const std::string& router, std::size_t bytes);

  private:
    double m_bytes_per_s;
    std::map<std::string, eelgrassrail::instant> m_free_at;
};

/// Reads one request on each connection. If it is faulty, the body of its answer does not end
/// before the caller closes.
class endless_worker
{
  public:
    endless_worker(deployment& world, std::string id, bool is_faulty, router_links& links);

    /// @brief Puts the worker's entry into the store.
    boost::asio::awaitable<void> enlist(std::string service);

    [[nodiscard]] std::uint64_t answers() const { return m_answers; }

  private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(socket caller);
    boost::asio::awaitable<void> send_without_end(socket& caller, std::string router);

    deployment& m_world;
    std::string m_id;
    std::string m_address;
    bool m_is_faulty;
    router_links& m_links;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_answers{};
};

} // namespace review
