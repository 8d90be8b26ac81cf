/// Implementation of `boot_clock` with clock_gettime(CLOCK_BOOTTIME).
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

} // namespace eelgrassrail
