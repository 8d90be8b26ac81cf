/// Errors, entries without effect and contradicting limits of a desired state.
#include <eelgrassrail/routing/route_check.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassrail
{
namespace
{

/// Least time that one attempt takes. More attempts than that fit into the timeout are a mistake in
/// one of the two figures.
constexpr millis min_attempt_time{10};

std::string subject_of(const route& item)
{
    return item.host + item.path_prefix;
}

std::string text(millis time)
{
    return std::to_string(time.count()) + " ms";
}

/// The first of the routes with the same host and path prefix is used.
const route* find_shadowing(std::span<const route> earlier, const route& item)
{
    const auto it = std::ranges::find_if(
        earlier, [&](const route& other)
        { return other.host == item.host && other.path_prefix == item.path_prefix; });
    return it == earlier.end() ? nullptr : &*it;
}

class route_checker
{
  public:
    explicit route_checker(const route_table& table)
        : m_table(table)
    {
    }

    std::vector<route_finding> run()
    {
        check_limits();
        const std::span routes(m_table.routes);
        for (std::size_t n = 0; n < routes.size(); ++n)
        {
            const bool is_reachable = check_match(routes.first(n), routes[n]);
            check_services(routes[n], is_reachable);
            check_times(routes[n]);
        }
        check_use();
        return std::move(m_findings);
    }

  private:
    void add(finding_kind kind, std::string subject, std::string detail)
    {
        m_findings.push_back({kind, std::move(subject), std::move(detail)});
    }

    void check_limits()
    {
        if (m_table.max_header_bytes == 0)
            add(finding_kind::zero_header_limit, "max_header_bytes", "no request is accepted");
        if (m_table.max_header_bytes > m_table.max_body_bytes)
            add(finding_kind::header_limit_above_body_limit, "max_header_bytes",
                std::to_string(m_table.max_header_bytes) + " bytes, max_body_bytes is " +
                    std::to_string(m_table.max_body_bytes));
        if (m_table.header_timeout == millis(0))
            add(finding_kind::zero_header_timeout, "header_timeout", "no request is accepted");
        if (m_table.idle_timeout < m_table.header_timeout)
            add(finding_kind::idle_timeout_below_header_timeout, "idle_timeout",
                text(m_table.idle_timeout) + ", header_timeout is " + text(m_table.header_timeout));
    }

    /// @return whether requests can match the route
    bool check_match(std::span<const route> earlier, const route& item)
    {
        // An empty prefix matches all paths.
        const bool can_match = item.path_prefix.empty() || item.path_prefix.starts_with('/');
        if (!can_match)
            add(finding_kind::prefix_without_slash, subject_of(item),
                "route " + item.name + " matches no path");
        const auto* other = find_shadowing(earlier, item);
        if (other != nullptr)
            add(finding_kind::shadowed_route, subject_of(item),
                "route " + item.name + " is never used, because route " + other->name +
                    " comes first");
        return can_match && other == nullptr;
    }

    void check_services(const route& item, bool is_reachable)
    {
        bool has_weight = false;
        for (const auto& part : item.services)
        {
            if (m_table.find_service(part.service) == nullptr)
                add(finding_kind::unknown_service, subject_of(item),
                    "route " + item.name + " names service " + part.service);
            if (!(part.weight > 0))
                continue;
            has_weight = true;
            if (is_reachable)
                m_used.insert(part.service);
        }
        if (!has_weight)
            add(finding_kind::no_positive_weight, subject_of(item), "route " + item.name);
    }

    void check_times(const route& item)
    {
        const auto subject = subject_of(item);
        if (item.timeout == millis(0))
            add(finding_kind::zero_timeout, subject, "no request is served");
        else if (item.max_attempts > 1 && item.max_attempts > item.timeout / min_attempt_time)
            add(finding_kind::too_many_attempts, subject,
                std::to_string(item.max_attempts) + " attempts, the timeout is " +
                    text(item.timeout));
        if (item.objective > item.timeout)
            add(finding_kind::objective_above_timeout, subject,
                "target latency " + text(item.objective) + ", the timeout is " +
                    text(item.timeout));
        if (item.max_attempts == 0)
            add(finding_kind::zero_attempts, subject, "one attempt is made");
    }

    void check_use()
    {
        std::set<std::string_view> names;
        for (const auto& service : m_table.services)
            if (!names.insert(service.name).second)
                add(finding_kind::repeated_service, service.name, "the first entry is used");
            else if (!m_used.contains(service.name))
                add(finding_kind::unused_service, service.name, "no route sends requests to it");
    }

    const route_table& m_table;
    std::vector<route_finding> m_findings;
    std::set<std::string_view> m_used; ///< services of routes that requests can match
};

} // namespace

std::vector<route_finding> check_routes(const route_table& table)
{
    return route_checker(table).run();
}

} // namespace eelgrassrail
