/// Comparison with golden files, and builders of services, tickets and log records.
#include "support.hpp"

#include <eelgrassrail/tickets/fold.hpp>

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace eelgrassrail::test
{

void check_golden(const std::string& name, const std::string& transcript)
{
    const auto file = "tests/golden/" + name + ".txt";
    if (std::getenv("EELGRASSRAIL_UPDATE_GOLDEN") != nullptr)
        std::ofstream(file) << transcript;
    std::ifstream in(file);
    std::ostringstream golden;
    golden << in.rdbuf();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(file, golden.str(), transcript);
}

service_spec make_service(const std::string& name, const std::vector<std::string>& zones)
{
    service_spec spec;
    spec.name = name;
    spec.keyed = true;
    spec.slices = 8;
    spec.slots = 2;
    spec.connections = 4;
    spec.lease_ms = 600;
    spec.isolation_grace_ms = 60'000;
    spec.trust_vm_list = true;
    spec.unavailable_weight = 1;
    spec.churn_weight = 1;
    spec.moves_per_minute = 60;
    spec.classes = {{"lookup", 1, true, 300, 200, 100}, {"filing", 9, false, 500, 200, 100}};
    for (std::size_t n = 0; n < zones.size(); ++n)
        spec.workers.push_back({"w" + std::to_string(n), zones[n], "127.0.0.1:1", 1});
    return spec;
}

ticket make_ticket(service_spec spec, ticket_number base)
{
    return {base, "operator", "a change", {std::move(spec)}, {}};
}

std::string record_text(const std::string& id, log_record::body_type body)
{
    return encode({id, std::move(body)});
}

std::string fold_all(deployment_state& state, const std::vector<std::string>& records)
{
    std::string reason;
    for (const auto& text : records)
        reason = fold(state, state.next, text).reason;
    return reason;
}

} // namespace eelgrassrail::test
