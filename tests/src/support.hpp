/// Helpers of the tests: golden files, services, tickets, log records and a start time.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/tickets/deployment_state.hpp>
#include <eelgrassrail/tickets/log_record.hpp>

#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Start time of tests with a simulated clock.
constexpr instant start_time{std::chrono::seconds(1000)};

/// @brief Asserts that a transcript equals tests/golden/NAME.txt. If the environment variable
/// EELGRASSRAIL_UPDATE_GOLDEN is set, the file is written first.
void check_golden(const std::string& name, const std::string& transcript);

/// @brief A keyed service with an idempotent class `lookup` and a non-idempotent class `filing`.
/// @param zones zones of the workers w0, w1, ..., one worker for each element
service_spec make_service(const std::string& name, const std::vector<std::string>& zones);

/// @brief A ticket with one service, based on the ticket number `base`.
ticket make_ticket(service_spec spec, ticket_number base = 0);

/// @brief A log record in its encoded form.
std::string record_text(const std::string& id, log_record::body_type body);

/// @brief Folds records into the state in order; returns the reason of the last fold, empty without
/// records.
std::string fold_all(deployment_state& state, const std::vector<std::string>& records);

} // namespace eelgrassrail::test
