/// Metrics of one process, exported in the Prometheus text format.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/observe/histogram.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassrail
{

/// Labels of a request histogram.
struct request_label
{
    std::string tenant;
    std::string service;
    std::string request_class;

    auto operator<=>(const request_label&) const = default;
};

/// Metrics of one process. The first `max_request_labels` combinations of labels get histograms of
/// their own; requests with further ones are counted with tenant `other`.
class metrics
{
  public:
    static constexpr std::size_t max_request_labels = 1000;

    /// @brief Records the answer to a request.
    /// @param took duration of the request
    void on_answer(const request_label& label, error_kind kind, boot_clock::duration took);

    /// @brief Increments the counter `eelgrassrail_<name>_total`.
    void count(const std::string& name, std::uint64_t n = 1) { m_counters[name] += n; }

    /// @brief Sets the gauge `eelgrassrail_<name>`.
    void set(const std::string& name, double value) { m_gauges[name] = value; }

    /// @brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

  private:
    std::map<request_label, histogram> m_requests;
    std::map<error_kind, std::uint64_t> m_kinds;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
};

} // namespace eelgrassrail
