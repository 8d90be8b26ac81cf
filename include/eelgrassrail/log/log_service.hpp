/// Interface to the platform: an append-only log with offsets, and the list of VMs.
///
/// An adapter to a platform is a class that models this concept; `http/platform_http.hpp` has the
/// one for HTTP.
#pragma once

#include <eelgrassrail/ownership/messages.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// A client of the platform. An empty optional means that no complete response arrived before the
/// timeout.
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
