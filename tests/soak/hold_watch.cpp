/// Tails log files and feeds the check of holds in the order of time.
#include "hold_watch.hpp"

#include <eelgrassrail/core/clock.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <utility>

namespace eelgrassrail::soak
{
namespace
{

/// A line is in the log by this time after its event.
constexpr std::int64_t max_log_delay_us = 2'000'000;

} // namespace

hold_watch::hold_watch(std::string folder)
    : m_folder(std::move(folder))
    , m_check([this](const test::hold_event& event) { return why_excluded(event); })
{
}

void hold_watch::add_end(const std::string& life, std::int64_t at_us)
{
    test::hold_event event;
    event.life = life;
    event.kind = test::hold_kind::end;
    event.at_us = at_us;
    m_events.push_back(std::move(event));
}

void hold_watch::read_logs()
{
    for (const auto& file : std::filesystem::directory_iterator(m_folder))
    {
        if (!file.path().stem().string().starts_with("worker"))
            continue;
        auto& position = m_read[file.path().string()];
        std::ifstream in(file.path());
        in.seekg(position);
        for (std::string line; std::getline(in, line) && !in.eof();)
        {
            position = in.tellg();
            auto event = test::parse_hold_line(line);
            if (!event)
                continue;
            if (event->kind == test::hold_kind::renewal)
                m_last_renewal_us = std::max(m_last_renewal_us, event->at_us);
            m_events.push_back(std::move(*event));
        }
    }
}

std::string hold_watch::router_of(std::uint64_t epoch)
{
    if (m_routers.contains(epoch))
        return m_routers.at(epoch);
    for (const auto& file : std::filesystem::directory_iterator(m_folder))
    {
        const auto name = file.path().stem().string();
        std::ifstream in(file.path());
        // The second is logged if the answer to the claim was lost.
        constexpr std::array marks{"claimed before=", "claim found on record"};
        for (std::string line; name.starts_with("r") && std::getline(in, line);)
            if (const auto at = line.find(" epoch=");
                at != line.npos && std::ranges::any_of(marks, [&](const char* mark)
                                                       { return line.find(mark) != line.npos; }))
                m_routers[std::stoull(line.substr(at + 7))] = name.substr(0, name.find('-'));
    }
    return m_routers[epoch];
}

std::string hold_watch::why_excluded(const test::hold_event& event)
{
    const auto worker = event.life.substr(0, event.life.find('#'));
    const auto it = std::ranges::find_if(
        m_spans,
        [&](const uncounted_span& span)
        {
            return span.from_us <= event.arrived_us && event.arrived_us <= span.to_us &&
                   (span.worker.empty() || span.worker == worker) &&
                   (span.router.empty() || span.router == router_of(test::epoch_of(event.fence)));
        });
    return it == m_spans.end() ? std::string() : it->why;
}

std::vector<std::string> hold_watch::poll()
{
    read_logs();
    const auto until = boot_clock::now().time_since_epoch().count() - max_log_delay_us;
    const auto begin = m_events.begin() + static_cast<std::ptrdiff_t>(m_checked);
    std::ranges::stable_sort(begin, m_events.end(), {}, &test::hold_event::at_us);
    for (; m_checked < m_events.size() && m_events[m_checked].at_us < until; ++m_checked)
        m_check.add(m_events[m_checked]);
    const auto texts = m_check.violations();
    const auto known = std::exchange(m_reported, texts.size());
    return {texts.begin() + static_cast<std::ptrdiff_t>(std::min(known, texts.size())),
            texts.end()};
}

bool hold_watch::is_excluded(const std::string& life, std::uint64_t fence)
{
    return std::ranges::any_of(
        m_events, [&](const test::hold_event& event)
        { return event.life == life && event.fence == fence && !why_excluded(event).empty(); });
}

std::vector<std::string> hold_watch::finish(std::vector<std::string>& excluded)
{
    read_logs();
    std::ranges::stable_sort(m_events, {}, &test::hold_event::at_us);
    test::hold_check check([this](const test::hold_event& event) { return why_excluded(event); });
    for (const auto& event : m_events)
        check.add(event);
    excluded = check.excluded();
    return check.violations();
}

} // namespace eelgrassrail::soak
