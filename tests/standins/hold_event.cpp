/// Writes and parses the log lines of lease events.
#include "hold_event.hpp"

#include <eelgrassrail/grants/ownership_record.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace eelgrassrail::test
{
namespace
{

constexpr std::array<std::string_view, 6> kind_names{"grant",   "renewal",  "refusal",
                                                     "release", "released", "end"};

} // namespace

std::uint64_t epoch_of(std::uint64_t fence)
{
    return fence >> epoch_shift;
}

std::string to_line(const hold_event& event)
{
    std::ostringstream line;
    line << "hold " << event.life << ' ' << kind_names.at(static_cast<std::size_t>(event.kind))
         << ' ' << event.first << ' ' << event.last << ' ' << event.fence << ' ' << event.at_us
         << ' ' << event.arrived_us << ' ' << event.until_us << ' ' << (event.was_late ? 1 : 0)
         << " epoch=" << epoch_of(event.fence);
    return line.str();
}

std::optional<hold_event> parse_hold_line(const std::string& line)
{
    if (!line.starts_with("hold "))
        return std::nullopt;
    std::istringstream in(line);
    std::string word;
    std::string kind;
    int was_late = 0;
    hold_event event;
    in >> word >> event.life >> kind >> event.first >> event.last >> event.fence >> event.at_us >>
        event.arrived_us >> event.until_us >> was_late;
    const auto* const it = std::ranges::find(kind_names, kind);
    if (!in || it == kind_names.end())
        return std::nullopt;
    event.kind = static_cast<hold_kind>(it - kind_names.begin());
    event.was_late = was_late != 0;
    return event;
}

} // namespace eelgrassrail::test
