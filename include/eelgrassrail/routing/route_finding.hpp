/// What a check of a desired state finds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// What a finding means for the one who sends the desired state.
enum class finding_class : std::uint8_t
{
    error,          ///< processes reject the desired state, or refuse the requests of a route
    without_effect, ///< an entry that no request can match
    contradiction,  ///< limits that can not all take effect
    difference      ///< from the desired state in force; not a fault
};

/// The kind of a finding.
enum class finding_kind : std::uint8_t
{
    invalid_document,        ///< it can not be decoded
    unknown_service,         ///< a route names a service that is not listed
    no_positive_weight,      ///< a route has no service of positive weight
    version_not_higher,      ///< processes ignore it, since versions only increase
    shadowed_route,          ///< an earlier route has the same host and path prefix
    prefix_without_slash,    ///< paths begin with a slash
    unused_service,          ///< no route uses it
    repeated_service,        ///< an earlier one has the same name
    objective_above_timeout, ///< a route's latency objective
    zero_timeout,            ///< a route's timeout
    zero_attempts,           ///< a route's max_attempts
    too_many_attempts,       ///< more than can take place within the timeout
    zero_header_limit,
    header_limit_above_body_limit,
    zero_header_timeout,
    idle_timeout_below_header_timeout,
    route_added,
    route_removed,
    route_changed,
    service_added,
    service_removed,
    service_changed,
    limits_changed
};

/// One finding.
struct route_finding
{
    finding_kind kind{};
    std::string subject; ///< a route as HOST/PREFIX, the name of a service, or a limit
    std::string detail;  ///< for people: values, and what they conflict with

    friend bool operator==(const route_finding&, const route_finding&) = default;
};

[[nodiscard]] finding_class class_of(finding_kind kind) noexcept;

/// @brief The names used in reports, which do not change between versions of this program.
[[nodiscard]] std::string_view name_of(finding_kind kind) noexcept;
[[nodiscard]] std::string_view name_of(finding_class value) noexcept;

} // namespace eelgrassrail
