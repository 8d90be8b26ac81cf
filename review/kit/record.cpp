/// Text record of one run of a case.
#include "record.hpp"

namespace review
{

using namespace eelgrassrail;

record::record(const std::string& folder)
    : m_start(boot_clock::now())
    , m_out(folder + "/record.txt", std::ios::trunc)
{
}

void record::add(const std::string& text)
{
    m_out << elapsed_ms() << " ms " << text << '\n' << std::flush;
}

std::int64_t record::elapsed_ms() const
{
    return elapsed_ms(now_us());
}

std::int64_t record::elapsed_ms(std::int64_t boot_us) const
{
    constexpr std::int64_t us_in_ms = 1'000;
    return (boot_us - m_start.time_since_epoch().count()) / us_in_ms;
}

std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

} // namespace review
