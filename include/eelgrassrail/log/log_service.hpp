/// What eelgrassrail needs of the platform: an append-only log with offsets and a list of VMs.
///
/// The platform's own form of these calls lives in one class that models this concept; the HTTP
/// form is in `http/platform_http.hpp`.
#pragma once

#include <eelgrassrail/ownership/messages.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// A connection to the platform. An empty optional means that no whole answer came in time.
template <class T>
concept log_service = requires(T& service, log_offset from, std::string text)
{
    {
        service.read(from)
        } -> std::same_as<boost::asio::awaitable<std::optional<log_page>>>;
    {
        service.append(text)
        } -> std::same_as<boost::asio::awaitable<append_result>>;
    {
        service.list_vms()
        } -> std::same_as<boost::asio::awaitable<std::optional<std::vector<listed_vm>>>>;
};

} // namespace eelgrassrail
