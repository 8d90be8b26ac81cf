/// Boost.Log sink and prefixes.
#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/observe/log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace eelgrassrail
{
namespace
{

namespace trivial = boost::log::trivial;

constexpr std::array<std::string_view, 7> prefixes{"entry",    "ownership", "dispatch", "front",
                                                   "platform", "peers",     "operators"};

std::string line(log_part part, const std::string& text)
{
    return std::string(prefixes.at(static_cast<std::size_t>(part))) + ": " + text;
}

/// Lines that a part may still write, and those that it was denied.
struct line_budget
{
    double lines{lines_a_second};
    instant filled{};
    std::uint64_t left_out{};
};

/// One writing thread, as the tasks of a process share one.
struct log_bounds
{
    bool is_bounded{};
    std::array<line_budget, prefixes.size()> parts{};
    std::uint64_t not_written{}; ///< the pipe was full
};

log_bounds& bounds()
{
    static log_bounds the_bounds;
    return the_bounds;
}

/// Whether a part may write another line now.
bool take_line(log_part part)
{
    if (!bounds().is_bounded)
        return true;
    auto& budget = bounds().parts.at(static_cast<std::size_t>(part));
    const auto now = boot_clock::now();
    const double passed = std::chrono::duration<double>(now - budget.filled).count();
    budget.lines = std::min(lines_a_second, budget.lines + passed * lines_a_second);
    budget.filled = now;
    if (budget.lines < 1)
    {
        ++budget.left_out;
        return false;
    }
    budget.lines -= 1;
    return true;
}

/// The text with the number of lines that were left out before it.
std::string bounded_line(log_part part, const std::string& text)
{
    auto& left_out = bounds().parts.at(static_cast<std::size_t>(part)).left_out;
    auto result = line(part, text);
    if (left_out > 0)
        result += " lines_left_out=" + std::to_string(std::exchange(left_out, 0));
    return result;
}

/// Writes without waiting; a line that does not fit is counted.
class nonblocking_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char,
                                                             boost::log::sinks::concurrent_feeding>
{
  public:
    nonblocking_backend()
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }

    void consume(const boost::log::record_view&, const string_type& text)
    {
        const auto whole = text + "\n";
        if (::write(STDOUT_FILENO, whole.data(), whole.size()) < 0)
            ++bounds().not_written;
    }
};

} // namespace

void start_logging(std::string_view level)
{
    namespace expressions = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format =
                                    expressions::stream
                                    << expressions::format_date_time<boost::posix_time::ptime>(
                                           "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                    << " " << trivial::severity << " " << expressions::smessage,
                                boost::log::keywords::auto_flush = true);
    trivial::severity_level least = trivial::info;
    trivial::from_string(level.data(), level.size(), least);
    boost::log::core::get()->set_filter(trivial::severity >= least);
}

void start_bounded_logging(std::string_view level)
{
    namespace expressions = boost::log::expressions;
    using sink = boost::log::sinks::unlocked_sink<nonblocking_backend>;
    bounds().is_bounded = true;
    boost::log::add_common_attributes();
    const auto front = boost::make_shared<sink>();
    front->set_formatter(expressions::stream
                         << expressions::format_date_time<boost::posix_time::ptime>(
                                "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                         << " " << trivial::severity << " " << expressions::smessage);
    boost::log::core::get()->add_sink(front);
    trivial::severity_level least = trivial::info;
    trivial::from_string(level.data(), level.size(), least);
    boost::log::core::get()->set_filter(trivial::severity >= least);
}

void log_debug(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(debug) << line(part, text);
}

void log_info(log_part part, const std::string& text)
{
    if (take_line(part))
        BOOST_LOG_TRIVIAL(info) << bounded_line(part, text);
}

void log_warning(log_part part, const std::string& text)
{
    if (take_line(part))
        BOOST_LOG_TRIVIAL(warning) << bounded_line(part, text);
}

void log_error(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(error) << line(part, text);
}

} // namespace eelgrassrail
