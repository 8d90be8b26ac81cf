/// Processor time, memory and control traffic of entry daemons.
#pragma once

#include "deployment.hpp"

#include <string>

namespace eelgrassrail::harness
{

/// Usage of one process at one instant.
struct node_usage
{
    double cpu_seconds{};
    double resident_mb{};
    double peer_bytes{}; ///< sent and received
};

/// @brief Reads the usage of an entry daemon.
[[nodiscard]] node_usage usage_of(const deployment& local, std::size_t entry);

/// @brief The value of a line of /metrics, or 0.
[[nodiscard]] double metric_of(const std::string& text, const std::string& name);

/// @brief Lets time pass.
void wait_for(millis length);

/// @brief The median of some values.
[[nodiscard]] double median(std::vector<double> values);

} // namespace eelgrassrail::harness
