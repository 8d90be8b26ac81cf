/// Names and classes of findings.
#include <eelgrassrail/routing/route_finding.hpp>

#include <algorithm>
#include <array>

namespace eelgrassrail
{
namespace
{

struct kind_row
{
    finding_kind kind;
    finding_class of;
    std::string_view name;
};

using enum finding_kind;
using enum finding_class;

constexpr std::array rows{
    kind_row{invalid_document, error, "invalid_document"},
    kind_row{unknown_service, error, "unknown_service"},
    kind_row{no_positive_weight, error, "no_positive_weight"},
    kind_row{version_not_higher, error, "version_not_higher"},
    kind_row{shadowed_route, without_effect, "shadowed_route"},
    kind_row{prefix_without_slash, without_effect, "prefix_without_slash"},
    kind_row{unused_service, without_effect, "unused_service"},
    kind_row{repeated_service, without_effect, "repeated_service"},
    kind_row{objective_above_timeout, contradiction, "objective_above_timeout"},
    kind_row{zero_timeout, contradiction, "zero_timeout"},
    kind_row{zero_attempts, contradiction, "zero_attempts"},
    kind_row{too_many_attempts, contradiction, "too_many_attempts"},
    kind_row{zero_header_limit, contradiction, "zero_header_limit"},
    kind_row{header_limit_above_body_limit, contradiction, "header_limit_above_body_limit"},
    kind_row{zero_header_timeout, contradiction, "zero_header_timeout"},
    kind_row{idle_timeout_below_header_timeout, contradiction, "idle_timeout_below_header_timeout"},
    kind_row{route_added, difference, "route_added"},
    kind_row{route_removed, difference, "route_removed"},
    kind_row{route_changed, difference, "route_changed"},
    kind_row{service_added, difference, "service_added"},
    kind_row{service_removed, difference, "service_removed"},
    kind_row{service_changed, difference, "service_changed"},
    kind_row{limits_changed, difference, "limits_changed"},
};

/// Each kind has the row at its position.
static_assert(std::ranges::all_of(rows, [](const kind_row& row)
                                  { return &row - rows.data() == static_cast<int>(row.kind); }));
static_assert(rows.size() == static_cast<std::size_t>(limits_changed) + 1);

} // namespace

finding_class class_of(finding_kind kind) noexcept
{
    return rows[static_cast<std::size_t>(kind)].of;
}

std::string_view name_of(finding_kind kind) noexcept
{
    return rows[static_cast<std::size_t>(kind)].name;
}

std::string_view name_of(finding_class value) noexcept
{
    constexpr std::array<std::string_view, 4> names{"error", "without_effect", "contradiction",
                                                    "difference"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace eelgrassrail
