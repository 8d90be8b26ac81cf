/// Settings files and processes of a small deployment.
#include "loopback_site.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>

namespace eelgrassrail::review
{
namespace
{

constexpr std::uint16_t ports_of_router = 20;

bool is_free(const std::string& ip, std::uint16_t port)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    const boost::asio::ip::tcp::endpoint at(boost::asio::ip::make_address(ip), port);
    acceptor.open(at.protocol(), ec);
    acceptor.bind(at, ec);
    return !ec.failed();
}

} // namespace

std::uint16_t find_free_ports(const std::string& ip, std::uint16_t count)
{
    std::mt19937 random{std::random_device{}()};
    constexpr std::uint16_t lowest = 12'000;
    constexpr std::uint16_t highest = 30'000; // below the range of outgoing connections
    constexpr int attempts = 200;
    for (int n = 0; n < attempts; ++n)
    {
        const auto first = static_cast<std::uint16_t>(
            std::uniform_int_distribution<int>(lowest, highest - count)(random));
        bool is_good = true;
        for (std::uint16_t i = 0; i < count && is_good; ++i)
            is_good = is_free(ip, static_cast<std::uint16_t>(first + i));
        if (is_good)
            return first;
    }
    throw std::runtime_error("no free ports");
}

case_record::case_record(const std::string& file)
    : m_out(file, std::ios::trunc)
    , m_start(boot_clock::now())
{
}

millis case_record::elapsed() const
{
    return std::chrono::duration_cast<millis>(boot_clock::now() - m_start);
}

void case_record::add(const std::string& text)
{
    m_out << elapsed().count() << " ms: " << text << '\n' << std::flush;
}

loopback_site::loopback_site(case_paths paths, site_settings settings)
    : m_paths(std::move(paths))
    , m_settings(std::move(settings))
    , m_first_port(find_free_ports("127.11.0.1", ports_of_router))
{
    std::filesystem::create_directories(m_paths.scratch);
    for (std::size_t n = 0; n < m_settings.routers; ++n)
    {
        router_process_slot router;
        router.name = "front-" + std::to_string(n + 1);
        router.ip = "127.11.0." + std::to_string(n + 1);
        router.zone = "z" + std::to_string(n % m_settings.zones + 1);
        m_routers.push_back(std::move(router));
    }
}

/// The lines of deploy/router.flags.
std::string loopback_site::write_settings(const router_process_slot& router,
                                          bool is_first_start) const
{
    const auto at = [&](int n) { return router.ip + ":" + std::to_string(m_first_port + n); };
    auto file = m_paths.scratch + "/" + router.name + ".flags";
    std::ofstream out(file, std::ios::trunc);
    constexpr int peers = 2;
    constexpr int peers_end = 17;
    constexpr int metrics = 18;
    out << "--vm=" << router.name << "\n--zone=" << router.zone << "\n--ip=" << router.ip
        << "\n--front=" << at(0) << "\n--ready=" << at(1)
        << "\n--internal_ports=" << m_first_port + peers << ',' << m_first_port + peers_end
        << "\n--store=" << m_settings.store << "\n--drain=2000ms\n--grace=" << m_settings.grace
        << "\n--max_hold=" << m_settings.max_hold
        << "\n--heartbeat=870ms\n--retry_ratio=0.2\n--retry_slack=64\n--evacuate="
        << "\n--cold_overage=\n--cold_slack=\n--first_start=" << (is_first_start ? "true" : "false")
        << "\n--cpu_share=" << m_settings.cpu_share
        << "\n--cores=1\n--max_fds=4100\n--memory_mb=" << m_settings.memory_mb
        << "\n--metrics=" << at(metrics) << '\n';
    return file;
}

void loopback_site::start_router(std::size_t n, bool is_first_start)
{
    auto& router = m_routers[n];
    const auto file = write_settings(router, is_first_start);
    ::setenv("EELGRASSRAIL_BOOT", file.c_str(), 1);
    ++router.starts;
    router.process.emplace(m_paths.router, std::vector<std::string>{}, log_of(n));
}

void loopback_site::start_routers(bool is_first_start)
{
    for (std::size_t n = 0; n < m_routers.size(); ++n)
        start_router(n, is_first_start);
}

harness::child_process loopback_site::start_stand_in(const std::string& program,
                                                     const std::vector<std::string>& arguments,
                                                     const std::string& log) const
{
    return {m_paths.stand_in + "/" + program, arguments, m_paths.scratch + "/" + log + ".log"};
}

std::string loopback_site::front_of(std::size_t n) const
{
    return m_routers[n].ip + ":" + std::to_string(m_first_port);
}

std::string loopback_site::ready_of(std::size_t n) const
{
    return m_routers[n].ip + ":" + std::to_string(m_first_port + 1);
}

std::string loopback_site::log_of(std::size_t n) const
{
    return m_paths.scratch + "/" + m_routers[n].name + "-" + std::to_string(m_routers[n].starts) +
           ".log";
}

} // namespace eelgrassrail::review
