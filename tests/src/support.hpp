/// Helpers of the unit tests: golden files, tickets, an instant to count from.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>
#include <eelgrassrail/tickets/log_record.hpp>

#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Time zero of the tests.
constexpr instant start_time{std::chrono::seconds(1000)};

/// @brief Compares a session with tests/golden/NAME.txt; EELGRASSRAIL_UPDATE_GOLDEN=1 writes it.
void check_golden(const std::string& name, const std::string& session);

/// @brief A keyed service with one idempotent class `lookup` and one other class `filing`.
/// @param zones zone of each worker, w0, w1, ...
service_spec make_service(const std::string& name, const std::vector<std::string>& zones);

/// @brief A ticket over one service.
ticket make_ticket(service_spec spec, ticket_number base = 0);

/// @brief Text of a record.
std::string record_text(const std::string& id, log_record::body_type body);

/// @brief Folds records one after the other; returns the reason of the last.
std::string fold_all(deployment_state& state, const std::vector<std::string>& records);

} // namespace eelgrassrail::test
