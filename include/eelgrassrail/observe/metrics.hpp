/// Counters and histograms of one process, with their text form.
#pragma once

#include <eelgrassrail/core/error_kind.hpp>
#include <eelgrassrail/observe/histogram.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassrail
{

/// What a request histogram is kept for.
struct request_label
{
    std::string tenant;
    std::string service;
    std::string request_class;

    auto operator<=>(const request_label&) const = default;
};

/// Metrics of one process. Tenants beyond `most_tenants` share the label `other`.
class metrics
{
  public:
    static constexpr std::size_t most_tenants = 1000;

    /// @brief A request was answered.
    void on_answer(const request_label& label, error_kind kind, boot_clock::duration took);

    /// @brief Adds to a named counter.
    void count(const std::string& name, std::uint64_t n = 1) { m_counters[name] += n; }

    /// @brief Sets a named gauge.
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
