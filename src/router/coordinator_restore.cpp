/// The coordinator after the store was restored from a copy: its latest records may be gone, while
/// the grants that they permitted are in force.
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/router/key_coordinator.hpp>

#include <boost/asio/use_awaitable.hpp>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr millis retry_backoff{300};

} // namespace

/// Writes the record of the coordinator in office again, under a new epoch of its own. It knows all
/// grants since it began to grant, so they stay in force; a wait of its term goes on. If its term
/// has lapsed, the record of a successor may be gone, and it waits as a claimer does. Nothing else
/// is recorded before.
/// @param newest the listing of the ownership stream that showed the restore
/// @param base the record in it, if it can be decoded
asio::awaitable<void> key_coordinator::record_after_restore(stream_page newest,
                                                            std::optional<recorded_ownership> base)
{
    const auto call_start = boot_clock::now();
    const auto era = era_of(newest.end);
    if (base && base->record.version >> epoch_shift > m_term.epoch())
    {
        // Epochs of the new era exceed all earlier ones, so this record was written in it.
        if (continue_own_claim(*base, newest, call_start))
            co_return;
        step_down("successor on record of the restored store");
        m_state.apply_ownership(base->record);
        co_return;
    }
    const auto term = m_term.epoch();
    if (m_term.has_lapsed(call_start))
        m_term.hold_grants(call_start + role_lease + m_grants.longest_lease());
    auto record = make_record(m_state.maps, call_start);
    record.version = first_version_of(era, m_state.max_ownership_version);
    const auto earlier = record.find_lease_times().value_or(lease_times{}).earlier;
    const auto end = co_await m_state.calls.append_ownership(write_message(record), newest.end);
    m_state.counters.count("ownership_rewrites");
    log_warning(log_part::ownership,
                "store restored from a copy era=" + std::to_string(era) +
                    " record_on_copy=" + std::to_string(base ? base->record.version : 0) +
                    " version=" + std::to_string(record.version) +
                    " no_grants_ms=" + std::to_string(m_term.grant_hold(call_start).count()) +
                    " written=" + (end == append_outcome::done ? "1" : "0"));
    if (!m_term.is_active() || term != m_term.epoch())
        co_return;
    if (end != append_outcome::done)
    {
        co_await delay(retry_backoff);
        co_return;
    }
    m_stream_end = newest.end + 1;
    start_coordinating(record, {}, call_start, call_start + earlier);
}

/// The owners that a claim continues in a restored store: those on record, or those that this
/// process knows if they are newer.
/// @return whether records of the latest owners may be missing
bool key_coordinator::use_known_owners(std::optional<recorded_ownership>& base,
                                       std::uint64_t stream_end) const
{
    const auto era = era_of(stream_end);
    // Without a record this is the first start, unless owners are known here.
    const bool is_first = m_state.settings.is_first_start && m_state.ownership_version == 0;
    const bool is_restored = base ? epoch_era(base->record.version) < era : era > 0 && !is_first;
    if (!is_restored)
        return false;
    if (m_state.ownership_version > (base ? base->record.version : 0))
        base = recorded_ownership{m_state.make_record(m_state.maps), boot_clock::now()};
    m_state.counters.count("claims_after_restore");
    log_warning(log_part::ownership,
                "claim in a restored store era=" + std::to_string(era) +
                    " version=" + std::to_string(base ? base->record.version : 0) +
                    " grants wait for all leases");
    return true;
}

} // namespace eelgrassrail
