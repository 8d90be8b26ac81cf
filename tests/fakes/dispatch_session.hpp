/// Runs a dispatcher on a manual clock and records its inputs and outputs as text lines.
#pragma once

#include <eelgrassrail/requests/dispatcher.hpp>

#include <string>
#include <vector>

namespace eelgrassrail::fakes
{

/// Test driver of one dispatcher; records one line for each input and output.
class dispatch_session
{
  public:
    /// @param spec the service; its workers are the pool's workers
    explicit dispatch_session(service_spec spec, dispatcher_state start = {});

    void configure();
    void submit(request_number id, const std::string& request_class, const std::string& key,
                const std::string& idempotency_key = {}, const std::string& body = {},
                std::uint32_t attempt = 1, std::uint32_t budget_ms = 2000);
    void answer(request_number id);
    void fail(request_number id, run_failure failure);
    void probe(const std::string& server, probe_result result);
    /// @brief Advances the clock in steps of at most 10 ms, with a tick after each.
    void advance(millis length);
    void record(const std::string& text);
    /// @brief Records and handles the dispatcher's outputs until there are none, in at most 10
    /// rounds.
    void drain();

    /// Whether deltas and grants are acknowledged immediately.
    bool acknowledges_deltas{true};
    bool acknowledges_grants{true};

    service_spec spec;
    dispatcher decisions;
    instant now;
    instant lease_expiry;
    std::vector<slice_index> owned;
    std::optional<log_offset> release_offset;
    std::uint64_t last_delta{};
    std::string lines;
    std::vector<start_command> starts; ///< all starts so far
};

} // namespace eelgrassrail::fakes
