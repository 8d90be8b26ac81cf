/// Validation of callers' requests: each invalid request is refused with its error kind.
#include "support.hpp"
#include <eelgrassrail/entry/frontend.hpp>

#include <boost/describe/enumerators.hpp>
#include <boost/mp11/list.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

deployment_state one_service()
{
    deployment_state state;
    fold_all(state, {record_text("t1", make_ticket(make_service("orders", {"zone-a"})))});
    return state;
}

std::string outcome_of(const http_call& call)
{
    const auto parsed = read_request(call, one_service());
    if (const auto* refused = std::get_if<answer>(&parsed))
    {
        const auto reply = to_reply(*refused);
        return std::to_string(reply.status) + " " + reply.body;
    }
    const auto& value = std::get<request>(parsed);
    return "accepted " + value.service + " " + value.request_class + " key=" + value.key +
           " target=" + value.target + " budget=" + std::to_string(value.budget_ms) + "\n";
}

http_call call_with(const std::string& target, std::vector<header_field> fields,
                    const std::string& method = "POST")
{
    return {method, target, std::move(fields), {}};
}

} // namespace

class unit_read_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_read_request);
    CPPUNIT_TEST(requests_and_their_refusals);
    CPPUNIT_TEST(the_table_has_a_row_for_each_kind);
    CPPUNIT_TEST_SUITE_END();

  public:
    void requests_and_their_refusals()
    {
        const header_field tenant{"Tenant", "bar-17"};
        const header_field filing{"Request-Class", "filing"};
        const std::vector<http_call> calls{
            call_with("/v1/orders/bar-1/tonight?from=now", {tenant}, "GET"),
            call_with("/v1/orders/a%2Fb", {tenant, {"Deadline-Ms", "250"}}, "GET"),
            call_with("/v1/orders/bar-1", {tenant, filing, {"Idempotency-Key", "f-1"}}),
            call_with("/v1/orders/bar-1", {tenant, filing}),
            call_with("/v1/orders/bar-1", {}),
            call_with("/v1/orders/bar-1", {{"Tenant", std::string(129, 'x')}}),
            call_with("/v1/orders/bar-1", {tenant, {"Request-Class", "nothing"}}),
            call_with("/v1/orders/bar-1", {tenant, {"Deadline-Ms", "0"}}),
            call_with("/v1/orders/bar-1", {tenant, {"Deadline-Ms", "60001"}}),
            call_with("/v1/orders/bar-1", {tenant, {"Deadline-Ms", "-5"}}),
            call_with("/v1/orders/bar-1", {tenant, {"Deadline-Ms", "99999999999999999999"}}),
            call_with("/v1/orders/bar-1", {tenant, {"Request-Attempt", "0"}}),
            call_with("/v1/orders/", {tenant}),
            call_with("/v1/orders", {tenant}),
            call_with("/v1/orders//x", {tenant}),
            call_with("/v1/nothing/bar-1", {tenant}),
            call_with("/elsewhere", {tenant}),
            call_with("/v1/orders/" + std::string(257, 'k'), {tenant}),
            call_with("/v1/orders/%C3%28", {tenant}),
            call_with("/v1/orders/%zz", {tenant}),
            call_with("/v1/orders/%00", {tenant}),
            call_with("/v1/orders/bar-1", {{"Tenant", "\xff\xfe"}}),
            call_with("/v1/orders/bar-1", {tenant}, "BREW"),
        };
        std::string report;
        for (const auto& call : calls)
            report += call.method + " " + call.target.substr(0, 40) + "\n  " + outcome_of(call);
        check_golden("bad-requests", report);
    }

    void the_table_has_a_row_for_each_kind()
    {
        std::set<std::string_view> names;
        for (const auto& row : error_table())
        {
            CPPUNIT_ASSERT(row.kind == describe(row.kind).kind);
            names.insert(name_of(row.kind));
        }
        const auto kinds =
            boost::mp11::mp_size<boost::describe::describe_enumerators<error_kind>>::value;
        CPPUNIT_ASSERT_EQUAL(kinds, names.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_read_request);
