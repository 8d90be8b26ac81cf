/// HTTP client of the platform's log and VM list.
///
/// GET /log?from=N gives {"start","first","head","records"}; POST /log appends the body and gives
/// {"offset"}; GET /vms gives a list of {"vm","zone","address","leaving"}.
#pragma once

#include <eelgrassrail/http/client.hpp>
#include <eelgrassrail/log/log_service.hpp>

namespace eelgrassrail
{

/// HTTP implementation of the `log_service` concept.
class platform_http
{
  public:
    /// @param address IP:PORT of the platform
    /// @param timeout of each call
    platform_http(boost::asio::any_io_executor executor, const std::string& address,
                  millis timeout);

    boost::asio::awaitable<std::optional<log_page>> read(log_offset from);
    boost::asio::awaitable<append_result> append(std::string text);
    boost::asio::awaitable<std::optional<std::vector<listed_vm>>> list_vms();

    /// @brief Fault injection: while set, no call is sent and no response is delivered.
    void set_cut(bool cut) noexcept { m_partitioned = cut; }

    /// @brief Number of calls so far.
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

  private:
    boost::asio::awaitable<http_exchange> exchange(http_call call);

    http_client m_client;
    millis m_timeout;
    bool m_partitioned{};
    std::uint64_t m_calls{};
};

static_assert(log_service<platform_http>);

} // namespace eelgrassrail
