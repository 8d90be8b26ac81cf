/// A dispatcher on a manual clock whose orders are written down as lines of a session.
#pragma once

#include <eelgrassrail/requests/dispatcher.hpp>

#include <string>
#include <vector>

namespace eelgrassrail::fakes
{

/// Drives one dispatcher; every input and order is a line.
class dispatch_session
{
  public:
    /// @param spec the service; its workers are the pool's workers
    explicit dispatch_session(service_spec spec, dispatch_start start = {});

    void configure();
    void submit(request_number id, const std::string& request_class, const std::string& key,
                const std::string& idempotency_key = {}, const std::string& body = {},
                std::uint32_t attempt = 1, std::uint32_t budget_ms = 2000);
    void answer(request_number id);
    void fail(request_number id, run_failure failure);
    void probe(const std::string& server, probe_result result);
    void pass(millis length);
    void note(const std::string& text);
    void drain();

    /// Acknowledge deltas and grants at once.
    bool acknowledges{true};
    bool grants{true};

    service_spec spec;
    dispatcher decisions;
    instant now;
    instant acts_until;
    std::vector<slice_index> owned;
    std::optional<log_offset> lost_as_of;
    std::uint64_t last_delta{};
    std::string lines;
    std::vector<start_order> starts; ///< all starts so far
};

} // namespace eelgrassrail::fakes
