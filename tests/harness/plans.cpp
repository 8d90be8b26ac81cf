/// Deployment plans of the two users at their current sizes.
#include "deployment.hpp"

namespace eelgrassrail::harness
{
namespace
{

service_spec base_spec(const std::string& name)
{
    service_spec spec;
    spec.name = name;
    spec.slices = 512;
    spec.lease_ms = 600;
    spec.isolation_grace_ms = 60'000;
    spec.trust_vm_list = true;
    spec.moves_per_minute = 60;
    return spec;
}

service_spec keyed(service_spec spec)
{
    spec.keyed = true;
    return spec;
}

/// Balancer weights of the Ice Authority: time without service costs more than moved slices.
service_spec for_ice(service_spec spec)
{
    spec.slots = 3;
    spec.connections = 130;
    spec.unavailable_weight = 4;
    spec.churn_weight = 1;
    return spec;
}

/// Balancer weights of the Records Division: moved slices cost more than time without service.
service_spec for_rides(service_spec spec)
{
    spec.slots = 6;
    spec.connections = 60;
    spec.unavailable_weight = 1;
    spec.churn_weight = 4;
    return spec;
}

service_plan plan(service_spec spec, std::vector<class_spec> classes, std::size_t workers,
                  std::uint32_t run_ms)
{
    spec.classes = std::move(classes);
    return {std::move(spec), workers, run_ms, 0};
}

constexpr std::uint32_t tenant_limit = 10'000;

} // namespace

deployment_plan ice_plan()
{
    deployment_plan result{{"zone-a", "zone-b", "zone-c"}, 4, {}, {}, 4};
    const class_spec lookup{"lookup", 3, true, 400, 300, tenant_limit};
    const class_spec confirmation{"confirmation", 6, false, 800, 500, tenant_limit};
    const class_spec rush{"rush", 9, false, 800, 1000, tenant_limit};
    result.services = {plan(keyed(for_ice(base_spec("windows"))), {lookup}, 20, 3),
                       plan(for_ice(base_spec("contracts")), {confirmation}, 12, 5),
                       plan(for_ice(base_spec("rush")), {rush}, 6, 5)};
    return result;
}

deployment_plan ride_plan()
{
    deployment_plan result{{"zone-a", "zone-b", "zone-c"}, 4, {}, {}, 4};
    const class_spec lookup{"lookup", 3, true, 400, 300, tenant_limit};
    const class_spec renewal{"renewal", 6, false, 800, 500, tenant_limit};
    const class_spec defect{"defect", 9, false, 800, 1000, tenant_limit};
    result.services = {plan(keyed(for_rides(base_spec("certificates"))), {lookup}, 18, 3),
                       plan(for_rides(base_spec("renewals")), {renewal}, 9, 5),
                       plan(for_rides(base_spec("defects")), {defect}, 6, 5)};
    result.services[1].spec.checks_tokens = true;
    result.services[0].spec.checks_tokens = true;
    return result;
}

} // namespace eelgrassrail::harness
