/// Reads processor time and memory from /proc and traffic from /metrics.
#include "node_usage.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace eelgrassrail::harness
{

double metric_of(const std::string& text, const std::string& name)
{
    double sum = 0.0;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(name) && (line[name.size()] == ' ' || line[name.size()] == '{'))
            sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
    return sum;
}

node_usage usage_of(const deployment& local, std::size_t entry)
{
    const auto folder = "/proc/" + std::to_string(local.entries.at(entry).process->pid());
    node_usage result;
    std::ifstream stat(folder + "/stat");
    std::string word;
    constexpr int user_time_field = 14;
    double ticks = 0.0;
    for (int n = 1; n <= user_time_field + 1 && stat >> word; ++n)
        if (n >= user_time_field)
            ticks += std::strtod(word.c_str(), nullptr);
    result.cpu_seconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    constexpr double kb_per_mb = 1024.0;
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            result.resident_mb =
                std::strtod(line.c_str() + std::string("VmRSS:").size(), nullptr) / kb_per_mb;
    const auto metrics = local.call_operator_api(entry, {"GET", "/metrics", {}, {}}).reply.body;
    result.peer_bytes = metric_of(metrics, "eelgrassrail_peer_sent_bytes") +
                        metric_of(metrics, "eelgrassrail_peer_received_bytes");
    return result;
}

void sleep_for(millis length)
{
    boost::asio::io_context context;
    boost::asio::steady_timer(context, length).wait();
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values.empty() ? 0.0 : values[values.size() / 2];
}

} // namespace eelgrassrail::harness
