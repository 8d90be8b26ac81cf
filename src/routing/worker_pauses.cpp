/// Start and end of pauses.
#include <eelgrassrail/core/decimal.hpp>
#include <eelgrassrail/routing/worker_pauses.hpp>

#include <algorithm>

namespace eelgrassrail
{

std::optional<double> parse_retry_after(std::string_view text) noexcept
{
    const auto seconds = parse_decimal(text);
    return seconds && *seconds > 0 ? seconds : std::nullopt;
}

bool worker_pauses::start(const worker_incarnation& worker, double seconds, instant now)
{
    std::erase_if(m_until, [now](const auto& item) { return item.second + repeat_window < now; });
    const std::chrono::duration<double> length(
        std::min(seconds, std::chrono::duration<double>(max_pause).count()));
    const auto until = now + std::chrono::ceil<boot_clock::duration>(length);
    const auto [it, is_new] = m_until.try_emplace(worker, until);
    it->second = std::max(it->second, until);
    return is_new;
}

double worker_pauses::remaining_ms(const worker_incarnation& worker, instant now) const
{
    const auto it = m_until.find(worker);
    return it == m_until.end() || now >= it->second
               ? 0.0
               : std::chrono::duration<double, std::milli>(it->second - now).count();
}

} // namespace eelgrassrail
