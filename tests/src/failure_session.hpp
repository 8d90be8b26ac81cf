/// Fixture of the fault injection tests: a running deployment and the transcript of the session,
/// which is compared with a golden file.
///
/// The outcomes that callers got are compared with the journals of the workers. The transcript
/// contains no times or addresses, so that it is the same in every run.
#pragma once

#include "deployment.hpp"

#include <map>
#include <string>

namespace eelgrassrail::test
{

/// A plan with two zones of three entries each, and a keyed and an unkeyed service of four workers
/// each.
harness::deployment_plan small_plan();

/// A deployment that has been started, with the first ticket in force and all standbys appointed.
class failure_session
{
  public:
    explicit failure_session(const std::string& name);

    /// Appends a line to the transcript.
    void note(const std::string& text) { lines += text + "\n"; }
    /// Appends the result of a check to the transcript.
    void verdict(const std::string& expectation, bool passed);

    /// Checks that the key is served again, within the required 2 s since `began`.
    void verdict_served_again(bool served, instant began);

    /// Outcome of an idempotent request to the service `windows`; "no answer" if there is none.
    std::string lookup(std::size_t entry, const std::string& key, millis deadline = millis(3000));
    /// Outcome of a non-idempotent request (a filing) to the service `contracts`.
    std::string file(std::size_t entry, const std::string& key, const std::string& id,
                     unsigned attempt = 1, const std::string& body = "order",
                     millis deadline = millis(3000));

    /// Checks that no filing ran twice, that every filing with the outcome `done` ran and that none
    /// with the outcome `not-run` did.
    /// @param outcomes outcome of each filing by its idempotency key
    void check_journal(const std::map<std::string, std::string>& outcomes);

    /// Index of the entry that holds the key, as reported by the entry `via_entry`. Waits until it
    /// is known.
    [[nodiscard]] std::size_t holder_of(const std::string& service, const std::string& key,
                                        std::size_t via_entry = 0) const;

    /// Index of an entry other than `n`.
    [[nodiscard]] std::size_t another_entry(std::size_t n) const
    {
        return (n + 1) % local.entries.size();
    }

    /// Kills all entries of a zone and starts new ones on VMs with other names and addresses.
    void replace_entries(const std::string& zone);

    /// Waits until a sample of keys is served through both zones; false after 30 s.
    [[nodiscard]] bool wait_until_all_served();

    /// A key of the service whose pool is in the zone.
    [[nodiscard]] std::string key_of(const std::string& service, const std::string& zone) const;

    harness::deployment local;
    std::string lines;
};

} // namespace eelgrassrail::test
