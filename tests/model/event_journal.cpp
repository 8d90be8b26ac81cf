/// Keeps and prints the events of the ownership model.
#include "event_journal.hpp"

#include "model_clock.hpp"
#include <eelgrassrail/grants/ownership_record.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace eelgrassrail::test
{
namespace
{

constexpr std::chrono::seconds retention{60};

} // namespace

std::string time_text(instant at)
{
    constexpr double us_in_s = 1e6;
    std::array<char, 32> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%.3f",
                                 static_cast<double>(at.time_since_epoch().count()) / us_in_s);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string version_text(std::uint64_t version)
{
    constexpr std::uint64_t low = 0xFFFFFFFF;
    return std::to_string(version >> epoch_shift) + "." + std::to_string(version & low);
}

void event_journal::forget()
{
    const auto before = model_now() - retention;
    while (!m_lines.empty() && m_lines.front().at < before)
        m_lines.pop_front();
    while (!m_events.empty() && m_events.front().at < before)
        m_events.pop_front();
}

void event_journal::add_line(std::string text, std::uint32_t first, std::uint32_t last)
{
    forget();
    if (m_on_line)
        m_on_line(time_text(model_now()) + " " + text);
    m_lines.push_back({model_now(), std::move(text), first, last});
}

void event_journal::add(worker_event event)
{
    forget();
    m_events.push_back(std::move(event));
}

std::vector<std::string>
event_journal::lines(std::uint32_t key, const std::function<bool(std::size_t)>& concerns,
                     const std::function<std::string(std::size_t)>& name) const
{
    std::vector<std::pair<instant, std::string>> found;
    for (const auto& it : m_lines)
        if (it.first <= key && key <= it.last)
            found.emplace_back(it.at, it.text);
    for (const auto& it : m_events)
    {
        if (key < it.first || key > it.last || !concerns(it.life))
            continue;
        found.emplace_back(it.at, name(it.life) + (it.is_release ? " release " : " grant ") +
                                      std::to_string(it.first) + "-" + std::to_string(it.last) +
                                      " token=" + version_text(it.fence) +
                                      " status=" + std::to_string(it.status) + " from " +
                                      it.sender + " written=" + time_text(it.written_at) +
                                      " until=" + time_text(it.until) +
                                      (it.is_excused ? " (does not count)" : ""));
    }
    std::ranges::stable_sort(found, {}, &std::pair<instant, std::string>::first);
    std::vector<std::string> result;
    std::ranges::transform(found, std::back_inserter(result),
                           [](const auto& it) { return time_text(it.first) + " " + it.second; });
    return result;
}

} // namespace eelgrassrail::test
