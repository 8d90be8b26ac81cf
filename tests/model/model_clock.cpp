/// Link-time replacements of the clock, the log and timerfd.
#include "model_clock.hpp"

#include <cerrno>

namespace eelgrassrail::test
{

instant& model_now() noexcept
{
    static instant now{};
    return now;
}

std::function<void(log_part, const std::string&)>& model_log()
{
    static std::function<void(log_part, const std::string&)> sink;
    return sink;
}

} // namespace eelgrassrail::test

namespace eelgrassrail
{
namespace
{

/// Unix time at the start of the virtual clock.
constexpr std::uint64_t first_unix_ms = 1'700'000'000'000;

void forward(log_part part, const std::string& text)
{
    if (const auto& sink = test::model_log())
        sink(part, text);
}

} // namespace

boot_clock::time_point boot_clock::now() noexcept
{
    return test::model_now();
}

std::uint64_t unix_ms() noexcept
{
    const auto since = std::chrono::duration_cast<millis>(test::model_now().time_since_epoch());
    return first_unix_ms + static_cast<std::uint64_t>(since.count());
}

void log_debug(log_part, const std::string&) {}
void log_info(log_part part, const std::string& text)
{
    forward(part, text);
}
void log_warning(log_part part, const std::string& text)
{
    forward(part, text);
}
void log_error(log_part part, const std::string& text)
{
    forward(part, text);
}

} // namespace eelgrassrail

/// Without a timerfd Asio compares its timers with their clock in each poll.
extern "C" int timerfd_create(int, int) noexcept
{
    errno = ENOSYS;
    return -1;
}
