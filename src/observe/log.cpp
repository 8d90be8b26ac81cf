/// Log sinks, prefixes and rate limits, on Boost.Log.
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

/// Token bucket of one component.
struct line_bucket
{
    double tokens{max_lines_per_second};
    instant refilled_at{};
    std::uint64_t suppressed{}; ///< lines since the last one written
};

/// State of rate-limited logging. Not synchronized: all tasks of a process share one thread.
struct log_limits
{
    bool is_enabled{};
    std::array<line_bucket, prefixes.size()> parts{};
    std::uint64_t dropped{}; ///< lines, because the pipe was full
};

log_limits& limits()
{
    static log_limits instance;
    return instance;
}

/// Takes a token for one line.
/// @return false if there is none; the line is then counted as suppressed
bool acquire_line(log_part part)
{
    if (!limits().is_enabled)
        return true;
    auto& bucket = limits().parts.at(static_cast<std::size_t>(part));
    const auto now = boot_clock::now();
    const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(max_lines_per_second, bucket.tokens + elapsed * max_lines_per_second);
    bucket.refilled_at = now;
    if (bucket.tokens < 1)
    {
        ++bucket.suppressed;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

/// The line with the number of suppressed lines before it, which is reset.
std::string limited_line(log_part part, const std::string& text)
{
    auto& suppressed = limits().parts.at(static_cast<std::size_t>(part)).suppressed;
    auto result = line(part, text);
    if (suppressed > 0)
        result += " lines_left_out=" + std::to_string(std::exchange(suppressed, 0));
    return result;
}

/// Writes to standard output without blocking; lines that fail to be written are counted.
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
        const auto record = text + "\n";
        if (::write(STDOUT_FILENO, record.data(), record.size()) < 0)
            ++limits().dropped;
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
    trivial::severity_level min_severity = trivial::info;
    trivial::from_string(level.data(), level.size(), min_severity);
    boost::log::core::get()->set_filter(trivial::severity >= min_severity);
}

void start_bounded_logging(std::string_view level)
{
    namespace expressions = boost::log::expressions;
    using sink = boost::log::sinks::unlocked_sink<nonblocking_backend>;
    limits().is_enabled = true;
    boost::log::add_common_attributes();
    const auto frontend = boost::make_shared<sink>();
    frontend->set_formatter(expressions::stream
                            << expressions::format_date_time<boost::posix_time::ptime>(
                                   "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                            << " " << trivial::severity << " " << expressions::smessage);
    boost::log::core::get()->add_sink(frontend);
    trivial::severity_level min_severity = trivial::info;
    trivial::from_string(level.data(), level.size(), min_severity);
    boost::log::core::get()->set_filter(trivial::severity >= min_severity);
}

void log_debug(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(debug) << line(part, text);
}

void log_info(log_part part, const std::string& text)
{
    if (acquire_line(part))
        BOOST_LOG_TRIVIAL(info) << limited_line(part, text);
}

void log_warning(log_part part, const std::string& text)
{
    if (acquire_line(part))
        BOOST_LOG_TRIVIAL(warning) << limited_line(part, text);
}

void log_error(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(error) << line(part, text);
}

} // namespace eelgrassrail
