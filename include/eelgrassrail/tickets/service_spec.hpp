/// Specification of one service in a ticket: everything that an operator sets.
#pragma once

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// One class of requests of a service.
struct class_spec
{
    std::string name;
    std::uint32_t priority{};     ///< 0 to 9; requests of the highest are shed last
    bool idempotent{};            ///< false: runs at most once and needs an Idempotency-Key
    std::uint32_t max_run_ms{};   ///< maximum run time at a backend server
    std::uint32_t queue_ms{};     ///< maximum wait for a free slot
    std::uint32_t tenant_limit{}; ///< maximum requests in flight of one tenant at one lease holder

    bool operator==(const class_spec&) const = default;
};
BOOST_DESCRIBE_STRUCT(class_spec, (),
                      (name, priority, idempotent, max_run_ms, queue_ms, tenant_limit))

/// One worker: a backend server process that serves the keys of this service.
struct worker_spec
{
    std::string id;
    std::string zone;
    std::string address;    ///< host:port, HTTP
    std::uint32_t weight{}; ///< 0 to 100, relative capacity; 0: the worker is leaving

    bool operator==(const worker_spec&) const = default;
};
BOOST_DESCRIBE_STRUCT(worker_spec, (), (id, zone, address, weight))

/// Specification of one service.
struct service_spec
{
    std::string name;
    bool keyed{};                       ///< true: each key is assigned to one worker of the pool
    bool checks_tokens{};               ///< workers reject requests with an outdated fencing token
    std::uint32_t slices{};             ///< number of key space slices; fixed once in force
    std::uint32_t slots{};              ///< maximum concurrent requests of one worker
    std::uint32_t connections{};        ///< maximum connections to one worker
    std::uint32_t lease_ms{};           ///< lease duration after a clean read of the log
    std::uint32_t isolation_grace_ms{}; ///< time that an isolated zone continues to serve
    bool trust_vm_list{};               ///< a VM missing from the platform's list counts as gone
    std::uint32_t unavailable_weight{}; ///< balancer cost of a second without service
    std::uint32_t churn_weight{};       ///< balancer cost of moving a slice
    std::uint32_t moves_per_minute{};   ///< maximum balancing moves of one pool
    std::vector<std::string> evacuated_zones; ///< zones whose entry VMs the operator declares gone
    std::vector<class_spec> classes;
    std::vector<worker_spec> workers;

    bool operator==(const service_spec&) const = default;
};
BOOST_DESCRIBE_STRUCT(service_spec, (),
                      (name, keyed, checks_tokens, slices, slots, connections, lease_ms,
                       isolation_grace_ms, trust_vm_list, unavailable_weight, churn_weight,
                       moves_per_minute, evacuated_zones, classes, workers))

/// @brief Checks ranges and references within one service.
/// @param path path of the service in its ticket, for error messages
/// @throws ticket_error 210 a value is out of range; 211 a duplicate name; 212 the service cannot
///         serve, e.g. without workers
void validate(const service_spec& spec, const std::string& path);

/// @brief Maximum run time over all classes of the service, in ms; 0 without classes.
[[nodiscard]] std::uint32_t max_class_run_ms(const service_spec& spec) noexcept;

/// @brief Finds a class by name; nullptr if there is none.
[[nodiscard]] const class_spec* find_class(const service_spec& spec,
                                           std::string_view name) noexcept;

} // namespace eelgrassrail
