/// Streams and calls of the model's store.
#include "model_store.hpp"

#include "model_clock.hpp"
#include <eelgrassrail/core/stream_position.hpp>
#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/peers/codec.hpp>

#include <algorithm>
#include <eelgrassrail_platform/decode.hpp>

namespace eelgrassrail::test
{

namespace asio = boost::asio;

namespace
{

/// As in the client of the store.
constexpr millis call_timeout{800};

/// The key of all ownership records and of the desired state.
constexpr const char* only_key = "map";

const char* const routes_text =
    R"({"version":"r1","limits":{},"listeners":[{"host":"h","rules":[{"kind":"safe","match":)"
    R"({"path_prefix":"/a/"},"action":{"service":"s","timeout":"1s"}}]}],)"
    R"("clusters":[{"name":"s","sharded":true}]})";

} // namespace

model_store::model_store(event_queue& events, chance& random, event_journal& journal,
                         model_conditions& conditions)
    : m_events(events)
    , m_random(random)
    , m_journal(journal)
    , m_conditions(conditions)
    , m_routes(platform::decode_routes(routes_text))
{
    put(platform_stream::routes, only_key, routes_text);
}

platform_calls model_store::calls_for(const store_caller& caller)
{
    platform_calls calls;
    calls.read = [this, caller](platform_stream stream, std::uint64_t from, millis wait)
    { return read(caller, stream, from, wait); };
    calls.newest = [this, caller](platform_stream stream) { return newest(caller, stream); };
    calls.append_ownership = [this, caller](std::string text, std::uint64_t at)
    { return append(caller, std::move(text), at); };
    calls.decode_routes = [this](const std::string&) { return m_routes; };
    calls.decode_worker = [](const stream_record& record)
    {
        worker_change change;
        change.id = record.key;
        change.offset = record.offset;
        change.is_removed = record.value.empty();
        if (!change.is_removed)
            change.entry = read_message<worker_entry>(record.value).value();
        return change;
    };
    return calls;
}

void model_store::put(platform_stream stream, const std::string& key, std::string value)
{
    auto& log = log_of(stream);
    const auto offset = log.records.size();
    if (value.empty())
        log.newest.erase(key);
    else
        log.newest[key] = offset;
    log.records.push_back({offset, key, std::move(value)});
    log.appended.push_back(model_now());
    std::vector<std::function<void()>> woken;
    for (auto it = m_waiting.begin(); it != m_waiting.end();)
    {
        const bool is_due = it->stream == stream && it->from <= make_position(m_era, offset);
        if (is_due)
            woken.push_back(std::move(it->wake));
        it = is_due ? m_waiting.erase(it) : std::next(it);
    }
    for (const auto& wake : woken)
        wake();
}

void model_store::compact(std::size_t kept)
{
    auto& log = log_of(platform_stream::ownership);
    if (log.records.size() <= kept)
        return;
    log.first = std::max<std::uint64_t>(log.first, log.records.size() - kept);
}

void model_store::compact_workers()
{
    auto& log = log_of(platform_stream::workers);
    log.first = log.records.size();
}

void model_store::restore(boot_clock::duration age)
{
    ++m_era;
    auto& log = log_of(platform_stream::ownership);
    const auto kept = static_cast<std::size_t>(
        std::ranges::upper_bound(log.appended, model_now() - age) - log.appended.begin());
    m_journal.add_line("store: restored era=" + std::to_string(m_era) +
                       " lost=" + std::to_string(log.records.size() - kept));
    log.records.resize(kept);
    log.appended.resize(kept);
    log.first = std::min<std::uint64_t>(log.first, kept);
    log.newest.clear();
    if (kept > 0)
        log.newest[only_key] = kept - 1;
    const auto ended = std::exchange(m_waiting, {});
    std::ranges::for_each(ended, [](const waiting_read& it) { it.wake(); });
}

bool model_store::is_accepted(std::size_t process, std::uint64_t era)
{
    auto& seen = m_seen_eras[process];
    const bool is_latest = era >= seen;
    seen = std::max(seen, era);
    return is_latest;
}

model_store::call_fate model_store::draw_fate(std::size_t process, bool is_append)
{
    constexpr double max_usual_ms = 5.0;
    call_fate fate;
    fate.process = process;
    const bool is_slow = m_random.is(m_conditions.slow_calls);
    fate.way = is_slow ? m_random.ms(150, 500) : m_random.ms(0.5, max_usual_ms);
    fate.back = is_slow ? m_random.ms(150, 400) : m_random.ms(0.5, max_usual_ms);
    const bool is_silent = m_conditions.cut_off.contains(process) || m_conditions.is_store_down;
    fate.is_refused =
        m_random.is(m_conditions.refused_calls) || (is_silent && m_conditions.is_refusing);
    fate.is_executed = !fate.is_refused && !is_silent && !m_random.is(m_conditions.lost_requests);
    fate.is_answered = fate.is_executed && !m_random.is(m_conditions.lost_answers);
    if (is_append && !fate.is_refused && m_random.is(m_conditions.late_appends))
    {
        constexpr double max_late_ms = 6'000.0;
        fate.is_executed = true;
        fate.is_answered = false;
        fate.way = m_random.ms(static_cast<double>(call_timeout.count()), max_late_ms);
    }
    return fate;
}

stream_page model_store::page_from(platform_stream stream, std::uint64_t from) const
{
    constexpr std::size_t max_records = 200;
    const auto& log = log_of(stream);
    stream_page page;
    const auto first = offset_of(from);
    page.has_gap = era_of(from) < m_era || first < log.first;
    page.end = make_position(m_era, first);
    if (page.has_gap || first >= log.records.size())
        return page;
    const auto count = std::min<std::size_t>(log.records.size() - first, max_records);
    const auto begin = log.records.begin() + static_cast<std::ptrdiff_t>(first);
    page.records.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    for (auto& record : page.records)
        record.offset = make_position(m_era, record.offset);
    page.end = make_position(m_era, first + count);
    return page;
}

stream_page model_store::newest_page(platform_stream stream) const
{
    const auto& log = log_of(stream);
    stream_page page;
    page.end = make_position(m_era, log.records.size());
    for (const auto& [key, offset] : log.newest)
    {
        page.records.push_back(log.records[offset]);
        page.records.back().offset = make_position(m_era, offset);
    }
    return page;
}

void model_store::answer(const std::weak_ptr<page_slot>& slot, stream_page page,
                         const call_fate& fate)
{
    if (!fate.is_answered)
        return;
    if (page.has_gap)
        page.end = 0;
    m_events.after(fate.back,
                   [this, slot, answer = std::move(page), process = fate.process, era = m_era]
                   {
                       const auto to = slot.lock();
                       if (!to)
                           return;
                       if (is_accepted(process, era))
                           to->set(answer);
                       else
                           to->set(std::nullopt);
                   });
}

void model_store::execute_read(const std::weak_ptr<page_slot>& slot, platform_stream stream,
                               std::uint64_t from, millis wait, const call_fate& fate)
{
    auto page = page_from(stream, from);
    if (!page.records.empty() || page.has_gap || wait.count() == 0)
    {
        answer(slot, std::move(page), fate);
        return;
    }
    const auto entry =
        m_waiting.insert(m_waiting.end(), {stream, from, [this, slot, stream, from, fate] {
                                               answer(slot, page_from(stream, from), fate);
                                           }});
    // An entry that was woken has no address that another one may reuse before its time ends.
    auto is_done = std::make_shared<bool>(false);
    entry->wake = [wake = std::move(entry->wake), is_done]
    {
        *is_done = true;
        wake();
    };
    m_events.after(wait,
                   [this, entry, is_done]
                   {
                       if (*is_done)
                           return;
                       const auto wake = std::move(entry->wake);
                       m_waiting.erase(entry);
                       wake();
                   });
}

asio::awaitable<std::optional<stream_page>>
model_store::read(store_caller caller, platform_stream stream, std::uint64_t from, millis wait)
{
    const auto slot = std::make_shared<page_slot>(caller.executor);
    const std::weak_ptr<page_slot> weak = slot;
    const auto until = model_now() + call_timeout + wait;
    const auto fate = draw_fate(caller.process, false);
    if (era_of(from) < m_seen_eras[caller.process])
    {
        stream_page gap;
        gap.has_gap = true;
        co_return gap;
    }
    if (fate.is_refused)
        m_events.after(fate.back,
                       [weak]
                       {
                           if (const auto to = weak.lock())
                               to->set(std::nullopt);
                       });
    if (fate.is_executed)
        m_events.after(fate.way, [this, weak, stream, from, wait, fate]
                       { execute_read(weak, stream, from, wait, fate); });
    const auto result = co_await slot->wait(until);
    co_return result.value_or(std::nullopt);
}

asio::awaitable<std::optional<stream_page>> model_store::newest(store_caller caller,
                                                                platform_stream stream)
{
    const auto slot = std::make_shared<page_slot>(caller.executor);
    const std::weak_ptr<page_slot> weak = slot;
    const auto until = model_now() + call_timeout;
    const auto fate = draw_fate(caller.process, false);
    if (fate.is_refused)
        m_events.after(fate.back,
                       [weak]
                       {
                           if (const auto to = weak.lock())
                               to->set(std::nullopt);
                       });
    if (fate.is_executed)
        m_events.after(fate.way,
                       [this, weak, stream, fate] { answer(weak, newest_page(stream), fate); });
    const auto result = co_await slot->wait(until);
    co_return result.value_or(std::nullopt);
}

void model_store::note_claim(const ownership_record& claim)
{
    claim_facts facts;
    facts.at = model_now();
    facts.epoch = claim.version >> epoch_shift;
    facts.cause = "";
    const auto& records = log_of(platform_stream::ownership).records;
    const auto before =
        records.empty() ? std::nullopt : read_message<ownership_record>(records.back().value);
    if (before && claim.version > next_epoch(before->version))
        facts.cause = "claim-of-a-later-epoch-than-recorded";
    else if (before && before->coordinator.address.empty())
        facts.cause = "claim-after-a-resignation";
    else if (before && before->coordinator == claim.coordinator)
        facts.cause = "claim-after-an-own-claim";
    else if (before && before->coordinator.address == claim.coordinator.address)
        facts.cause = "claim-after-an-earlier-life";
    m_claim_facts.push_back(facts);
}

std::string model_store::explain(std::uint64_t token, instant written_at) const
{
    constexpr std::chrono::seconds lease{12};
    const auto epoch = token >> epoch_shift;
    std::string earlier;
    for (const auto& claim : m_claim_facts)
    {
        if (claim.epoch > epoch && claim.at < written_at)
            return "superseded-sender";
        if (claim.epoch == epoch && *claim.cause != 0)
            return claim.cause;
        if (claim.epoch < epoch && *claim.cause != 0 && claim.at > written_at - lease)
            earlier = std::string("earlier-") + claim.cause;
    }
    return earlier.empty() ? "other" : earlier;
}

append_outcome model_store::execute_append(const store_caller& caller, const std::string& text,
                                           std::uint64_t at, const std::string& note)
{
    auto& log = log_of(platform_stream::ownership);
    // After a restore the condition may hold by chance.
    const bool is_done = log.records.size() == offset_of(at);
    const auto record = read_message<ownership_record>(text).value();
    const bool is_claim = (record.version << epoch_shift) == 0;
    if (is_claim)
        m_journal.add_line("store: " + caller.name +
                           (record.coordinator.address.empty() ? " resigns" : " claims") +
                           " version=" + version_text(record.version) +
                           " at=" + std::to_string(at) + (is_done ? " done" : " lost race") + note);
    if (!is_done)
        return era_of(at) == m_era ? append_outcome::lost_race : append_outcome::unknown;
    m_claims += is_claim ? 1 : 0;
    if (is_claim && !record.coordinator.address.empty())
        note_claim(record);
    ++m_appends;
    put(platform_stream::ownership, only_key, text);
    if (m_on_append)
        m_on_append({caller.process, is_claim, true});
    return era_of(at) == m_era ? append_outcome::done : append_outcome::unknown;
}

asio::awaitable<append_outcome> model_store::append(store_caller caller, std::string text,
                                                    std::uint64_t at)
{
    const auto slot = std::make_shared<outcome_slot>(caller.executor);
    const std::weak_ptr<outcome_slot> weak = slot;
    const auto until = model_now() + call_timeout;
    auto fate = draw_fate(caller.process, true);
    if (era_of(at) < m_seen_eras[caller.process])
        co_return append_outcome::lost_race;
    const auto record = read_message<ownership_record>(text).value();
    sent_append sent;
    sent.process = caller.process;
    sent.is_claim = (record.version << epoch_shift) == 0;
    if (m_on_append)
        m_on_append(sent);
    if (sent.is_claim && !m_conditions.has_lost_claims && fate.is_executed)
    {
        constexpr double max_ms = 300.0;
        fate.is_answered = true;
        fate.way = std::min(fate.way, m_random.ms(0, max_ms));
        fate.back = std::min(fate.back, m_random.ms(0, max_ms));
    }
    if (fate.is_refused)
        m_events.after(fate.back,
                       [weak]
                       {
                           if (const auto to = weak.lock())
                               to->set(append_outcome::unknown);
                       });
    if (fate.is_executed)
    {
        const std::string note = fate.is_answered          ? ""
                                 : fate.way > call_timeout ? " (late, not answered)"
                                                           : " (answer lost)";
        m_events.after(fate.way,
                       [this, weak, caller, body = std::move(text), at, fate, note]
                       {
                           if (m_conditions.is_store_down)
                               return;
                           const auto outcome = execute_append(caller, body, at, note);
                           if (!fate.is_answered)
                               return;
                           m_events.after(fate.back,
                                          [this, weak, outcome, process = fate.process, era = m_era]
                                          {
                                              const auto to = weak.lock();
                                              if (!to)
                                                  return;
                                              to->set(is_accepted(process, era)
                                                          ? outcome
                                                          : append_outcome::unknown);
                                          });
                       });
    }
    const auto result = co_await slot->wait(until);
    co_return result.value_or(append_outcome::unknown);
}

} // namespace eelgrassrail::test
