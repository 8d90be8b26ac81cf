/// Implementation of `boot_clock` with clock_gettime(CLOCK_BOOTTIME), and the wall clock.
#include <eelgrassrail/core/clock.hpp>

#include <ctime>

namespace eelgrassrail
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec ts{};
    ::clock_gettime(CLOCK_BOOTTIME, &ts);
    const auto since_boot = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

std::uint64_t unix_ms() noexcept
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<millis>(since).count());
}

} // namespace eelgrassrail
