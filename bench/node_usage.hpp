/// Processor time, memory and control traffic of entry daemons.
#pragma once

#include "deployment.hpp"

#include <string>

namespace eelgrassrail::harness
{

/// Resource usage of one process: processor time and traffic since its start, current memory.
struct node_usage
{
    double cpu_seconds{}; ///< user and system time
    double resident_mb{};
    double peer_bytes{}; ///< control traffic, sent and received
};

/// @brief Reads the current usage of an entry daemon.
[[nodiscard]] node_usage usage_of(const deployment& local, std::size_t entry);

/// @brief Sum of a metric over all its labels.
/// @param text answer of /metrics
/// @return 0 if the metric is not listed
[[nodiscard]] double metric_of(const std::string& text, const std::string& name);

/// @brief Blocks the calling thread.
void sleep_for(millis length);

/// @brief The median; 0 if there are no values, the upper of the middle two if their number is
/// even.
[[nodiscard]] double median(std::vector<double> values);

} // namespace eelgrassrail::harness
